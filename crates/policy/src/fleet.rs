//! Decisions about the fleet as a whole: who is in it, which settings are in force, which entries
//! serve which service and which targets are leaving.
//!
//! [`Fleet`] is the state machine of one entry. Its parts are usable on their own.

mod envelope;
mod gossip;
mod heartbeat;
mod leaving;
mod lifecycle;
mod member;
mod membership;
mod message;
mod monitor;
mod node;
mod pacer;
mod placement;
mod rings;
mod roll_call;
mod sets;
mod shelf;
mod sizer;
mod slots;
mod values;

pub use envelope::{MAX_MESSAGE_BYTES, MessageError, ReplayGuard, open, seal};
pub use heartbeat::{HEARTBEAT, STALE_AFTER};
pub use leaving::{Leaving, Listed};
pub use lifecycle::{ENTRY_CHART, Lifecycle, LifecycleEvent};
pub use member::{ACCUSATION_HOLD, ACCUSERS_NEEDED, Member, PEER_CHART, PeerEvent, Standing};
pub use membership::{Change, GONE_MEMORY, LOSS_MEMORY, Membership, SUSPICION};
pub use message::{
    Accusation, Addresses, Body, Condition, Document, Header, Heads, News, Record, Sighting, Topic,
    Version,
};
pub use monitor::{MISSES_ALLOWED, Monitor, Ping};
pub use node::{Action, Fleet, FleetBuilder};
pub use pacer::{FLEET_CALLS_PER_S, Pacer, token_pause};
pub use placement::{Candidate, place};
pub use rings::{RINGS, predecessors, successors};
pub use roll_call::{CALL_LIMIT, SAMPLE};
pub use sets::Sets;
pub use shelf::{Accepted, Refused, Shelf, Verdict};
pub use sizer::{AIM, GROW_ABOVE, SHRINK_BELOW, ServiceLoad, Sizer};
pub use slots::{SLOT_BYTES_PER_S, SLOTS_HOLD, Slots};
pub use values::WATCHERS;
