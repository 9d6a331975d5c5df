//! Socket options for TCP connections.

use rustix::net::sockopt::set_tcp_user_timeout;
use std::{io, time::Duration};
use tokio::net::TcpStream;

/// Sets `TCP_NODELAY` and a `TCP_USER_TIMEOUT` of `timeout` on `stream`.
///
/// Small writes are sent without delay, and the kernel closes a connection whose peer has
/// acknowledged nothing for `timeout`: the peer has lost the connection or does not read.
///
/// # Errors
///
/// Returns an error if the connection is already closed.
pub fn configure(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    set_tcp_user_timeout(stream, timeout_ms)?;
    Ok(())
}
