//! Lifecycle of an entry.

use crate::chart::Label;

/// State chart of [`Lifecycle`], in TOML.
pub const ENTRY_CHART: &str = include_str!("../../charts/entry.toml");

/// Lifecycle state of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Has no current settings yet.
    #[default]
    Starting,
    /// Accepts calls.
    Serving,
    /// Cut off, paused or superseded: accepts calls under its last settings, but directs callers to
    /// other entries.
    Stale,
    /// Planned stop: finishes the calls in flight.
    Stopping,
}

impl Lifecycle {
    /// Returns the name on the wire and in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Stale => "stale",
            Self::Stopping => "stopping",
        }
    }
}

impl Label for Lifecycle {
    const ALL: &'static [Self] = &[Self::Starting, Self::Serving, Self::Stale, Self::Stopping];

    fn label(self) -> &'static str {
        self.as_str()
    }
}

/// Event that may change the lifecycle state of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// Settings are in force and no live peer has later ones.
    Ready,
    /// Had no contact to platform or peers for too long.
    CutOff,
    /// The process was paused, so its state may be out of date.
    Paused,
    /// A later process of the same host is running.
    Superseded,
    /// Has contact to platform or peers again, and no live peer has later settings.
    Contact,
    /// The planned stop begins.
    Stop,
}

impl Label for LifecycleEvent {
    const ALL: &'static [Self] =
        &[Self::Ready, Self::CutOff, Self::Paused, Self::Superseded, Self::Contact, Self::Stop];

    fn label(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::CutOff => "cut-off",
            Self::Paused => "paused",
            Self::Superseded => "superseded",
            Self::Contact => "contact",
            Self::Stop => "stop",
        }
    }
}
