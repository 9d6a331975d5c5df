//! Checked settings of azuretally.
//!
//! Two kinds of document exist. The *local* file tells one process its addresses and failure
//! domain. The *published* document, read from the platform, tells every process the services,
//! presets and budgets. Both are parsed strictly and checked as a whole, because every entry must
//! give the same verdict on the same text.

mod document;
mod error;
mod keys;
mod local;
mod outline;
mod published;
mod rules;

pub use error::{Problem, SettingsError};
pub use keys::{LOCAL_KEYS, PUBLISHED_KEYS};
pub use local::{Listen, LocalSettings};
pub use published::{
    BalancingPolicy, ClassSettings, OperationSettings, Preset, ProbeBudget, PublishedSettings,
    RetrySettings, ServiceSettings,
};

/// Revision of a published value, given by the platform and growing with every change.
pub type Revision = u64;
