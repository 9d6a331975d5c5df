//! HTTP/1.1 client with a pool of keep-alive connections.
//!
//! It uses hyper's low-level connections because callers must know whether a request may have been
//! written: this decides whether a call may be sent again.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};
use tokio_util::task::TaskTracker;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why a request got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No part of the request was written.
    NotSent,
    /// The exchange was interrupted after the request may have reached the server.
    Interrupted,
}

/// Connections to one address. Idle connections are reused, the most recently used first.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    tasks: TaskTracker,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default(), tasks: TaskTracker::new() }
    }

    /// Sends `request` and reads the complete answer.
    ///
    /// # Errors
    ///
    /// [`SendError`] if no complete answer was received.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, SendError> {
        let mut connection = self.checkout().await?;
        let sent = connection.send_request(request).await;
        let response = sent.map_err(|e| {
            if e.is_canceled() { SendError::NotSent } else { SendError::Interrupted }
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| SendError::Interrupted)?.to_bytes();
        self.idle.lock().push(connection);
        Ok(Response::from_parts(head, body))
    }

    /// Closes all connections and waits for their tasks.
    pub async fn close(&self) {
        self.idle.lock().clear();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn checkout(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        loop {
            let Some(mut connection) = self.idle.lock().pop() else { break };
            if !connection.is_closed() && connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.connect().await
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = stream.map_err(|_| SendError::NotSent)?.map_err(|_| SendError::NotSent)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| SendError::NotSent)?;
        self.tasks.spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}
