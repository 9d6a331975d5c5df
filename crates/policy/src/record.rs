//! Audit record: hash chain and verification.
//!
//! Each incarnation of an entry writes its own lines, numbered from 1. The hash of a line covers
//! the hash of the line before it, so a changed, dropped, inserted or moved line breaks the chain
//! at a known position.

mod chain;
mod finding;
mod incarnation;
mod order;
mod verify;

pub use chain::{HashChain, genesis_hash, line_hash};
pub use finding::{Finding, FindingKind, Location};
pub use verify::{RunCounts, Summary, Verifier};
