//! Lifecycle of this entry.

use crate::chart::Label;

/// Text of the chart of [`Lifecycle`].
pub const ENTRY_CHART: &str = include_str!("../../charts/entry.toml");

/// Lifecycle of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// No settings yet.
    #[default]
    Starting,
    /// Taking calls.
    Serving,
    /// Cut off from platform and peers: takes calls under the last settings, directs others away.
    Stale,
    /// Planned stop: finishes what is in flight.
    Stopping,
}

impl Lifecycle {
    /// Name on the wire and in logs.
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

/// What changes the lifecycle of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// Settings are in force and no live peer has later ones.
    Ready,
    /// Neither platform nor peers were heard for too long.
    CutOff,
    /// The process was paused: what it knows may be old.
    Paused,
    /// A later process of the same host was heard.
    Superseded,
    /// Platform or a peer was heard again, and no live peer has later settings.
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
