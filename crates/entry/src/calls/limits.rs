//! Limits and timeouts of the request path.

use std::time::Duration;

/// Maximum number of open connections from callers and peers.
pub(super) const MAX_CALLER_CONNECTIONS: usize = 8_192;
/// Maximum size of a request head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of header fields in a request.
pub(super) const MAX_HEADERS: usize = 96;
/// Maximum size of a request body, in bytes.
pub(super) const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum number of bytes read from a body that is rejected for its size.
pub(super) const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of a body that is buffered so that it can be sent again or replayed, in bytes.
pub(super) const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// Maximum length of an idempotency key or caller name, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 512;
/// Timeout for reading the head of a request.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for reading a body that is buffered or discarded.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for connecting to a target or peer.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a caller's connection is closed if the caller acknowledges nothing of what was
/// sent.
pub(super) const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the body of a response must end if the caller names no time limit.
pub(super) const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// TCP user timeout of a connection to a target or peer.
pub(super) const UPSTREAM_TCP_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time since its last response for which an idle connection may carry a call that must
/// not be repeated.
pub(super) const RECENT_ACTIVITY: Duration = Duration::from_secs(1);
/// Time after which an idle connection to a target or peer is closed.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum timeout of an attempt that another attempt may follow.
pub(super) const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a stopping entry still accepts calls, so that callers and peers learn of the
/// stop first.
pub(super) const STOP_NOTICE_PERIOD: Duration = Duration::from_secs(2);
/// Time after the closing of the listener in which calls that have been sent are still read. Then
/// idle connections are closed.
pub(super) const LAST_CALL_TIME: Duration = Duration::from_millis(200);
/// Time that a stopping entry allows calls in flight to finish before it aborts them, unless the
/// local settings name another.
pub(super) const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that a stopping entry allows for the delivery of the answers to aborted calls.
pub(super) const ABORT_TIMEOUT: Duration = Duration::from_secs(4);
/// `Retry-After` of a request that was not accepted or whose key does not fit in the key table.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Timeout of a probe.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which idle connections are checked, and the free slots and the age of the oldest
/// waiting call are updated.
pub(super) const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Lower bound of the duration of the process pauses that the control thread reports.
pub(super) const MIN_PAUSE: Duration = Duration::from_millis(400);
/// Minimum time between an update of the free slots of a service for the control thread and the next
/// update that an event triggers.
pub(super) const FREE_SLOTS_INTERVAL: Duration = Duration::from_millis(2);
