//! At most one run of a call that is not idempotent, without a store.
//!
//! Every address handed to a caller carries a [`Token`] that names the incarnation of the entry.
//! The key of a call begins with the token, so a key can be run by that incarnation alone,
//! whichever entry the caller reaches. The incarnation remembers a key for as long as the token
//! is valid and refuses older ones, so forgetting a key never lets it run again. No clocks of
//! different hosts are compared.

mod table;
mod token;

pub use table::{BeginResult, FenceResult, KeyTable, MAX_KEYS};
pub use token::{IdempotencyKey, KeyError, TOKEN_LIFETIME, Token};
