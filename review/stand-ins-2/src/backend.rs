//! Stand-in for a backend: one start of one server of a service.

use crate::{
    http::{Partition, Request, Response, serve},
    record::Record,
    store::Store,
};
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub slots: u32,
    pub work: Duration,
    pub record: Arc<Record>,
    running: AtomicU32,
}

impl Backend {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &str,
        work: Duration,
        store: &Arc<Store>,
        record: &Arc<Record>,
        partition: &Partition,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let slots = 8;
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service,
            slots,
            work,
            record: Arc::clone(record),
            running: AtomicU32::new(0),
        });
        let served = Arc::clone(&backend);
        serve(listener, Arc::clone(partition), move |request| served.handle(&request));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        let (store, id, zone) = (Arc::clone(store), id.to_owned(), zone.to_owned());
        let write = move |sequence: u64| {
            let text = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":{slots},\"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":{sequence},\"born\":{born}}}"
            );
            store.put(&format!("servers/{id}"), text.as_bytes());
        };
        write(1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                write(sequence);
            }
        });
        address
    }

    fn handle(&self, request: &Request) -> Response {
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots);
        if request.path() == "/healthz" {
            let response = Response::new(200, Vec::new());
            return response.with("X-Instance-Id", &self.id).with("X-Backend-Load", load);
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        if request.header("x-expected-instance").is_some_and(|expected| expected != self.id) {
            let response = Response::new(421, Vec::new()).with("X-Not-Executed", 1);
            return response.with("X-Request-Id", id).with("X-Instance-Id", &self.id);
        }
        self.record.line(&format!(
            "run id={id} path={} at={} service={}",
            request.target, self.id, self.service
        ));
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let body = format!("{} {}\n", self.service, request.target).into_bytes();
        let response =
            Response::new(200, body).with("X-Request-Id", &id).with("X-Backend-Load", load);
        response.with("X-Response-Signature", format!("{}.{id}", self.id))
    }
}
