//! Messages of other gateways that cannot be read, as between builds that do not understand each other.

use super::codec::MessageKind;
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use azuretally_policy::{Timestamp, balance::Build};
use indexmap::IndexSet;
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Minimum interval between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of senders that are counted each.
const MAX_SENDERS: usize = 256;
/// Sender that is not known.
const OTHER_SENDER: &str = "other";

/// State of the counts and lines on messages that could not be read.
#[derive(Clone, Debug, Default)]
pub struct UnreadableMessages {
    /// Senders that are counted each.
    senders: IndexSet<Arc<str>>,
    /// Messages since the latest line.
    unreported: u64,
    /// When a line may be written next.
    next_line: Timestamp,
}

impl UnreadableMessages {
    /// Returns the name under which messages of the gateway on `host` are counted.
    fn label(&mut self, host: Option<&Arc<str>>) -> Arc<str> {
        let Some(host) = host else { return OTHER_SENDER.into() };
        if self.senders.len() < MAX_SENDERS {
            self.senders.insert(Arc::clone(host));
        }
        if self.senders.contains(host) { Arc::clone(host) } else { OTHER_SENDER.into() }
    }

    /// Returns how many messages a line has to report, `None` if none is to be written yet.
    fn take_unreported(&mut self, now: Timestamp) -> Option<u64> {
        self.unreported += 1;
        if now < self.next_line {
            return None;
        }
        self.next_line = now + LINE_INTERVAL;
        Some(std::mem::take(&mut self.unreported))
    }
}

impl<Adapter> Gateway<Adapter>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    /// Counts a message from `from` that could not be read and was dropped, and writes a line from time to
    /// time.
    pub fn record_unreadable_message(&self, kind: MessageKind, from: IpAddr) {
        let (host, build) = match self.membership.borrow().build_at(from) {
            Some((host, build)) => (Some(Arc::clone(host)), build.clone()),
            None => (None, Build::default()),
        };
        let mut messages = self.unreadable_messages.borrow_mut();
        let sender = messages.label(host.as_ref());
        let kind = kind.as_str();
        self.metrics.record_unreadable_message(kind, &sender);
        if let Some(count) = messages.take_unreported(self.clock.now()) {
            // Name and version come from the network.
            let Build { generation, version } = build;
            log::warn!(
                "control: unreadable messages={count}, the last kind={kind} from={from} \
                 peer={sender:?} generation={generation} version={version:?}"
            );
        }
    }
}
