//! A small deployment: gateways in zones, a store, and backends.

use crate::{
    backend::{Backend, Behaviour, Log, Spec},
    gateway::{Gateway, HEARTBEATS, OWN_HEARTBEATS, PORTS},
    links::Links,
    record::Record,
    store::{self, Store},
};
use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub gateways: Vec<Gateway>,
    pub backends: Mutex<Vec<Arc<Backend>>>,
    pub log: Arc<Log>,
    network: u8,
    directory: PathBuf,
}

/// A route of the manifest.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub latency_ms: u32,
    pub service: &'static str,
}

impl Deployment {
    /// Prepares a deployment with `per_zone` gateways in each zone. The first one of each zone is a seed.
    pub fn new(record: &Path, zones: &[&str], per_zone: usize) -> Self {
        Self::build(record, zones, per_zone, false)
    }

    /// Like [`Self::new`], with [`Links`] between the gateways, which can be cut.
    pub fn with_links(record: &Path, zones: &[&str], per_zone: usize) -> (Self, Arc<Links>) {
        let deployment = Self::build(record, zones, per_zone, true);
        let links = Links::start(&deployment.gateways);
        (deployment, links)
    }

    fn build(record: &Path, zones: &[&str], per_zone: usize, has_links: bool) -> Self {
        let record = Arc::new(Record::create(record).expect("record.txt is writable"));
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos()
            ^ std::process::id();
        let network = (seed % 200 + 20) as u8;
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let platform = SocketAddr::new(ip(network, 250, 1), 0);
        let listener = store::listen(platform);
        let platform = listener.local_addr().expect("bound");
        let store = Store::start(listener);
        let ips: Vec<(usize, usize, IpAddr)> = (0..zones.len())
            .flat_map(|z| (0..per_zone).map(move |n| (z, n, ip(network, z as u8 + 1, n as u8 + 1))))
            .collect();
        let all: Vec<IpAddr> = ips.iter().map(|(_, _, ip)| *ip).collect();
        let ports = if has_links { OWN_HEARTBEATS + all.len() as u16 } else { PORTS };
        let first_port = free_ports(&all, ports, seed);
        let seeds: Vec<IpAddr> =
            ips.iter().filter(|(_, n, _)| *n == 0).map(|(_, _, ip)| *ip).take(3).collect();
        let gateways = ips
            .iter()
            .enumerate()
            .map(|(index, (z, n, ip))| {
                let own = OWN_HEARTBEATS + index as u16;
                let heartbeats = if has_links { own } else { HEARTBEATS };
                Gateway::new(
                    &directory,
                    n + 1,
                    zones[*z],
                    *ip,
                    first_port,
                    &seeds,
                    platform,
                    heartbeats,
                )
            })
            .collect();
        Self {
            record,
            store,
            gateways,
            backends: Mutex::default(),
            log: Arc::default(),
            network,
            directory,
        }
    }

    /// Publishes a manifest.
    pub fn publish(&self, version: u32, routes: &[Route], services: &[&str]) {
        let row = |r: &Route| {
            format!(
                "[\"{}\",\"shop.example\",\"{}\",\"{}\",\"{}ms\",\"{}ms\",1,\"{}\",2,null]",
                r.name, r.prefix, r.kind, r.timeout_ms, r.latency_ms, r.service
            )
        };
        let routes: Vec<String> = routes.iter().map(row).collect();
        let services: Vec<String> =
            services.iter().map(|s| format!("[\"{s}\",\"/healthz\",240,\"h1\",false]")).collect();
        let value = format!(
            "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\
             \"timeout\",\"target_latency\",\"priority\",\"service\",\"max_attempts\",\"traffic_split\"],\
             \"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\
             \"protocol\",\"tls\"],\"rows\":[{}]}},\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", &value, None);
        self.record.line(format!("manifest r{version} is published"));
    }

    /// Starts a backend with an address of its own.
    pub fn add_backend(
        &self,
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        tells_load: bool,
        behaviour: &Behaviour,
    ) -> Arc<Backend> {
        let number = self.backends.lock().unwrap().len() as u8;
        let address = ip(self.network, 200 + number / 200, number % 200 + 1);
        let port = {
            let listener = TcpListener::bind((address, 0)).expect("a free port");
            listener.local_addr().expect("bound").port()
        };
        let spec = Spec {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: SocketAddr::new(address, port),
            slots,
            queue: 4,
            tells_load,
        };
        let backend = Backend::start(
            spec,
            Arc::clone(behaviour),
            Arc::clone(&self.log),
            Arc::clone(&self.record),
            Arc::clone(&self.store),
        );
        self.backends.lock().unwrap().push(Arc::clone(&backend));
        backend
    }

    pub fn start_gateways(&self) {
        for gateway in &self.gateways {
            gateway.start(&self.record);
        }
    }

    /// Waits until `at` seconds after the start of the run.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.record.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Ends all processes, and keeps their logs if `REVIEW_LOGS` is set.
    pub fn end(&self) {
        for gateway in &self.gateways {
            gateway.kill(&self.record);
        }
        self.record.flush();
        match std::env::var_os("REVIEW_LOGS") {
            Some(_) => println!("logs: {}", self.directory.display()),
            None => drop(fs::remove_dir_all(&self.directory)),
        }
    }
}

fn ip(network: u8, a: u8, b: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network, a, b))
}

/// Finds ports in a row that are free at all addresses.
fn free_ports(addresses: &[IpAddr], count: u16, seed: u32) -> u16 {
    let mut first = 10_000 + (seed / 7 % 18_000) as u16;
    loop {
        let is_free = (first..first + count).all(|port| {
            addresses.iter().all(|address| {
                TcpListener::bind((*address, port)).is_ok()
                    && UdpSocket::bind((*address, port)).is_ok()
            })
        });
        if is_free {
            return first;
        }
        first = 10_000 + (first + 97 - 10_000) % 18_000;
    }
}
