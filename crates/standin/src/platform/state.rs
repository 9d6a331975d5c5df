//! Published documents with their history, and the active faults.

use super::counts::Counts;
use azuretally_api::platform::HostList;
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use std::{error::Error, fmt, sync::Arc, time::Duration};
use tokio::sync::watch;

/// Era of the data before the first restore.
const FIRST_ERA: u64 = 1;

/// Faults of the platform. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Reads and writes of documents get no response; their connections are closed.
    pub down: bool,
    /// Settings newer than this revision are hidden from readers.
    pub stale_revision: Option<u64>,
    /// Host lists newer than this revision are hidden from readers.
    pub stale_hosts: Option<u64>,
    /// Reads return at once, even if the visible revision is not newer than the requested one.
    pub ignore_after: bool,
    /// Delay of every read that returns a document, in ms.
    pub delay_ms: u64,
    /// Reads do not complete while this is set.
    pub hang: bool,
}

/// Revisions at which a copy was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Copied {
    /// Last revision of the settings in the copy.
    pub settings: u64,
    /// Last revision of the host list in the copy.
    pub hosts: u64,
}

/// Reason for which a write was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The current revision is not the expected one.
    Conflict {
        /// The current revision.
        current: u64,
    },
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current } => write!(f, "the current revision is {current}"),
        }
    }
}

impl Error for WriteError {}

/// Document in one revision.
#[derive(Clone, Debug)]
pub(super) struct Versioned {
    /// Era in which it was written.
    pub(super) era: u64,
    pub(super) revision: u64,
    pub(super) text: Arc<str>,
}

#[derive(Debug)]
struct History {
    /// Rises by one with each restore.
    era: u64,
    settings: Vec<Versioned>,
    hosts: Vec<Versioned>,
    faults: Faults,
}

/// Published documents with their history.
#[derive(Debug)]
pub struct Platform {
    /// Counters of read requests.
    pub counts: Counts,
    history: RwLock<History>,
    changed: watch::Sender<u64>,
}

/// A document that readers can request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Document {
    Settings,
    Hosts,
}

impl Platform {
    /// Publishes the initial settings and host list with revision 1.
    pub fn new(settings: &str, hosts: HostList) -> Self {
        let platform = Self {
            counts: Counts::default(),
            history: RwLock::new(History {
                era: FIRST_ERA,
                settings: Vec::new(),
                hosts: Vec::new(),
                faults: Faults::default(),
            }),
            changed: watch::Sender::new(0),
        };
        let initial = Versioned { era: FIRST_ERA, revision: 1, text: Arc::from(settings) };
        platform.history.write().settings.push(initial);
        platform.write_hosts(hosts);
        platform
    }

    /// Publishes new settings and returns their revision.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Conflict`] if `expected` is given and is not the current revision.
    pub fn write_settings(&self, text: &str, expected: Option<u64>) -> Result<u64, WriteError> {
        let revision = {
            let mut history = self.history.write();
            let current = history.settings.last().map_or(0, |s| s.revision);
            if expected.is_some_and(|e| e != current) {
                return Err(WriteError::Conflict { current });
            }
            let (era, revision) = (history.era, current + 1);
            history.settings.push(Versioned { era, revision, text: Arc::from(text) });
            revision
        };
        self.notify_readers();
        Ok(revision)
    }

    /// Publishes a new host list under the next revision, and returns that revision. The revision
    /// in `list` is ignored.
    pub fn write_hosts(&self, mut list: HostList) -> u64 {
        let revision = {
            let mut history = self.history.write();
            let (era, revision) = (history.era, history.hosts.last().map_or(0, |h| h.revision) + 1);
            list.revision = revision;
            let text = Arc::from(serde_json::to_string(&list).unwrap_or_default());
            history.hosts.push(Versioned { era, revision, text });
            revision
        };
        self.notify_readers();
        revision
    }

    /// Goes back to a copy that was taken at the revisions in `copied`, which begins a new era. Later
    /// revisions are lost and are given out again.
    pub fn restore(&self, copied: Copied) {
        {
            let mut history = self.history.write();
            history.era += 1;
            history.settings.retain(|s| s.revision <= copied.settings);
            history.hosts.retain(|h| h.revision <= copied.hosts);
        }
        self.notify_readers();
    }

    /// Returns the era of the data.
    pub(super) fn era(&self) -> u64 {
        self.history.read().era
    }

    /// Replaces the active faults and wakes all waiting reads.
    pub fn set_faults(&self, faults: Faults) {
        self.history.write().faults = faults;
        self.notify_readers();
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.history.read().faults
    }

    /// Returns the delay of reads that return a document.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.faults().delay_ms)
    }

    /// Returns the newest version of `document` that the active faults let readers see.
    pub(super) fn visible(&self, document: Document) -> Option<Versioned> {
        let history = self.history.read();
        let (versions, max_revision) = match document {
            Document::Settings => (&history.settings, history.faults.stale_revision),
            Document::Hosts => (&history.hosts, history.faults.stale_hosts),
        };
        versions.iter().rev().find(|v| max_revision.is_none_or(|n| v.revision <= n)).cloned()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify_readers(&self) {
        self.changed.send_modify(|n| *n += 1);
    }
}
