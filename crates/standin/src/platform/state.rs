//! What the platform publishes, with its history, and the faults that are switched on.

use super::counts::Counts;
use azuretally_api::platform::HostList;
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use std::{error::Error, fmt, sync::Arc, time::Duration};
use tokio::sync::watch;

/// Faults of the platform. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are closed without an answer.
    pub down: bool,
    /// Settings newer than this revision are not shown.
    pub stale_revision: Option<u64>,
    /// Host lists newer than this revision are not shown.
    pub stale_hosts: Option<u64>,
    /// Watches are answered at once whatever the revision, also with an older one.
    pub ignore_after: bool,
    /// Added to every answer, in ms.
    pub delay_ms: u64,
    /// Calls are never answered.
    pub hang: bool,
}

/// Why a write of an operator was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The revision in force is another one than expected.
    Conflict {
        /// The revision in force.
        current: u64,
    },
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current } => write!(f, "the revision is {current}"),
        }
    }
}

impl Error for WriteError {}

/// A value with the revision that it was given.
pub(super) type Versioned = (u64, Arc<str>);

#[derive(Debug, Default)]
struct History {
    settings: Vec<Versioned>,
    hosts: Vec<Versioned>,
    faults: Faults,
}

/// The published values and their history.
#[derive(Debug)]
pub struct Platform {
    /// Readers' calls.
    pub counts: Counts,
    history: RwLock<History>,
    changed: watch::Sender<u64>,
}

/// Which value a reader asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Value {
    Settings,
    Hosts,
}

impl Platform {
    /// Publishes the first settings and host list under revision 1.
    pub fn new(settings: &str, hosts: HostList) -> Self {
        let platform = Self {
            counts: Counts::default(),
            history: RwLock::default(),
            changed: watch::Sender::new(0),
        };
        platform.history.write().settings.push((1, Arc::from(settings)));
        platform.write_hosts(hosts);
        platform
    }

    /// Publishes new settings and returns their revision.
    ///
    /// # Errors
    ///
    /// [`WriteError::Conflict`] when `expected` is given and is not the revision in force.
    pub fn write_settings(&self, text: &str, expected: Option<u64>) -> Result<u64, WriteError> {
        let revision = {
            let settings = &mut self.history.write().settings;
            let current = settings.last().map_or(0, |s| s.0);
            if expected.is_some_and(|e| e != current) {
                return Err(WriteError::Conflict { current });
            }
            settings.push((current + 1, Arc::from(text)));
            current + 1
        };
        self.wake();
        Ok(revision)
    }

    /// Publishes a new host list, whose revision is assigned here, and returns the revision.
    pub fn write_hosts(&self, mut list: HostList) -> u64 {
        let revision = {
            let hosts = &mut self.history.write().hosts;
            list.revision = hosts.last().map_or(0, |h| h.0) + 1;
            let text = serde_json::to_string(&list).unwrap_or_default();
            hosts.push((list.revision, Arc::from(text)));
            list.revision
        };
        self.wake();
        revision
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        self.history.write().faults = faults;
        self.wake();
    }

    /// The faults that are on.
    pub fn faults(&self) -> Faults {
        self.history.read().faults
    }

    /// Time added to every answer.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.faults().delay_ms)
    }

    /// What a reader is shown of `value`.
    pub(super) fn shown(&self, value: Value) -> Option<Versioned> {
        let history = self.history.read();
        let (list, newest) = match value {
            Value::Settings => (&history.settings, history.faults.stale_revision),
            Value::Hosts => (&history.hosts, history.faults.stale_hosts),
        };
        list.iter().rev().find(|v| newest.is_none_or(|n| v.0 <= n)).cloned()
    }

    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn wake(&self) {
        self.changed.send_modify(|n| *n += 1);
    }
}
