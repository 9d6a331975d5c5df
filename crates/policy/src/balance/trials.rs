//! Trials of quarantined calls.
//!
//! Nothing is learned of a call while it is refused. If its targets ended for another reason, it would be
//! refused for good. The fleet therefore sends a quarantined call to a target once more from time to time;
//! an answer acquits it.
//!
//! One gateway makes a trial for all. It claims the trial, tells the others, and sends the call after
//! [`SETTLE_TIME`] unless it has heard of a claim that outranks its own. What the gateways tell each other of
//! trials forms a semilattice, like all that they tell of a call.

use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Delays of the first trials after the latest crash or trial. Each trial of a call that does crash its
/// targets ends one more of them.
const FIRST_DELAYS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(30)];
/// Trials that do not count since their target went on living after they broke off.
const MAX_SURVIVED: u32 = 1;
/// Delay of each later trial.
const LATER_DELAY: Duration = Duration::from_secs(24 * 3_600);
/// Time after a claim in which the other gateways hear of it.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after a claim for which it can be used. Others may claim the trial afterwards.
const CLAIM_TIME: Duration = Duration::from_secs(10);
/// Time after the start of a trial in which most calls are answered.
const RESULT_TIME: Duration = Duration::from_secs(1);
/// Range of retry delays given to callers. The longest one also where no trial is made.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Trials of a call, in the form sent to other gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNotice {
    /// Number of claims.
    pub claims: u32,
    /// Random number of the latest claim. It outranks lower ones that were made at the same time.
    pub claim: u64,
    /// Number of trials that were sent to targets.
    pub sent: u32,
    /// Number of those that broke off at a target which went on living.
    pub survived: u32,
    /// Time since the latest crash or trial, in ms.
    pub age_ms: u32,
}

impl TrialNotice {
    /// Returns what is known of the trials, without their time.
    const fn without_age(self) -> Self {
        Self { age_ms: 0, ..self }
    }
}

/// Claim of this gateway.
#[derive(Clone, Copy, Debug, Default)]
struct OwnClaim {
    number: u64,
    /// The call that is sent as the trial, if one has come.
    call: Option<u64>,
    /// Whether an attempt is running or has been sent.
    is_used: bool,
    /// Whether the trial is counted among those that were sent, and among those that broke off at a living
    /// target.
    is_counted: bool,
    is_survived: bool,
}

/// What a gateway may do with a call that is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialRole {
    /// Refuse it.
    Refused,
    /// Send it as the trial that this gateway has claimed before.
    Chosen,
    /// Send it as the trial that this gateway has just claimed.
    Claimed,
}

/// Trials of one call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Trials {
    /// What the gateways know, without its age.
    known: TrialNotice,
    /// When the call crashed a target or was tried for the last time.
    since: Timestamp,
    /// When the latest claim became known.
    claimed: Timestamp,
    own: Option<OwnClaim>,
    /// Claim of the call under its other hash for which a trial was last counted here.
    counted: Option<u64>,
}

impl Trials {
    /// Records that the call crashed a target or was tried at `at`.
    pub(super) fn record_event(&mut self, at: Timestamp) {
        self.since = self.since.max(at);
    }

    /// Returns when the call crashed a target or was tried for the last time.
    pub(super) fn latest_event(&self) -> Timestamp {
        self.since
    }

    /// Decides what to do with `call`. A claim that is made now gets `number`.
    pub(super) fn assign(&mut self, now: Timestamp, call: u64, number: u64) -> TrialRole {
        if let Some(own) = self.usable_claim(now) {
            if own.call.is_some() {
                return TrialRole::Refused;
            }
            if !own.is_used {
                own.call = Some(call);
                return TrialRole::Chosen;
            }
        }
        if now < self.next_claim() {
            return TrialRole::Refused;
        }
        self.known.claims = self.known.claims.saturating_add(1);
        self.known.claim = number;
        self.claimed = now;
        self.own = Some(OwnClaim { number, call: Some(call), ..OwnClaim::default() });
        TrialRole::Claimed
    }

    /// Returns from when on `call` may be sent as the trial, `None` if it may not.
    pub(super) fn start_of(&self, now: Timestamp, call: u64) -> Option<Timestamp> {
        let own = self.own.filter(|own| self.is_valid(now, own))?;
        (own.call == Some(call) && !own.is_used).then_some(self.claimed + SETTLE_TIME)
    }

    /// Returns the number of the claim for which `call` is the trial, if it is.
    pub(super) fn claim_of(&self, call: u64) -> Option<u64> {
        self.own.filter(|own| own.call == Some(call)).map(|own| own.number)
    }

    /// Records that `call` is being sent, as the trial of `claim`, which may be that of its other hash. Returns
    /// whether that is news to the other gateways.
    pub(super) fn start(&mut self, now: Timestamp, call: u64, claim: Option<u64>) -> bool {
        let is_news = match self.own.as_mut().filter(|own| own.call == Some(call)) {
            Some(own) => {
                own.is_used = true;
                !std::mem::replace(&mut own.is_counted, true)
            }
            None => claim.is_none() || std::mem::replace(&mut self.counted, claim) != claim,
        };
        if is_news {
            self.known.sent = self.known.sent.saturating_add(1);
            self.since = now;
        }
        is_news
    }

    /// Records that the attempt of `call` has reached no target that runs it.
    pub(super) fn restore(&mut self, call: u64) {
        if let Some(own) = self.own.as_mut().filter(|own| own.call == Some(call)) {
            own.is_used = false;
        }
    }

    /// Records that the target at which the trial broke off is alive. Returns whether that is news to the other
    /// gateways.
    pub(super) fn survive(&mut self) -> bool {
        let Some(own) = self.own.as_mut().filter(|own| own.is_used) else { return false };
        let is_news = !std::mem::replace(&mut own.is_survived, true);
        self.known.survived = self.known.survived.saturating_add(u32::from(is_news));
        is_news
    }

    /// Records that `call` has ended. Another one can take its place if it was not sent.
    pub(super) fn leave(&mut self, call: u64) {
        if let Some(own) = self.own.as_mut().filter(|own| own.call == Some(call)) {
            own.call = None;
        }
    }

    /// Adopts what another gateway knows. Returns whether that was news.
    pub(super) fn merge(&mut self, now: Timestamp, notice: &TrialNotice) -> bool {
        let before = self.known;
        let known = &mut self.known;
        if (notice.claims, notice.claim) > (known.claims, known.claim) {
            (known.claims, known.claim) = (notice.claims, notice.claim);
            self.claimed = now;
        }
        known.sent = known.sent.max(notice.sent);
        known.survived = known.survived.max(notice.survived);
        *known != before
    }

    /// Returns whether a gateway that has sent `notice` does not know all that is known here. Earlier builds
    /// know of no trials.
    pub(super) fn is_ahead_of(&self, notice: &TrialNotice) -> bool {
        notice.claims > 0 && notice.without_age() != self.known
    }

    pub(super) fn notice(&self, now: Timestamp) -> TrialNotice {
        let age_ms = u32::try_from(now.since(self.since).as_millis()).unwrap_or(u32::MAX);
        TrialNotice { age_ms, ..self.known }
    }

    /// Returns the delay after which a refused call may be served.
    pub(super) fn retry_delay(&self, now: Timestamp) -> Duration {
        let result = self.claimed + SETTLE_TIME + RESULT_TIME;
        let is_claimed = self.known.claims > 0 && now < result;
        let at = if is_claimed { result } else { self.next_claim() + SETTLE_TIME };
        at.since(now).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Returns when the next trial may be claimed.
    fn next_claim(&self) -> Timestamp {
        let TrialNotice { claims, sent, survived, .. } = self.known;
        let counted = sent.saturating_sub(survived.min(MAX_SURVIVED));
        let delay = FIRST_DELAYS.get(counted as usize).copied().unwrap_or(LATER_DELAY);
        let due = self.since + (delay - SETTLE_TIME);
        let is_unused = claims > 0 && self.since <= self.claimed;
        if is_unused { due.max(self.claimed + CLAIM_TIME) } else { due }
    }

    fn usable_claim(&mut self, now: Timestamp) -> Option<&mut OwnClaim> {
        let is_valid = self.own.is_some_and(|own| self.is_valid(now, &own));
        self.own.as_mut().filter(|_| is_valid)
    }

    /// Returns whether no other claim outranks `own`, and it can still be used.
    fn is_valid(&self, now: Timestamp, own: &OwnClaim) -> bool {
        own.number == self.known.claim && now < self.claimed + CLAIM_TIME
    }
}
