//! Bounds of the request path.

use std::time::Duration;

/// Open connections of callers.
pub(super) const CALLER_CONNECTIONS: usize = 8_192;
/// Bytes of the head of a request.
pub(super) const HEAD_BYTES: usize = 64 * 1024;
/// Header fields of a request.
pub(super) const HEAD_FIELDS: usize = 96;
/// Bytes of the body of a request.
pub(super) const BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Bytes that are read of a body that is refused for its size.
pub(super) const DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of a body that is kept whole, for a second try or a replay.
pub(super) const KEPT_BYTES: u64 = 64 * 1024;
/// Characters of an idempotency key or caller name.
pub(super) const NAME_BYTES: usize = 512;
/// Time for the head of a request.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a body that is kept whole.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a new connection to a target or peer.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a caller's connection that takes in nothing is closed.
pub(super) const CALLER_SILENCE: Duration = Duration::from_secs(10);
/// Time after which a connection to a target or peer that takes in nothing is closed.
pub(super) const UPSTREAM_SILENCE: Duration = Duration::from_secs(3);
/// Time since its last answer for which a connection is trusted with a call that may not be
/// repeated.
pub(super) const FRESH: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept.
pub(super) const IDLE: Duration = Duration::from_secs(30);
/// Shortest time for one attempt of an idempotent call.
pub(super) const ATTEMPT_MIN: Duration = Duration::from_millis(100);
/// Time for which a stopping entry still takes calls while callers and peers learn of the stop.
pub(super) const STOP_NOTICE: Duration = Duration::from_secs(2);
/// Time after which a stopping entry cuts what is still in flight.
pub(super) const STOP_LIMIT: Duration = Duration::from_secs(30);
/// When a caller may come back that met a stopping entry or a full table.
pub(super) const COME_BACK: Duration = Duration::from_secs(1);
/// Time for one probe.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which idle connections and the oldest waiting call are looked at.
pub(super) const HOUSE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest gap that control reports as a pause of the process.
pub(super) const PAUSE_GAP: Duration = Duration::from_millis(400);
/// Interval at which the free slots of a service are told to control.
pub(super) const FREE_INTERVAL: Duration = Duration::from_millis(2);
