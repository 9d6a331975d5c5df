//! Settings published on the platform: routes, services and limits for callers.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// Service to which a route sends a part of its calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Route: the calls that it matches, their destination and their service level.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name that it matches, in lower case.
    pub host: Arc<str>,
    /// Path prefix that it matches, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Maximum time until the caller gets an answer.
    pub timeout: Duration,
    /// Latency objective: an answer within this time has its full value.
    pub objective: Duration,
    /// Priority of the calls; 0 is the highest.
    pub priority: u32,
    /// Maximum number of targets that one call may be sent to.
    pub attempts: u32,
    /// Services that receive the calls; at least one has a weight above 0.
    pub shares: Vec<Share>,
}

/// Settings that apply to all targets of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Connections that one target accepts in total.
    pub connections: u32,
    /// Path at which a target reports its load.
    pub probe_path: Arc<str>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// Time within which the head has to arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

/// One version of the published settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedSettings {
    /// Version number; settings are never replaced by ones with an earlier version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Settings of the services by name.
    pub services: IndexMap<Arc<str>, ServiceSettings>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Reason why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The prefix of a route does not begin and end with a slash.
    InvalidPrefix(Arc<str>),
    /// A route refers to a service that is not published: names of the route and of the service.
    UnknownService(Arc<str>, Arc<str>),
    /// A route has no share with a weight above 0.
    NoWeight(Arc<str>),
    /// Two routes have the same host and prefix.
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

/// Validated settings with an index for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    published: PublishedSettings,
    /// Routes by host name and path prefix.
    index: IndexMap<Arc<str>, IndexMap<Arc<str>, Arc<Route>>>,
}

impl RouteTable {
    /// Validates `published` and indexes its routes.
    ///
    /// # Errors
    ///
    /// [`RouteError`] for the first invalid route; none of the settings apply then.
    pub fn new(published: PublishedSettings) -> Result<Self, RouteError> {
        let mut index: IndexMap<Arc<str>, IndexMap<Arc<str>, Arc<Route>>> = IndexMap::new();
        for route in &published.routes {
            validate(route, &published.services)?;
            let prefixes = index.entry(Arc::clone(&route.host)).or_default();
            let shared = Arc::new(route.clone());
            if let Some(other) = prefixes.insert(Arc::clone(&route.prefix), shared) {
                return Err(RouteError::Duplicate(
                    Arc::clone(&other.name),
                    Arc::clone(&route.name),
                ));
            }
        }
        Ok(Self { published, index })
    }

    /// Returns the settings.
    pub fn published(&self) -> &PublishedSettings {
        &self.published
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.index.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }
}

fn validate(
    route: &Route,
    services: &IndexMap<Arc<str>, ServiceSettings>,
) -> Result<(), RouteError> {
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
