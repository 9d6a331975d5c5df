//! At-most-once execution of non-idempotent calls, without persistent storage.
//!
//! Every address given to a caller carries a [`Token`] that names the incarnation of the entry. The
//! idempotency key of a call begins with the token, so only that incarnation can run the key,
//! whichever entry the caller reaches. The incarnation remembers a key for as long as its token is
//! valid and rejects expired tokens, so a forgotten key never runs again. Clocks of different hosts
//! are never compared.

mod table;
mod token;

pub use table::{BeginResult, FenceResult, KeyTable, MAX_KEYS};
pub use token::{IdempotencyKey, KeyError, TOKEN_LIFETIME, Token};
