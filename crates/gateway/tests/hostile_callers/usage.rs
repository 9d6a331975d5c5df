//! What a process has used of its host.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{task::spawn, time::sleep};
use tokio_util::task::AbortOnDropHandle;

/// Interval at which the open descriptors are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// Largest use since the start of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Resident memory, in kB.
    pub(crate) memory_kb: u64,
    /// Open descriptors, counted at intervals.
    pub(crate) open_descriptors: u64,
}

/// Counts the open descriptors of a process until it is dropped.
#[derive(Debug)]
pub(crate) struct UsageWatch {
    process: u32,
    open_descriptors: Arc<AtomicU64>,
    _task: AbortOnDropHandle<()>,
}

impl UsageWatch {
    pub(crate) fn start(process: u32) -> Self {
        let open_descriptors = Arc::new(AtomicU64::new(0));
        let maximum = Arc::clone(&open_descriptors);
        let task = spawn(async move {
            loop {
                let entries = fs::read_dir(format!("/proc/{process}/fd"));
                let count = entries.map_or(0, |entries| entries.count() as u64);
                maximum.fetch_max(count, Ordering::Relaxed);
                sleep(COUNT_INTERVAL).await;
            }
        });
        Self { process, open_descriptors, _task: AbortOnDropHandle::new(task) }
    }

    /// Returns the use until now. Fails if the process has ended.
    pub(crate) fn usage(&self) -> Usage {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let memory_kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
        Usage {
            memory_kb: memory_kb.expect("the process has not ended"),
            open_descriptors: self.open_descriptors.load(Ordering::Relaxed),
        }
    }
}
