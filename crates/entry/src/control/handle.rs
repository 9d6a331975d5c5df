//! Between control and the other parts of the process.

use azuretally_policy::fleet::LeavingReport;
use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use std::sync::{
    Arc,
    atomic::{AtomicU32, AtomicU64, Ordering},
};
use tokio::sync::{mpsc, watch};

/// Sightings that may wait for control.
const SIGHTINGS: usize = 256;

/// What control spends and takes.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Messages sent to peers.
    pub sent_messages: AtomicU64,
    /// Bytes sent to peers, without the framing of the transport.
    pub sent_bytes: AtomicU64,
    /// Messages that were not sent because a peer did not take them.
    pub unsent_messages: AtomicU64,
    /// Messages taken from peers.
    pub taken_messages: AtomicU64,
    /// Bytes taken from peers, without the framing of the transport.
    pub taken_bytes: AtomicU64,
    /// Messages dropped for their size, tag, sequence number or receiver.
    pub dropped_messages: AtomicU64,
    /// Connections to peers that were given up as silent.
    pub redials: AtomicU64,
    /// Calls to the platform.
    pub platform_calls: AtomicU64,
    /// Calls to the platform that failed or brought an old value.
    pub platform_failures: AtomicU64,
    /// Processor time of the control thread, in µs.
    pub thread_us: AtomicU64,
}

/// Channels and counters that the other parts share with control.
#[derive(Debug)]
pub struct ControlHandle {
    /// What control spends.
    pub counters: ControlCounters,
    sightings: mpsc::Sender<LeavingReport>,
    inbox: Mutex<Option<mpsc::Receiver<LeavingReport>>>,
    free: RwLock<IndexMap<Arc<str>, Arc<AtomicU32>>>,
    tickets: RwLock<IndexMap<Arc<str>, AtomicU64>>,
    pauses: watch::Sender<u64>,
}

impl ControlHandle {
    /// A link that nobody uses yet.
    pub fn new() -> Self {
        let (sightings, inbox) = mpsc::channel(SIGHTINGS);
        Self {
            counters: ControlCounters::default(),
            sightings,
            inbox: Mutex::new(Some(inbox)),
            free: RwLock::default(),
            tickets: RwLock::default(),
            pauses: watch::Sender::new(0),
        }
    }

    /// The data path saw that an incarnation of a target is leaving; an empty name stands for an
    /// unknown incarnation. Dropped when control cannot keep up: the next answer tells again.
    pub fn report_leaving(&self, target: &Arc<str>, incarnation: &str) {
        let sighting =
            LeavingReport { target: Arc::clone(target), incarnation: incarnation.into() };
        let _ = self.sightings.try_send(sighting);
    }

    /// Where the data path keeps the count of its free slots of a service.
    pub fn free_slots(&self, service: &Arc<str>) -> Arc<AtomicU32> {
        if let Some(free) = self.free.read().get(service) {
            return Arc::clone(free);
        }
        Arc::clone(self.free.write().entry(Arc::clone(service)).or_default())
    }

    /// Number of a request for directions to a service. Consecutive numbers are spread evenly.
    pub fn next_rotation(&self, service: &str) -> u64 {
        if let Some(next) = self.tickets.read().get(service) {
            return next.fetch_add(1, Ordering::Relaxed);
        }
        let mut tickets = self.tickets.write();
        let next = tickets
            .entry(Arc::from(service))
            .or_insert_with(|| AtomicU64::new(rand::random::<u32>().into()));
        next.fetch_add(1, Ordering::Relaxed)
    }

    /// Wakes whenever the process was paused: what was known before may be old.
    pub fn subscribe_pauses(&self) -> watch::Receiver<u64> {
        self.pauses.subscribe()
    }

    pub(super) fn paused(&self) {
        self.pauses.send_modify(|n| *n += 1);
    }

    pub(super) fn take_inbox(&self) -> Option<mpsc::Receiver<LeavingReport>> {
        self.inbox.lock().take()
    }

    pub(super) fn free_counts(&self) -> Vec<(Arc<str>, u32)> {
        let free = self.free.read();
        free.iter().map(|(s, n)| (Arc::clone(s), n.load(Ordering::Relaxed))).collect()
    }
}

impl Default for ControlHandle {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlCounters {
    /// All counters with their names.
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
