//! Deterministic simulation of a fleet with a faulty network and platform.

use azuretally_policy::{
    Timestamp,
    fleet::{Action, Addresses, Fleet, FleetBuilder, Lifecycle, PeerState, Topic, Verdict},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
};

pub(crate) const KEY: &[u8] = b"key of the tests";
pub(crate) const TICK_US: u64 = 50_000;
/// Maximum number of messages that are queued for a paused entry.
const INBOX_CAPACITY: usize = 128;

/// A simulated entry.
pub(crate) struct Node {
    pub(crate) fleet: Fleet,
    /// Offset of the entry's clock, in microseconds.
    clock_offset: u64,
    pub(crate) paused: bool,
    /// Messages received while paused.
    inbox: Vec<Vec<u8>>,
    pub(crate) sent_bytes: u64,
    pub(crate) sent_messages: u64,
    pub(crate) redials: u64,
    /// Highest accepted settings revision.
    pub(crate) highest_accepted: u64,
}

/// Probabilities of network faults, in parts per thousand.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) loss: u32,
    pub(crate) duplicate: u32,
    pub(crate) late: u32,
}

/// A simulated fleet.
pub(crate) struct Cluster {
    /// Simulated time, in microseconds.
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Option<Node>>,
    /// Links (sender, receiver) that drop all messages.
    pub(crate) cut: BTreeSet<(usize, usize)>,
    /// Connections (sender, receiver) that drop all messages until they are redialed.
    pub(crate) silent: BTreeSet<(usize, usize)>,
    pub(crate) faults: Faults,
    pub(crate) platform_up: bool,
    /// Entries that cannot reach the platform.
    pub(crate) platform_cut: BTreeSet<usize>,
    /// Revision and text of the settings at the platform.
    pub(crate) settings: (u64, String),
    /// Revision and text of the host list at the platform.
    pub(crate) hosts: (u64, String),
    /// Receivers and contents of the first messages that were delivered, for replays.
    pub(crate) recorded: Vec<(usize, Vec<u8>)>,
    random: Pcg64Mcg,
    /// Messages in flight: time of delivery, message number and receiver.
    in_flight: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Contents of messages in flight, by message number.
    messages: BTreeMap<u64, Vec<u8>>,
    last_number: u64,
}

pub(crate) fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + node as u16))
}

pub(crate) fn name(node: usize) -> Arc<str> {
    Arc::from(format!("entry-{node}"))
}

pub(crate) fn domain(node: usize) -> Arc<str> {
    Arc::from(format!("domain-{}", node % 3))
}

pub(crate) fn settings(preset: &str, timeout_ms: u32) -> String {
    format!(
        r#"
deployment = "test"
entries = 16
preset = "{preset}"
[measuring]
target_ms_per_s = 5.0
probe_cost_ms = 6.0
[services.till]
path = "/till"
slots = 2
connections = 240
entry_set = 4
[services.till.operations.sale]
method = "POST"
path = "/sale"
idempotent = false
worth = 5.0
[presets.ordinary]
classes = [{{ name = "urgent", operations = ["till.sale"], timeout_ms = {timeout_ms} }}]
"#
    )
}

/// Returns a host list. Each target is given by its name, its incarnation and whether it is
/// leaving.
pub(crate) fn hosts(
    revision: u64,
    entries: &[usize],
    targets: &[(&str, Option<&str>, bool)],
) -> String {
    let mut records: Vec<String> = entries
        .iter()
        .map(|n| {
            let a = address(*n);
            format!(
                r#"{{"host":"{}","failure_domain":"{}","state":"live","role":"entry","calls":"{a}","directions":"{a}","peers":"{a}","admin":"{a}"}}"#,
                name(*n),
                domain(*n)
            )
        })
        .collect();
    for (target, incarnation, leaving) in targets {
        let state = if *leaving { "leaving" } else { "live" };
        let incarnation = incarnation.map_or("null".to_owned(), |i| format!("\"{i}\""));
        records.push(format!(
            r#"{{"host":"{target}","failure_domain":"domain-0","state":"{state}","incarnation":{incarnation},"role":"target","service":"till","address":"127.0.0.1:9000"}}"#
        ));
    }
    format!(r#"{{"revision":{revision},"hosts":[{}]}}"#, records.join(","))
}

impl Cluster {
    pub(crate) fn new(nodes: usize, seed: u64) -> Self {
        let all: Vec<usize> = (0..nodes).collect();
        let mut cluster = Self {
            now: 0,
            nodes: Vec::new(),
            cut: BTreeSet::new(),
            silent: BTreeSet::new(),
            faults: Faults::default(),
            platform_up: true,
            platform_cut: BTreeSet::new(),
            settings: (1, settings("ordinary", 100)),
            hosts: (1, hosts(1, &all, &[("till-0", Some("a"), false)])),
            recorded: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BinaryHeap::new(),
            messages: BTreeMap::new(),
            last_number: 0,
        };
        for node in all {
            cluster.nodes.push(None);
            cluster.start(node, 1);
        }
        cluster
    }

    pub(crate) fn start(&mut self, node: usize, generation: u64) {
        let clock_offset = self.random.random_range(0..1_000_000_000);
        let addresses = Addresses { calls: address(node), peers: address(node) };
        let now = Timestamp::from_micros(self.now + clock_offset);
        let fleet = FleetBuilder::new(name(node), domain(node), addresses)
            .key(KEY)
            .generation(generation)
            .seeds(&[address(0), address(1)])
            .seed(self.random.random())
            .build(now)
            .unwrap();
        self.nodes[node] = Some(Node {
            fleet,
            clock_offset,
            paused: false,
            inbox: Vec::new(),
            sent_bytes: 0,
            sent_messages: 0,
            redials: 0,
            highest_accepted: 0,
        });
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    pub(crate) fn pause(&mut self, node: usize) {
        if let Some(n) = &mut self.nodes[node] {
            n.paused = true;
        }
    }

    /// Resumes a paused entry. It detects the pause before it reads the queued messages.
    pub(crate) fn resume(&mut self, node: usize) {
        let now = self.now;
        let Some(n) = &mut self.nodes[node] else { return };
        if !std::mem::take(&mut n.paused) {
            return;
        }
        let t = Timestamp::from_micros(now + n.clock_offset);
        n.fleet.handle_pause(t);
        for bytes in std::mem::take(&mut n.inbox) {
            let _ = n.fleet.receive(t, &bytes);
        }
        self.perform_actions(node);
    }

    /// Cuts all links between `side` and the other entries.
    pub(crate) fn partition(&mut self, side: &BTreeSet<usize>) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    pub(crate) fn fleet(&self, node: usize) -> &Fleet {
        &self.nodes[node].as_ref().unwrap().fleet
    }

    /// Runs `run` on the state machine of an entry, and performs its actions.
    pub(crate) fn with<Run, Out>(&mut self, node: usize, run: Run) -> Out
    where
        Run: FnOnce(&mut Fleet, Timestamp) -> Out,
    {
        let n = self.nodes[node].as_mut().unwrap();
        let out = run(&mut n.fleet, Timestamp::from_micros(self.now + n.clock_offset));
        self.perform_actions(node);
        out
    }

    pub(crate) fn time(&self, node: usize) -> Timestamp {
        Timestamp::from_micros(self.now + self.nodes[node].as_ref().unwrap().clock_offset)
    }

    /// Returns the entries that run and are not paused.
    pub(crate) fn up(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].as_ref().is_some_and(|n| !n.paused))
            .collect()
    }

    pub(crate) fn run_ms(&mut self, ms: u64) {
        let end = self.now + ms * 1_000;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds, for at most `limit_ms`. Returns the milliseconds that passed.
    pub(crate) fn run_until<Done>(&mut self, limit_ms: u64, done: Done) -> Option<u64>
    where
        Done: Fn(&Self) -> bool,
    {
        let start = self.now;
        while self.now < start + limit_ms * 1_000 {
            if done(self) {
                return Some((self.now - start) / 1_000);
            }
            self.step();
        }
        done(self).then_some(limit_ms)
    }

    /// Advances the time by one tick: delivers messages, then ticks all running entries.
    pub(crate) fn step(&mut self) {
        let end = self.now + TICK_US;
        while let Some(Reverse((at, number, to))) = self.in_flight.peek().copied() {
            if at > end {
                break;
            }
            self.in_flight.pop();
            self.now = self.now.max(at);
            let bytes = self.messages.remove(&number).unwrap();
            self.deliver(to, bytes);
        }
        self.now = end;
        for node in self.up() {
            self.poll_platform(node);
            self.with(node, |fleet, now| fleet.tick(now));
        }
    }

    fn poll_platform(&mut self, node: usize) {
        if !self.platform_up || self.platform_cut.contains(&node) {
            return;
        }
        let (settings, hosts) = (self.settings.clone(), self.hosts.clone());
        self.with(node, |fleet, now| {
            if !fleet.is_watcher(now) {
                return;
            }
            fleet.record_platform_contact(now);
            for (topic, (revision, text)) in [(Topic::Settings, settings), (Topic::Hosts, hosts)] {
                let _: Verdict = fleet.apply_platform_document(now, topic, revision, &text);
            }
        });
    }

    fn deliver(&mut self, to: usize, bytes: Vec<u8>) {
        let Some(n) = &mut self.nodes[to] else { return };
        if n.paused {
            if n.inbox.len() < INBOX_CAPACITY {
                n.inbox.push(bytes);
            }
            return;
        }
        self.with(to, |fleet, now| {
            let _ = fleet.receive(now, &bytes);
        });
    }

    /// Performs the actions of an entry. Checks that its settings did not revert.
    fn perform_actions(&mut self, node: usize) {
        let n = self.nodes[node].as_mut().unwrap();
        let accepted = n.fleet.settings().revisions().accepted;
        assert!(
            accepted >= n.highest_accepted,
            "settings of entry-{node} reverted to revision {accepted}"
        );
        n.highest_accepted = accepted;
        for action in n.fleet.take_actions() {
            let n = self.nodes[node].as_mut().unwrap();
            match action {
                Action::Send { address: to, bytes } => {
                    n.sent_bytes += bytes.len() as u64;
                    n.sent_messages += 1;
                    self.transmit(node, usize::from(to.port()) - 10_000, bytes);
                }
                Action::Redial(to) => {
                    n.redials += 1;
                    self.silent.remove(&(node, usize::from(to.port()) - 10_000));
                }
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if to >= self.nodes.len()
            || self.cut.contains(&(from, to))
            || self.silent.contains(&(from, to))
            || self.chance(self.faults.loss)
        {
            return;
        }
        if self.recorded.len() < 10_000 {
            self.recorded.push((to, bytes.clone()));
        }
        let copies = if self.chance(self.faults.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if self.chance(self.faults.late) {
                self.random.random_range(1_000..2_000_000)
            } else {
                self.random.random_range(200..1_500)
            };
            self.last_number += 1;
            self.in_flight.push(Reverse((self.now + delay, self.last_number, to)));
            self.messages.insert(self.last_number, bytes.clone());
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.random.random_range(0..1_000) < per_mille
    }

    /// Returns whether every running entry serves and considers every other running entry alive and
    /// usable.
    pub(crate) fn has_converged(&self) -> bool {
        let up = self.up();
        up.iter().all(|a| {
            self.fleet(*a).state() == Lifecycle::Serving
                && up.iter().filter(|b| *b != a).all(|b| {
                    let member = self.fleet(*a).members().get(&name(*b));
                    member.is_some_and(|m| m.is_reachable() && m.is_usable())
                })
        })
    }

    /// Returns the state of the entry `of` in the view of the entry `at`.
    pub(crate) fn peer_state(&self, at: usize, of: usize) -> Option<PeerState> {
        self.fleet(at).members().get(&name(of)).map(|m| m.state)
    }
}
