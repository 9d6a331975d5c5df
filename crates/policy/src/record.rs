//! The audit record: how its lines are chained, and how a record is verified.
//!
//! Every incarnation of an entry writes lines of its own, numbered from 1. The hash of a line
//! covers the hash of the line before, so that a line that was changed, dropped, added or moved
//! breaks the chain at a place that can be named.

mod chain;
mod finding;
mod incarnation;
mod order;
mod verify;

pub use chain::{HashChain, genesis_hash, line_hash};
pub use finding::{Finding, FindingKind, Location};
pub use verify::{RunCounts, Summary, Verifier};
