//! Published settings of the gateway: routes, services and limits for callers.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// One service to which a route sends a part of its calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Part of the calls, relative to the other shares of the route.
    pub weight: u32,
}

/// One route: which calls it takes, where they go and what they are promised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name that callers ask for, in lower case.
    pub host: Arc<str>,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Rank of the calls, 0 first.
    pub priority: u32,
    /// Largest number of targets to which one call may be sent.
    pub attempts: u32,
    /// Services that take the calls; at least one, with a weight above 0.
    pub shares: Vec<Share>,
}

/// What holds for all targets of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Connections that one target accepts from all callers together.
    pub connections: u32,
    /// Path at which a target tells its load.
    pub probe_path: Arc<str>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time in which the head has to arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// One version of the published settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedSettings {
    /// Versions order the settings; a later one never gives way to an earlier one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<Arc<str>, ServiceSettings>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Why a set of routes is not usable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// A prefix does not begin and end with a slash.
    InvalidPrefix(Arc<str>),
    /// A route names a service that is not published.
    UnknownService(Arc<str>, Arc<str>),
    /// All shares of a route have the weight 0, or there are none.
    NoWeight(Arc<str>),
    /// Two routes take the same calls.
    Duplicate(Arc<str>, Arc<str>),
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidPrefix(route) => {
                write!(f, "route {route}: the prefix must begin and end with a slash")
            }
            Self::UnknownService(route, service) => {
                write!(f, "route {route}: no service {service}")
            }
            Self::NoWeight(route) => write!(f, "route {route}: no service with a weight above 0"),
            Self::Duplicate(a, b) => write!(f, "routes {a} and {b} have the same host and prefix"),
        }
    }
}

impl std::error::Error for RouteError {}

/// Checked settings with an index for look-ups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    published: PublishedSettings,
    index: IndexMap<Arc<str>, IndexMap<Arc<str>, Arc<Route>>>,
}

impl RouteTable {
    /// Checks `published` and indexes its routes.
    ///
    /// # Errors
    ///
    /// [`RouteError`] for the first route that cannot be used; nothing of it is in force then.
    pub fn new(published: PublishedSettings) -> Result<Self, RouteError> {
        let mut index: IndexMap<Arc<str>, IndexMap<Arc<str>, Arc<Route>>> = IndexMap::new();
        for route in &published.routes {
            check(route, &published.services)?;
            let of_host = index.entry(Arc::clone(&route.host)).or_default();
            let shared = Arc::new(route.clone());
            if let Some(other) = of_host.insert(Arc::clone(&route.prefix), shared) {
                return Err(RouteError::Duplicate(
                    Arc::clone(&other.name),
                    Arc::clone(&route.name),
                ));
            }
        }
        Ok(Self { published, index })
    }

    /// The settings.
    pub fn published(&self) -> &PublishedSettings {
        &self.published
    }

    /// The route of `host` whose prefix is the longest that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.index.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| of_host.get(prefix))
    }
}

fn check(route: &Route, services: &IndexMap<Arc<str>, ServiceSettings>) -> Result<(), RouteError> {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(RouteError::InvalidPrefix(Arc::clone(&route.name)));
    }
    if let Some(share) = route.shares.iter().find(|s| !services.contains_key(&s.service)) {
        return Err(RouteError::UnknownService(
            Arc::clone(&route.name),
            Arc::clone(&share.service),
        ));
    }
    if route.shares.iter().all(|s| s.weight == 0) {
        return Err(RouteError::NoWeight(Arc::clone(&route.name)));
    }
    Ok(())
}
