//! A gateway in this process, with targets and callers that write HTTP as raw bytes.

use crate::stub;
use azuretally_gateway::{calls::Server, gateway::Gateway, native::NativeAdapter};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Revision, Route, ServiceSettings, Share, Source,
    TargetRecord,
};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::{LocalSet, spawn_local},
    time::timeout,
};

/// Timeout for each expected event.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) fn published() -> PublishedSettings {
    let route = |name: &str, idempotent| Route {
        name: Arc::from(name),
        host: Arc::from("test"),
        prefix: Arc::from(format!("/{name}/")),
        idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        priority: 1,
        attempts: 2,
        shares: vec![Share { service: Arc::from("service"), weight: 1 }],
    };
    let service =
        ServiceSettings { connections: 10, probe_path: Arc::from("/load"), cold_rate: None };
    PublishedSettings {
        version: 1,
        routes: vec![route("check", true), route("sale", false)],
        services: [(Arc::from("service"), service)].into_iter().collect(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// A gateway with its address for calls.
pub(crate) struct Node {
    pub(crate) gateway: Rc<Gateway<NativeAdapter>>,
    pub(crate) calls: SocketAddr,
}

impl Node {
    /// Starts a gateway that knows `targets` and does not probe them.
    pub(crate) async fn start(targets: &[SocketAddr]) -> Self {
        let node = Self::start_with_probes(targets).await;
        stub::disable_probes(&node.gateway);
        node
    }

    /// Starts a gateway that knows `targets`, which have not reported their load yet.
    pub(crate) async fn start_with_probes(targets: &[SocketAddr]) -> Self {
        let reserved = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let calls = reserved.local_addr().expect("bound");
        drop(reserved);
        let mut settings = stub::settings();
        settings.listen.calls = calls;
        let (probes, probe_receiver) = mpsc::unbounded_channel();
        let gateway = Rc::new(Gateway::new(NativeAdapter, settings, probes));
        let now = gateway.clock.now();
        let mut changes = vec![Change::Published(published())];
        for (number, address) in (0..).zip(targets) {
            let record = stub::target(number, 1);
            changes.push(Change::Target(TargetRecord { address: *address, ..record }));
        }
        gateway.catalog.borrow_mut().apply(now, Revision::new(0, 1), changes, Source::Platform);
        gateway.apply_catalog(Source::Platform);
        let server = Server::bind(Rc::clone(&gateway), probe_receiver).await.expect("a free port");
        spawn_local(server.run());
        Self { gateway, calls }
    }

    pub(crate) async fn call(&self, path: &str) -> TcpStream {
        let mut caller = TcpStream::connect(self.calls).await.expect("the gateway listens");
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: a\r\nx-azuretally-timeout-ms: 1000\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).await.expect("request sent");
        caller
    }
}

pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Reads until the text contains `end`, or until the connection ends.
pub(crate) async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains(end) {
        match timeout(TIMEOUT, stream.read(&mut buffer)).await.expect("a read before the timeout") {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    text
}

/// Accepts a request and returns it with its connection.
pub(crate) async fn accept(listener: &TcpListener) -> (String, TcpStream) {
    let accepted = timeout(TIMEOUT, listener.accept()).await.expect("a connection in time");
    let (mut stream, _) = accepted.expect("a connection");
    (read_until(&mut stream, "\r\n\r\n").await, stream)
}

pub(crate) async fn run_local<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    LocalSet::new().run_until(test).await;
}
