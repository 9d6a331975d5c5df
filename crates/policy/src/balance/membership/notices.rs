//! How the gateways tell each other of limits of targets and of calls that crash them.
//!
//! A change goes from the gateway that learned of it to its failure domain, from there by the primary
//! to the primaries of the other domains, and by these to theirs. The gateways that callers are
//! directed to repeat all that is in force from time to time, for gateways that missed a message.

use super::{
    super::{
        heartbeat::{Message, Outgoing},
        limits::LimitNotice,
        quarantine::CallNotice,
    },
    Membership, REMOTE_INTERVAL,
};
use crate::Timestamp;
use std::{net::IpAddr, time::Duration};

/// Minimum interval at which what is in force is repeated within the failure domain.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between the sends of one change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of the notices in one datagram.
const MAX_NOTICE_BYTES: usize = 1_200;
/// Maximum number of datagrams with notices of one kind in reply to a join message.
const MAX_JOIN_PAGES: usize = 16;
/// Bytes of a limit beside the name of its target.
const LIMIT_OVERHEAD_BYTES: usize = 24;
/// Bytes of a notice of a call with its trials beside its crashes, and of each of these.
const CALL_BYTES: (usize, usize) = (60, 11);

/// Fact that one gateway tells the others.
pub(super) trait Notice: Clone {
    /// Times that a change is sent.
    const CHANGE_SENDS: u32;
    /// Maximum size of the notices that are repeated at a time.
    const REPEAT_BYTES: usize;

    /// Returns an upper bound of the size in a message.
    fn bytes(&self) -> usize;

    /// Returns the message that carries `notices`.
    fn message(notices: Vec<Self>) -> Message;
}

impl Notice for LimitNotice {
    const CHANGE_SENDS: u32 = 1;
    const REPEAT_BYTES: usize = MAX_NOTICE_BYTES;

    fn bytes(&self) -> usize {
        self.target.len() + LIMIT_OVERHEAD_BYTES
    }

    fn message(notices: Vec<Self>) -> Message {
        Message::Limits(notices)
    }
}

impl Notice for CallNotice {
    // A call must be known to all within 3 s, two messages away, although a fifth of them is lost.
    const CHANGE_SENDS: u32 = 4;
    const REPEAT_BYTES: usize = 400;

    fn bytes(&self) -> usize {
        CALL_BYTES.0 + self.crashes.len() * CALL_BYTES.1
    }

    fn message(notices: Vec<Self>) -> Message {
        Message::Calls(notices)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    Local,
    Remote,
    All,
}

/// Change that is being sent.
#[derive(Clone, Debug)]
struct Change<Kind> {
    notice: Kind,
    /// Failure domains that do not know it yet.
    audience: Audience,
    sends_left: u32,
    due: Timestamp,
}

/// Notices of one kind that are to be sent to other gateways.
#[derive(Clone, Debug)]
pub(super) struct NoticeOutbox<Kind> {
    changes: Vec<Change<Kind>>,
    /// All that is in force.
    in_force: Vec<Kind>,
    /// Index of the notice in force that is repeated next.
    position: usize,
    next_local: Timestamp,
    next_remote: Timestamp,
}

impl<Kind> Default for NoticeOutbox<Kind> {
    fn default() -> Self {
        Self {
            changes: Vec::new(),
            in_force: Vec::new(),
            position: 0,
            next_local: Timestamp::default(),
            next_remote: Timestamp::default(),
        }
    }
}

/// Receivers of notices.
struct Receivers {
    local: Vec<IpAddr>,
    remote: Vec<IpAddr>,
    /// Interval at which this gateway repeats notices within its failure domain, `None` if others do.
    repeat_interval: Option<Duration>,
}

impl<Kind> NoticeOutbox<Kind>
where
    Kind: Notice,
{
    /// Returns when notices are to be sent next, [`Timestamp::MAX`] if there are none.
    pub(super) fn next_due(&self) -> Timestamp {
        let change = self.changes.iter().map(|c| c.due).min().unwrap_or(Timestamp::MAX);
        match self.in_force.is_empty() {
            true => change,
            false => change.min(self.next_local).min(self.next_remote),
        }
    }

    /// Returns the messages that tell a gateway what is in force.
    pub(super) fn all_for(&self, to: IpAddr) -> Vec<Outgoing> {
        let pages = pages(self.in_force.iter().cloned(), MAX_NOTICE_BYTES);
        let messages = pages.into_iter().take(MAX_JOIN_PAGES).map(Kind::message);
        messages.map(|message| Outgoing { to, message }).collect()
    }

    /// Returns the notices that are repeated now, others at each call.
    fn next_page(&mut self) -> Vec<Kind> {
        let count = self.in_force.len();
        let start = self.position % count.max(1);
        let all = self.in_force.iter().cycle().skip(start).take(count).cloned();
        let page = pages(all, Kind::REPEAT_BYTES).into_iter().next().unwrap_or_default();
        self.position = start + page.len();
        page
    }

    fn announce(&mut self, notices: Vec<Kind>, audience: Audience) {
        let change = |notice| Change {
            notice,
            audience,
            sends_left: Kind::CHANGE_SENDS,
            due: Timestamp::default(),
        };
        self.changes.extend(notices.into_iter().map(change));
    }

    /// Sends what is due.
    fn send(&mut self, now: Timestamp, to: &Receivers, outgoing: &mut Vec<Outgoing>) {
        for (hosts, excluded) in [(&to.local, Audience::Remote), (&to.remote, Audience::Local)] {
            let due = self.changes.iter().filter(|c| c.due <= now && c.audience != excluded);
            for page in pages(due.map(|c| c.notice.clone()), MAX_NOTICE_BYTES) {
                send_page(hosts, &page, outgoing);
            }
        }
        for change in self.changes.iter_mut().filter(|c| c.due <= now) {
            change.sends_left -= 1;
            change.due = now + CHANGE_INTERVAL;
        }
        self.changes.retain(|c| c.sends_left > 0);
        let (local_due, remote_due) = (now >= self.next_local, now >= self.next_remote);
        if self.in_force.is_empty() || !(local_due || remote_due) {
            return;
        }
        let Some(interval) = to.repeat_interval else {
            self.next_local = now + MIN_REPEAT_INTERVAL;
            self.next_remote = now + MIN_REPEAT_INTERVAL;
            return;
        };
        let page = self.next_page();
        if local_due {
            self.next_local = now + interval;
            send_page(&to.local, &page, outgoing);
        }
        if remote_due {
            self.next_remote = now + REMOTE_INTERVAL;
            send_page(&to.remote, &page, outgoing);
        }
    }
}

impl Membership {
    /// Sets the limits in force that this gateway knows.
    pub fn set_limits(&mut self, in_force: Vec<LimitNotice>) {
        self.limit_outbox.in_force = in_force;
    }

    /// Sends changed limits on to the gateways that do not know them yet. `from` is the gateway that
    /// they came from, `None` if this gateway has learned of them from an answer.
    pub fn announce_limits(&mut self, notices: Vec<LimitNotice>, from: Option<IpAddr>) {
        let audience = self.audience(from);
        self.limit_outbox.announce(notices, audience);
    }

    /// Sets what this gateway knows of calls under which processes of targets ended.
    pub fn set_calls(&mut self, in_force: Vec<CallNotice>) {
        self.call_outbox.in_force = in_force;
    }

    /// Sends what is new of such calls on to the gateways that do not know it yet. `from` is the
    /// gateway that it came from, `None` if this gateway has learned it itself.
    pub fn announce_calls(&mut self, notices: Vec<CallNotice>, from: Option<IpAddr>) {
        let audience = self.audience(from);
        self.call_outbox.announce(notices, audience);
    }

    /// Returns the messages that tell the gateway at `to` what it does not know of such calls.
    pub fn call_replies(to: IpAddr, unknown: Vec<CallNotice>) -> Vec<Outgoing> {
        let pages = pages(unknown.into_iter(), MAX_NOTICE_BYTES).into_iter();
        pages.map(|page| Outgoing { to, message: Message::Calls(page) }).collect()
    }

    fn audience(&self, from: Option<IpAddr>) -> Audience {
        let sender =
            from.and_then(|ip| self.peers.values().find(|p| p.heartbeat.call_address.ip() == ip));
        match (from, sender) {
            (None, _) => Audience::All,
            (Some(_), Some(p)) if p.heartbeat.domain == self.own.domain => Audience::Remote,
            (Some(_), _) => Audience::Local,
        }
    }

    /// Sends the notices that are due.
    pub(super) fn send_notices(&mut self, now: Timestamp, outgoing: &mut Vec<Outgoing>) {
        if self.limit_outbox.next_due().min(self.call_outbox.next_due()) > now {
            return;
        }
        let is_primary = self.is_primary();
        let repeats = is_primary || self.is_directed();
        let local = self.local_peers().filter(|p| p.alive);
        let receivers = Receivers {
            local: local.map(|p| p.heartbeat.call_address.ip()).collect(),
            remote: if is_primary { self.remote_contacts() } else { Vec::new() },
            repeat_interval: repeats.then(|| MIN_REPEAT_INTERVAL.max(self.local_interval())),
        };
        self.limit_outbox.send(now, &receivers, outgoing);
        self.call_outbox.send(now, &receivers, outgoing);
    }
}

fn send_page<Kind>(to: &[IpAddr], page: &[Kind], outgoing: &mut Vec<Outgoing>)
where
    Kind: Notice,
{
    let message = Kind::message(page.to_vec());
    outgoing.extend(to.iter().map(|to| Outgoing { to: *to, message: message.clone() }));
}

/// Splits notices into parts of `max_bytes` at most, which fit into one datagram each.
fn pages<Kind, Notices>(notices: Notices, max_bytes: usize) -> Vec<Vec<Kind>>
where
    Kind: Notice,
    Notices: Iterator<Item = Kind>,
{
    let mut pages: Vec<Vec<Kind>> = Vec::new();
    let mut bytes = max_bytes;
    for notice in notices {
        let size = notice.bytes();
        bytes += size;
        match pages.last_mut() {
            Some(page) if bytes <= max_bytes => page.push(notice),
            _ => {
                bytes = size;
                pages.push(vec![notice]);
            }
        }
    }
    pages
}
