//! Names of HTTP header fields, their fixed values, and paths of requests to entries.

/// Name of the caller, used for fairness among callers. Defaults to the IP address of the client.
pub const CALLER: &str = "x-azuretally-caller";
/// Remaining time that the caller allows for the call, in whole ms.
pub const TIMEOUT_MS: &str = "x-azuretally-timeout-ms";
/// Key that identifies a call that is not idempotent (the IETF `Idempotency-Key` field).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Token that identifies the incarnation of an entry, issued together with its address. No process
/// sends or reads this field: callers send the token at the start of [`IDEMPOTENCY_KEY`].
pub const TOKEN: &str = "x-azuretally-token";
/// Set to `1` by an entry on the calls that it sends to targets, and on the calls and key queries
/// that it relays to peers. An entry does not relay a request with this field, whatever its value.
pub const HOPS: &str = "x-azuretally-hops";
/// Outcome of the call: [`ANSWERED`], [`NOT_RUN`] or [`UNKNOWN`].
pub const OUTCOME: &str = "x-azuretally-outcome";
/// Short reason in kebab case when the outcome is not [`ANSWERED`].
pub const REASON: &str = "x-azuretally-reason";
/// Revision of the settings under which the entry handled the call.
pub const REVISION: &str = "x-azuretally-revision";
/// Host name of the entry that determined the outcome of the call.
pub const ENTRY: &str = "x-azuretally-entry";
/// Set to `1` on responses of a stopping entry: the caller should request new directions.
pub const ASK_AGAIN: &str = "x-azuretally-ask-again";

/// The target ran the call and the response is the target's own.
pub const ANSWERED: &str = "answered";
/// The call was not run and never will be. Entries send `Retry-After` with it; the gateway does so
/// only if the reason is `not-run`.
pub const NOT_RUN: &str = "not-run";
/// The call may have been run.
pub const UNKNOWN: &str = "unknown";

/// In a target's response: number of slots in use when the response was written.
pub const TARGET_BUSY: &str = "x-target-busy";
/// In a target's response: `serving` or `draining`.
pub const TARGET_STATE: &str = "x-target-state";
/// In a target's 503 response: why the call was refused without being run.
pub const TARGET_REFUSED: &str = "x-target-refused";
/// In a target's response: incarnation of the target process.
pub const TARGET_INCARNATION: &str = "x-target-incarnation";
/// In a request of an entry to a target: a number that the entry gives to no other request. A target that
/// copies it to its response lets the entry tell the response from a late copy of an earlier one.
pub const TARGET_ATTEMPT: &str = "x-target-attempt";
/// In a request to a target: remaining time for the call, in whole ms.
pub const TARGET_TIMEOUT_MS: &str = "x-target-timeout-ms";
/// In a reply to a call that was not run: time after which the caller may retry, in whole ms. Sent
/// together with `Retry-After`, which has a resolution of one second.
pub const RETRY_AFTER_MS: &str = "x-azuretally-retry-after-ms";
/// Text with which the caller identifies a call. Targets copy it to their responses, and the
/// gateway to the responses that it creates for failed calls.
pub const CALL: &str = "x-azuretally-call";
/// In a request to a target: name of the intended target. Any other target refuses it with 421. In
/// the response to a probe: name of the target that responds.
pub const TARGET: &str = "x-target";
/// In a target's response: running calls, waiting calls, slots and optionally the slowdown of its
/// machine in percent (100 is normal, more is slower), separated by commas.
pub const TARGET_LOAD: &str = "x-target-load";
/// In a target's response: requests per second that the target takes from all gateways together, a
/// decimal number, for as long as its responses say so. Only the gateway reads it.
pub const TARGET_LIMIT: &str = "x-target-limit";
/// In a target's response: `1` if the target is about to end and takes no new calls. Only the gateway reads it.
pub const TARGET_LEAVING: &str = "x-target-leaving";
/// In a call that one gateway relays to another: the attempts that are left, the version of the settings
/// that the gateway uses, and the address of the caller, separated by commas. A relayed call is not
/// relayed again. In the response: the version of the settings under which the call was handled.
pub const RELAYED: &str = "x-azuretally-relayed";
/// In the response to a relayed call: the target that ran it, if that says that it leaves: the number of
/// its process and its name, separated by a comma.
pub const DEPARTED: &str = "x-azuretally-departed";
/// In the response to a relayed call that the gateway has refused and sent to no target: ms after which
/// the caller may come back.
pub const UNSENT: &str = "x-azuretally-unsent";
/// In all responses of the platform to a gateway: era of its data, a whole number above 0. It rises by
/// one each time the platform is restored from a copy, after which its revisions continue from an
/// earlier one. Missing if the platform knows no eras.
pub const PLATFORM_ERA: &str = "x-azuretally-platform-era";
/// Set to `1` on a response that was stored for the first call with the same idempotency key.
pub const REPLAYED: &str = "x-azuretally-replayed";
/// Path at which a caller queries the outcome of an idempotency key. A key that has not run yet is
/// fenced, so that it never runs.
pub const FENCE_PATH: &str = "/-/fence";
/// Path at which an entry accepts copies of a peer's record lines.
pub const COPIES_PATH: &str = "/-/copies";
/// In a request with copies of record lines: HMAC-SHA256, under the peer key, of `copies`, a line
/// feed and the body, in lower-case hex.
pub const COPIES_MAC: &str = "x-azuretally-copies-mac";
