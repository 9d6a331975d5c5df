//! Interface between the control thread and the rest of the process.

use azuretally_policy::fleet::LeavingReport;
use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use std::sync::{
    Arc,
    atomic::{AtomicU32, AtomicU64, Ordering},
};
use tokio::sync::{mpsc, watch};

/// Capacity of the queue of reports on targets.
const REPORT_QUEUE_CAPACITY: usize = 256;

/// Report of the request path on a target.
#[derive(Debug)]
pub(super) enum TargetReport {
    /// It said that it is leaving.
    Leaving(LeavingReport),
    /// It answered a probe without saying so.
    Serving { target: Arc<str>, incarnation: Option<Arc<str>> },
}

/// Counters of the control thread: messages, platform requests and CPU time.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Messages sent to peers.
    pub sent_messages: AtomicU64,
    /// Bytes sent to peers, excluding transport framing.
    pub sent_bytes: AtomicU64,
    /// Messages dropped because they could not be queued for a peer.
    pub unsent_messages: AtomicU64,
    /// Messages received from peers.
    pub taken_messages: AtomicU64,
    /// Bytes received from peers, excluding transport framing.
    pub taken_bytes: AtomicU64,
    /// Received messages dropped because they were too long, forged, malformed, repeated, addressed
    /// to another entry or sent by an earlier process of their host.
    pub dropped_messages: AtomicU64,
    /// Connections to peers that were closed because too many pings were not acknowledged.
    pub redials: AtomicU64,
    /// Requests to the platform.
    pub platform_calls: AtomicU64,
    /// Requests to the platform that failed or returned an old revision.
    pub platform_failures: AtomicU64,
    /// CPU time of the control thread, in µs.
    pub thread_us: AtomicU64,
}

/// Channels and counters that the control thread shares with the rest of the process.
#[derive(Debug)]
pub struct ControlHandle {
    /// Counters of the control thread.
    pub counters: ControlCounters,
    report_sender: mpsc::Sender<TargetReport>,
    report_receiver: Mutex<Option<mpsc::Receiver<TargetReport>>>,
    free_slots: RwLock<IndexMap<Arc<str>, Arc<AtomicU32>>>,
    rotations: RwLock<IndexMap<Arc<str>, AtomicU64>>,
    pauses: watch::Sender<u64>,
}

impl ControlHandle {
    /// Creates a handle with an empty queue and all counters at zero.
    pub fn new() -> Self {
        let (report_sender, report_receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        Self {
            counters: ControlCounters::default(),
            report_sender,
            report_receiver: Mutex::new(Some(report_receiver)),
            free_slots: RwLock::default(),
            rotations: RwLock::default(),
            pauses: watch::Sender::new(0),
        }
    }

    /// Reports that an incarnation of a target is leaving. An empty string stands for an unknown
    /// incarnation. The report is dropped if the queue is full; the next response of the target
    /// leads to another one.
    pub fn report_leaving(&self, target: &Arc<str>, incarnation: &str) {
        let report = LeavingReport { target: Arc::clone(target), incarnation: incarnation.into() };
        let _ = self.report_sender.try_send(TargetReport::Leaving(report));
    }

    /// Reports that a target answered a probe without saying that it is leaving. The report is dropped
    /// if the queue is full; the next probe leads to another one.
    pub fn report_serving(&self, target: &Arc<str>, incarnation: Option<Arc<str>>) {
        let target = Arc::clone(target);
        let _ = self.report_sender.try_send(TargetReport::Serving { target, incarnation });
    }

    /// Returns the counter in which the request path keeps its number of free slots for a service.
    pub fn free_slots(&self, service: &Arc<str>) -> Arc<AtomicU32> {
        if let Some(counter) = self.free_slots.read().get(service) {
            return Arc::clone(counter);
        }
        Arc::clone(self.free_slots.write().entry(Arc::clone(service)).or_default())
    }

    /// Returns the rotation for a request for directions to a service. Consecutive requests get
    /// consecutive numbers, starting from a random one.
    pub fn next_rotation(&self, service: &str) -> u64 {
        if let Some(next) = self.rotations.read().get(service) {
            return next.fetch_add(1, Ordering::Relaxed);
        }
        let mut rotations = self.rotations.write();
        let next = rotations
            .entry(Arc::from(service))
            .or_insert_with(|| AtomicU64::new(rand::random::<u32>().into()));
        next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a receiver that is notified after each pause of the process, since state from before
    /// the pause may be outdated.
    pub fn subscribe_pauses(&self) -> watch::Receiver<u64> {
        self.pauses.subscribe()
    }

    /// Notifies the subscribers of a pause of the process.
    pub(super) fn notify_pause(&self) {
        self.pauses.send_modify(|n| *n += 1);
    }

    /// Takes the receiver of reports on targets. Returns `None` if it was taken before.
    pub(super) fn take_reports(&self) -> Option<mpsc::Receiver<TargetReport>> {
        self.report_receiver.lock().take()
    }

    /// Returns the number of free slots of each service.
    pub(super) fn free_slot_counts(&self) -> Vec<(Arc<str>, u32)> {
        let counters = self.free_slots.read();
        counters.iter().map(|(s, n)| (Arc::clone(s), n.load(Ordering::Relaxed))).collect()
    }
}

impl Default for ControlHandle {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlCounters {
    /// Returns all counters with their names.
    pub fn snapshot(&self) -> [(&'static str, u64); 10] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("sent_messages", read(&self.sent_messages)),
            ("sent_bytes", read(&self.sent_bytes)),
            ("unsent_messages", read(&self.unsent_messages)),
            ("taken_messages", read(&self.taken_messages)),
            ("taken_bytes", read(&self.taken_bytes)),
            ("dropped_messages", read(&self.dropped_messages)),
            ("redials", read(&self.redials)),
            ("platform_calls", read(&self.platform_calls)),
            ("platform_failures", read(&self.platform_failures)),
            ("thread_us", read(&self.thread_us)),
        ]
    }

    pub(super) fn add(counter: &AtomicU64, n: usize) {
        counter.fetch_add(n as u64, Ordering::Relaxed);
    }
}
