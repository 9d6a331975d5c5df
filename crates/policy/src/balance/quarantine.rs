//! Calls that crash the targets which run them.
//!
//! Such a call comes again with the same content, at any gateway. Each gateway records which processes
//! of targets ended while they ran a call, and all gateways tell each other. A call under which enough
//! processes ended, without one answer in between, is quarantined: it is refused, but for few trials
//! ([`super::trials`]).
//!
//! What is known of a call forms a semilattice, so notices may be lost, repeated and reordered: the
//! higher epoch wins, and within an epoch the union of the crashes, of which withdrawn ones stay
//! withdrawn. What follows is computed from that alone: a call is excused if each process that ended under
//! it also ended under another call under which more processes ended, or as many, most of them not under this
//! one. It only ran beside these.

use super::trials::{TrialNotice, TrialRole, Trials};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::{
    cmp::{Ordering, Reverse},
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    time::Duration,
};
use xxhash_rust::xxh3::Xxh3Default;

/// Processes that must have ended while they ran a call before it is quarantined.
pub(super) const CRASH_LIMIT: usize = 3;
/// Calls that are remembered.
const MAX_CALLS: usize = 4_096;
/// Processes that are remembered for one call, withdrawn ones included.
const MAX_PROCESSES: usize = 24;
/// Time after the last crash or refused repeat at which a call is forgotten.
const MEMORY_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Parts of a call by which it is recognized when it comes again.
///
/// The address of the caller is none of them: the same call may come from several addresses, and for a
/// relayed call the address is only what the relaying gateway says.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestParts<'a> {
    /// Method of the request.
    pub method: &'a str,
    /// Requested host in lower case.
    pub host: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Credentials of the caller, if it sends any.
    pub authorization: &'a [u8],
    /// The body, or its beginning.
    pub body: &'a [u8],
    /// Length of the whole body in bytes, `None` if it is not known yet.
    pub body_length: Option<u64>,
}

/// Hash of the content of a call, the same at all gateways.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct CallDigest(u128);

impl CallDigest {
    /// Hashes the parts of a call with XXH3 (128 bits).
    pub fn new(parts: &DigestParts<'_>) -> Self {
        let mut hash = Xxh3Default::new();
        let head = [parts.method, parts.host, parts.path].map(str::as_bytes);
        for part in head.into_iter().chain([parts.authorization, parts.body]) {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&parts.body_length.unwrap_or(u64::MAX).to_le_bytes());
        Self(hash.digest128())
    }

    /// Returns the place of the call in a table of `len` slots.
    pub(super) fn slot(self, len: usize) -> usize {
        (self.0 % len as u128) as usize
    }
}

/// Hashes by which a call is recognized when it comes again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallDigests {
    /// Hash of the content.
    pub content: CallDigest,
    /// Hash of the content and of the cookies of the caller, if it sends any. Calls with other cookies may be
    /// answered where this one crashes its targets.
    pub session: Option<CallDigest>,
}

impl CallDigests {
    /// Hashes `cookies`, the cookie fields of a call, with its content.
    pub fn new<'a, Cookies>(content: CallDigest, cookies: Cookies) -> Self
    where
        Cookies: IntoIterator<Item = &'a [u8]>,
    {
        let mut cookies = cookies.into_iter().peekable();
        if cookies.peek().is_none() {
            return content.into();
        }
        let mut hash = Xxh3Default::new();
        hash.update(&content.0.to_le_bytes());
        for cookie in cookies {
            hash.update(&(cookie.len() as u64).to_le_bytes());
            hash.update(cookie);
        }
        Self { content, session: Some(CallDigest(hash.digest128())) }
    }

    /// Returns both hashes.
    pub fn iter(&self) -> impl Iterator<Item = CallDigest> + use<> {
        [Some(self.content), self.session].into_iter().flatten()
    }
}

impl From<CallDigest> for CallDigests {
    /// Returns the hashes of a call without cookies.
    fn from(content: CallDigest) -> Self {
        Self { content, session: None }
    }
}

impl Display for CallDigest {
    /// Writes the first half in hexadecimal digits, which is enough to tell calls apart in a log.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0 >> 64)
    }
}

/// Identifies one process of a target: a hash of its name and start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId(u64);

impl ProcessId {
    /// Returns the id of the process of target `name` that started at `started`, as in its record.
    pub fn new(name: &str, started: Option<u64>) -> Self {
        let mut hash = Xxh3Default::new();
        hash.update(&started.map_or([0; 9], |at| {
            let mut bytes = [1; 9];
            bytes[1..].copy_from_slice(&at.to_le_bytes());
            bytes
        }));
        hash.update(name.as_bytes());
        Self(hash.digest())
    }

    /// Returns the id that another gateway names by [`Self::number`].
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the id as a number, the same at all gateways.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// What a gateway knows about a call that may crash targets, in the form sent to other gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallNotice {
    /// The call.
    pub digest: CallDigest,
    /// Number of times that a target answered the call after processes had ended under it.
    pub epoch: u32,
    /// Processes that ended while they ran the call, with whether that was withdrawn because the
    /// process was seen alive.
    pub crashes: BTreeMap<ProcessId, bool>,
    /// Seconds until the call is forgotten unless it comes again.
    pub left_s: u32,
    /// Its trials in the epoch. The datagram carries them behind the message.
    #[serde(skip)]
    pub trials: TrialNotice,
}

impl CallNotice {
    fn crash_count(&self) -> usize {
        count(&self.crashes)
    }
}

fn count(crashes: &BTreeMap<ProcessId, bool>) -> usize {
    ended(crashes).count()
}

/// Returns the processes whose end has not been withdrawn.
fn ended(crashes: &BTreeMap<ProcessId, bool>) -> impl Iterator<Item = ProcessId> {
    crashes.iter().filter(|(_, withdrawn)| !**withdrawn).map(|(process, _)| *process)
}

/// What is known of one call.
#[derive(Clone, Debug)]
struct Suspect {
    epoch: u32,
    crashes: BTreeMap<ProcessId, bool>,
    /// When the call is forgotten unless it comes again.
    expires: Timestamp,
    /// Whether the call only ran beside others that crashed the targets.
    is_excused: bool,
    is_quarantined: bool,
    trials: Trials,
}

impl Suspect {
    fn new(expires: Timestamp) -> Self {
        let (crashes, trials) = (BTreeMap::new(), Trials::default());
        Self { epoch: 0, crashes, expires, is_excused: false, is_quarantined: false, trials }
    }

    fn crash_count(&self) -> usize {
        if self.is_excused { 0 } else { count(&self.crashes) }
    }

    /// Returns whether more processes ended under this call than under `other`, or as many, most of them
    /// under this one alone.
    fn outweighs(&self, other: &Self) -> bool {
        let len = count(&self.crashes);
        match len.cmp(&count(&other.crashes)) {
            Ordering::Greater => true,
            Ordering::Equal => {
                let is_shared = |p: &ProcessId| other.crashes.get(p) == Some(&false);
                2 * ended(&self.crashes).filter(is_shared).count() < len
            }
            Ordering::Less => false,
        }
    }
}

/// Result of the comparison of a notice with what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Comparison {
    /// The notice was news, at least in part, and has been adopted.
    pub(super) is_news: bool,
    /// The sender does not know all that is known here.
    pub(super) is_behind: bool,
}

/// Calls under which processes of targets ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine {
    suspects: IndexMap<CallDigest, Suspect>,
}

impl Quarantine {
    pub(super) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of processes that ended while they ran the call.
    pub(super) fn crash_count(&self, digest: &CallDigest) -> usize {
        self.suspects.get(digest).map_or(0, Suspect::crash_count)
    }

    /// Returns whether the end of `process` is known to have happened under the call.
    pub(super) fn has_crash(&self, digest: &CallDigest, process: &ProcessId) -> bool {
        self.suspects.get(digest).is_some_and(|s| s.crashes.contains_key(process))
    }

    /// Returns whether the call must be sent to no target.
    pub(super) fn is_quarantined(&self, digest: &CallDigest) -> bool {
        self.suspects.get(digest).is_some_and(|s| s.is_quarantined)
    }

    /// Returns the number of calls that are quarantined.
    pub(super) fn quarantined_count(&self) -> usize {
        self.suspects.values().filter(|s| s.is_quarantined).count()
    }

    /// Records that `process` ended at `ended` while it ran the call.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        digest: CallDigest,
        process: ProcessId,
        ended: Timestamp,
    ) {
        self.make_room(&digest);
        let expires = now + MEMORY_TIME;
        let suspect = self.suspects.entry(digest).or_insert_with(|| Suspect::new(expires));
        suspect.expires = expires;
        suspect.trials.record_event(ended);
        suspect.crashes.entry(process).or_insert(false);
        limit_len(&mut suspect.crashes);
    }

    /// Decides anew which calls are quarantined, after a change. Returns those for which the decision is
    /// another one now, with that decision.
    pub(super) fn settle(&mut self) -> Vec<(CallDigest, bool)> {
        let excused = self.excused();
        let mut changed = Vec::new();
        for (digest, suspect) in &mut self.suspects {
            suspect.is_excused = excused.contains(digest);
            let is_quarantined = count(&suspect.crashes) >= CRASH_LIMIT && !suspect.is_excused;
            if suspect.is_quarantined != is_quarantined {
                suspect.is_quarantined = is_quarantined;
                changed.push((*digest, is_quarantined));
            }
        }
        changed
    }

    /// Returns the calls that only ran beside others. One that is excused excuses no other, so that calls
    /// which ran beside each other are not all excused.
    fn excused(&self) -> IndexSet<CallDigest> {
        // Calls that may be blamed for the end of each process.
        let mut blamed: IndexMap<ProcessId, Vec<CallDigest>> = IndexMap::new();
        for (digest, suspect) in &self.suspects {
            if count(&suspect.crashes) >= CRASH_LIMIT {
                for process in ended(&suspect.crashes) {
                    blamed.entry(process).or_default().push(*digest);
                }
            }
        }
        let mut order: Vec<_> = self.suspects.iter().collect();
        order.sort_by_key(|(digest, suspect)| (Reverse(count(&suspect.crashes)), **digest));
        let mut excused = IndexSet::new();
        for (digest, suspect) in order {
            let is_explained = |process: ProcessId| {
                let others = blamed.get(&process).into_iter().flatten();
                let mut others = others.filter(|other| !excused.contains(*other));
                others.any(|other| self.suspects[other].outweighs(suspect))
            };
            if ended(&suspect.crashes).all(is_explained) {
                excused.insert(*digest);
            }
        }
        excused
    }

    /// Records that a quarantined call came again.
    pub(super) fn record_repeat(&mut self, now: Timestamp, digest: &CallDigest) {
        if let Some(suspect) = self.suspects.get_mut(digest) {
            suspect.expires = now + MEMORY_TIME;
        }
    }

    /// Returns when the call crashed a target or was tried for the last time, `None` if it is not suspected.
    pub(super) fn latest_event(&self, digest: &CallDigest) -> Option<Timestamp> {
        let suspect = self.suspects.get(digest).filter(|s| !s.crashes.is_empty())?;
        Some(suspect.trials.latest_event())
    }

    /// Decides what to do with a quarantined call. A claim of a trial that is made now gets `number`.
    pub(super) fn assign_trial(
        &mut self,
        now: Timestamp,
        digest: &CallDigest,
        call: u64,
        number: u64,
    ) -> TrialRole {
        let suspect = self.suspects.get_mut(digest);
        suspect.map_or(TrialRole::Refused, |s| s.trials.assign(now, call, number))
    }

    /// Returns from when on the call may be sent although it is quarantined, `None` if it may not.
    pub(super) fn trial_start(
        &self,
        now: Timestamp,
        digest: &CallDigest,
        call: u64,
    ) -> Option<Timestamp> {
        self.suspects.get(digest)?.trials.start_of(now, call)
    }

    /// Returns the number of the claim for which `call` is the trial of this content, if it is.
    pub(super) fn claim_of(&self, digest: &CallDigest, call: u64) -> Option<u64> {
        self.suspects.get(digest)?.trials.claim_of(call)
    }

    /// Records that the call is sent as the trial of `claim`. Returns whether that is news to the other gateways.
    pub(super) fn start_trial(
        &mut self,
        now: Timestamp,
        digest: &CallDigest,
        call: u64,
        claim: Option<u64>,
    ) -> bool {
        self.suspects.get_mut(digest).is_some_and(|s| s.trials.start(now, call, claim))
    }

    /// Records that the trial has reached no target that runs it.
    pub(super) fn restore_trial(&mut self, digest: &CallDigest, call: u64) {
        if let Some(suspect) = self.suspects.get_mut(digest) {
            suspect.trials.restore(call);
        }
    }

    /// Records that the target at which the call broke off is alive. Returns whether that is news on its trials.
    pub(super) fn survive_trial(&mut self, digest: &CallDigest) -> bool {
        self.suspects.get_mut(digest).is_some_and(|s| s.trials.survive())
    }

    /// Records that a call which may have been a trial has ended.
    pub(super) fn leave_trial(&mut self, digest: &CallDigest, call: u64) {
        if let Some(suspect) = self.suspects.get_mut(digest) {
            suspect.trials.leave(call);
        }
    }

    /// Returns the delay after which a call that is refused may be served.
    pub(super) fn retry_delay(&self, now: Timestamp, digest: &CallDigest) -> Option<Duration> {
        Some(self.suspects.get(digest)?.trials.retry_delay(now))
    }

    /// Records that a target answered the call. Returns whether it had been suspected.
    pub(super) fn acquit(&mut self, digest: &CallDigest) -> bool {
        let Some(suspect) = self.suspects.get_mut(digest) else { return false };
        if suspect.crashes.is_empty() {
            return false;
        }
        suspect.epoch = suspect.epoch.saturating_add(1);
        suspect.crashes.clear();
        suspect.trials = Trials::default();
        true
    }

    /// Withdraws the end of `process`, which is alive. Returns the calls that were suspected of it.
    pub(super) fn withdraw(&mut self, process: ProcessId) -> Vec<CallDigest> {
        let mut changed = Vec::new();
        for (digest, suspect) in &mut self.suspects {
            if let Some(withdrawn @ false) = suspect.crashes.get_mut(&process) {
                *withdrawn = true;
                changed.push(*digest);
            }
        }
        changed
    }

    /// Returns the processes whose end any call is suspected of.
    pub(super) fn accused(&self) -> impl Iterator<Item = ProcessId> {
        self.suspects.values().flat_map(|s| ended(&s.crashes))
    }

    /// Adopts what another gateway knows of a call.
    pub(super) fn merge(&mut self, now: Timestamp, notice: &CallNotice) -> Comparison {
        let expires = now + Duration::from_secs(u64::from(notice.left_s)).min(MEMORY_TIME);
        if notice.left_s == 0 {
            return Comparison { is_news: false, is_behind: false };
        }
        self.make_room(&notice.digest);
        let suspect = self.suspects.entry(notice.digest).or_insert_with(|| Suspect::new(expires));
        suspect.expires = suspect.expires.max(expires);
        let before = (suspect.epoch, suspect.crashes.clone());
        if notice.epoch > suspect.epoch {
            suspect.epoch = notice.epoch;
            suspect.crashes.clear();
            suspect.trials = Trials::default();
        }
        let mut is_trial_news = false;
        if notice.epoch == suspect.epoch {
            for (process, withdrawn) in &notice.crashes {
                *suspect.crashes.entry(*process).or_insert(false) |= withdrawn;
            }
            limit_len(&mut suspect.crashes);
            is_trial_news = suspect.trials.merge(now, &notice.trials);
        }
        let after = (suspect.epoch, &suspect.crashes);
        let is_news = is_trial_news || after != (before.0, &before.1);
        if is_news {
            let age = Duration::from_millis(notice.trials.age_ms.into());
            suspect.trials.record_event(now - age);
        }
        let is_behind =
            after != (notice.epoch, &notice.crashes) || suspect.trials.is_ahead_of(&notice.trials);
        Comparison { is_news, is_behind }
    }

    /// Returns what is known of the call.
    pub(super) fn notice(&self, now: Timestamp, digest: &CallDigest) -> Option<CallNotice> {
        let suspect = self.suspects.get(digest)?;
        Some(CallNotice {
            digest: *digest,
            epoch: suspect.epoch,
            crashes: suspect.crashes.clone(),
            left_s: u32::try_from(suspect.expires.since(now).as_secs()).unwrap_or(u32::MAX),
            trials: suspect.trials.notice(now),
        })
    }

    /// Returns what is known of all calls, quarantined ones first.
    pub(super) fn notices(&self, now: Timestamp) -> Vec<CallNotice> {
        let mut all: Vec<CallNotice> =
            self.suspects.keys().filter_map(|digest| self.notice(now, digest)).collect();
        all.sort_by_key(|notice| std::cmp::Reverse(notice.crash_count()));
        all
    }

    /// Forgets the calls that have not come again for a long time. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.suspects.len();
        self.suspects.retain(|_, s| now < s.expires);
        self.suspects.len() < before
    }

    /// Forgets the call that matters least if another one does not fit.
    fn make_room(&mut self, digest: &CallDigest) {
        if self.suspects.len() < MAX_CALLS || self.suspects.contains_key(digest) {
            return;
        }
        let rank = |s: &Suspect| (s.is_quarantined, s.crash_count(), s.expires);
        let least = self.suspects.iter().min_by_key(|(_, s)| rank(s)).map(|(digest, _)| *digest);
        if let Some(least) = least {
            self.suspects.swap_remove(&least);
        }
    }
}

/// Keeps the processes with the lowest ids, so that all gateways keep the same ones.
fn limit_len(crashes: &mut BTreeMap<ProcessId, bool>) {
    while crashes.len() > MAX_PROCESSES {
        crashes.pop_last();
    }
}
