//! Names of the HTTP header fields and their fixed values.

/// Name of the caller, for fairness among callers. The peer's address stands in when absent.
pub const CALLER: &str = "x-azuretally-caller";
/// Time that the caller still allows for the call, in whole ms.
pub const TIMEOUT_MS: &str = "x-azuretally-timeout-ms";
/// Key of a call that is not idempotent (the IETF `Idempotency-Key` field).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Token that names the incarnation of the entry that was given out with an address.
pub const TOKEN: &str = "x-azuretally-token";
/// Number of entries that the call has passed. Set by entries when they relay.
pub const HOPS: &str = "x-azuretally-hops";
/// Outcome of the call: [`ANSWERED`], [`NOT_RUN`] or [`UNKNOWN`].
pub const OUTCOME: &str = "x-azuretally-outcome";
/// Short reason in kebab case when the outcome is not [`ANSWERED`].
pub const REASON: &str = "x-azuretally-reason";
/// Revision of the settings under which the call was decided.
pub const REVISION: &str = "x-azuretally-revision";
/// Host name of the entry that decided the call.
pub const ENTRY: &str = "x-azuretally-entry";
/// Set to `1` on answers of an entry that is stopping: the caller should ask for directions.
pub const ASK_AGAIN: &str = "x-azuretally-ask-again";

/// The target ran the call and this is its answer.
pub const ANSWERED: &str = "answered";
/// The call was not run and never will be. Comes with `Retry-After`.
pub const NOT_RUN: &str = "not-run";
/// The call may have been run.
pub const UNKNOWN: &str = "unknown";

/// On a target's answer: slots in use when the answer was written.
pub const TARGET_BUSY: &str = "x-target-busy";
/// On a target's answer: `serving` or `draining`.
pub const TARGET_STATE: &str = "x-target-state";
/// On a target's 503 answer: why the call was refused without being run.
pub const TARGET_REFUSED: &str = "x-target-refused";
/// On a target's answer: incarnation of the target process.
pub const TARGET_INCARNATION: &str = "x-target-incarnation";
/// Towards a target: time that it still has for the call, in whole ms.
pub const TARGET_TIMEOUT_MS: &str = "x-target-timeout-ms";
/// On refusals: when the caller may come back, in whole ms, beside `Retry-After` in seconds.
pub const RETRY_AFTER_MS: &str = "x-azuretally-retry-after-ms";
/// Number that the caller gives to a call; targets repeat it on their answers.
pub const CALL: &str = "x-azuretally-call";
/// Towards a target: name of the target for which the call is meant. Any other refuses it with 421.
pub const TARGET: &str = "x-target";
/// On a target's answer: calls running, calls waiting, slots and, where it is told, the pace of its
/// machine in percent, separated by commas.
pub const TARGET_LOAD: &str = "x-target-load";
/// Set to `1` on an answer that was kept from the first call with the same key.
pub const REPLAYED: &str = "x-azuretally-replayed";
/// Path at which a caller asks what became of an idempotency key, and fences it.
pub const FENCE_PATH: &str = "/-/fence";
/// Path at which an entry takes copies of a peer's record lines.
pub const COPIES_PATH: &str = "/-/copies";
/// On copies of record lines: HMAC-SHA256 of the body under the peer key, in lower-case hex.
pub const COPIES_MAC: &str = "x-azuretally-copies-mac";
