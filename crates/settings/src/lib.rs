//! Parsing and checking of azuretally's settings.
//!
//! There are two kinds of settings document. The *local* file configures the addresses and the
//! failure domain of one process. The *published* document, read from the platform, configures the
//! services, presets and budgets of all processes. Both are parsed strictly and checked as a whole,
//! because every entry must accept or refuse the same text alike.

mod document;
mod error;
mod key_index;
mod keys;
mod local;
mod published;
mod validator;

pub use error::{Problem, SettingsError};
pub use keys::{LOCAL_KEYS, PUBLISHED_KEYS};
pub use local::{Listen, LocalSettings};
pub use published::{
    BalancingPolicy, ClassSettings, OperationSettings, Preset, ProbeBudget, PublishedSettings,
    RetrySettings, ServiceSettings,
};
