//! Options of sockets on the request path.

use rustix::net::sockopt::set_tcp_user_timeout;
use std::{io, time::Duration};
use tokio::net::TcpStream;

/// Sends small writes at once, and lets the kernel close a connection whose other end takes in
/// nothing for `silence`: it has lost track of the connection or does not read.
///
/// # Errors
///
/// When the connection is closed already.
pub fn configure(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let ms = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
    set_tcp_user_timeout(stream, ms)?;
    Ok(())
}
