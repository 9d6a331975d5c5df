//! Implementations of the commands.

mod check;
mod drain;
mod explain;
mod metrics;
mod preset;
mod status;
mod trace;
mod watch;

pub use check::check;
pub use drain::drain;
pub use explain::explain;
pub use metrics::metrics;
pub use preset::{preset_list, preset_show, preset_use};
pub use status::status;
pub use trace::{outcomes, trace};
pub use watch::{WatchOptions, watch};
