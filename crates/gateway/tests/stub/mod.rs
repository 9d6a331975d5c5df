//! An adapter and settings for tests that need no platform.

use azuretally_gateway::{
    dialect::{
        CallHead, Dialect, DirectionsQuery, Failing, News, Outbound, ProbeHead, Publication,
        ReadError, Standing, TargetHead,
    },
    settings::Settings,
};
use azuretally_policy::balance::{Directions, Record};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, request, response};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

/// An adapter that says the least.
#[derive(Debug)]
pub(crate) struct Stub;

impl Dialect for Stub {
    fn tune(&self, _settings: &mut Settings) {}

    fn call(&self, _head: &request::Parts) -> CallHead {
        CallHead::default()
    }

    fn address(&self, _fields: &mut HeaderMap, _outbound: &Outbound) {}

    fn target_head(&self, _head: &response::Parts, _id: Option<&str>) -> TargetHead {
        TargetHead { standing: Standing::Ran, report: None }
    }

    fn probe_head(&self, _head: &response::Parts) -> ProbeHead {
        ProbeHead::default()
    }

    fn trim(&self, _fields: &mut HeaderMap) {}

    fn failing(&self, _failing: Failing, _id: Option<&str>) -> Response<Bytes> {
        Response::new(Bytes::new())
    }

    fn directions_query(&self, _request: &Request<()>) -> Option<DirectionsQuery> {
        None
    }

    fn directions(&self, _directions: &Directions) -> Response<Bytes> {
        Response::new(Bytes::new())
    }

    fn is_readiness_query(&self, _request: &Request<()>) -> bool {
        false
    }
}

impl Publication for Stub {
    fn list_path(&self, _after: Option<&str>) -> String {
        "/list".to_owned()
    }

    fn read_list(&self, _status: StatusCode, _body: &[u8]) -> Result<News, ReadError> {
        Ok(News::default())
    }

    fn changes_path(&self, _revision: u64, _wait: Duration) -> String {
        "/changes".to_owned()
    }

    fn read_changes(&self, _status: StatusCode, _body: &[u8]) -> Result<News, ReadError> {
        Ok(News::default())
    }
}

/// Settings of a gateway that is never bound to its addresses.
pub(crate) fn settings() -> Settings {
    let text = r#"
        host = "gateway-1"
        failure_domain = "a"
        platform = "127.0.0.1:1"
        [listen]
        calls = "127.0.0.1:0"
        readiness = "127.0.0.1:0"
        directions = "127.0.0.1:0"
        news = "127.0.0.1:0"
        heartbeats = "127.0.0.1:0"
        [size]
        cores = 0.2
        memory_mb = 260
        descriptors = 4100
    "#;
    Settings::parse(Path::new("test"), text).unwrap_or_else(|e| panic!("{e:?}"))
}

/// A target of `slots` slots in the gateway's failure domain.
pub(crate) fn target(number: u8, slots: u32) -> Record {
    Record {
        name: Arc::from(format!("target-{number}")),
        started: Some(1),
        service: Arc::from("service"),
        address: SocketAddr::from(([127, 0, 0, number], 80)),
        failure_domain: Arc::from("a"),
        version: Arc::from("v1"),
        slots,
        leaving: false,
        warmup: Duration::ZERO,
    }
}
