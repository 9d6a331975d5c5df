//! Settings published on the platform: routes, services and limits for callers.
//!
//! Settings apply without those of their routes that cannot be used: one that could not be read, or that
//! contradicts the others, must not hold back the rest. Its calls are not answered as if there were no
//! route, and do not go to the service of a shorter prefix.

use super::limits::RequestRate;
use indexmap::{IndexMap, IndexSet};
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
    /// Host name that it matches, in lower case; empty if it could not be read.
    pub host: Arc<str>,
    /// Path prefix that it matches, with a slash at both ends; empty if it could not be read.
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
    /// Services that receive the calls; at least one has a weight above 0. None if the route could not
    /// be read completely.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns a route that could not be read completely. What is not known of it is empty.
    pub fn unreadable(name: Arc<str>, host: Arc<str>, prefix: Arc<str>) -> Self {
        Self {
            name,
            host,
            prefix,
            idempotent: false,
            timeout: Duration::ZERO,
            objective: Duration::ZERO,
            priority: 0,
            attempts: 0,
            shares: Vec::new(),
        }
    }
}

/// Settings that apply to all targets of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Connections that one target accepts in total.
    pub connections: u32,
    /// Path at which a target reports its load.
    pub probe_path: Arc<str>,
    /// Requests per second that a cold target can handle, `None` if there is no limit. Messages between gateways
    /// carry it in a block of its own.
    #[serde(skip)]
    pub cold_rate: Option<RequestRate>,
}

/// Limits on requests and connections of callers. A limit that could not be read is 0.
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

impl CallerLimits {
    /// Limits while none are known.
    pub const DEFAULT: Self = Self {
        head_bytes: 16_384,
        body_bytes: 64 * 1_024 * 1_024,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };

    /// Returns the limits, with those of `others` that are not known here.
    pub fn or(self, others: Self) -> Self {
        let time = |time: Duration, other| if time.is_zero() { other } else { time };
        Self {
            head_bytes: if self.head_bytes == 0 { others.head_bytes } else { self.head_bytes },
            body_bytes: if self.body_bytes == 0 { others.body_bytes } else { self.body_bytes },
            head_timeout: time(self.head_timeout, others.head_timeout),
            idle_timeout: time(self.idle_timeout, others.idle_timeout),
        }
    }
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

/// Reason why a route cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The route could not be read completely: its name, host and prefix, empty if not known.
    Unreadable(Arc<str>, Arc<str>, Arc<str>),
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
            Self::Unreadable(route, host, prefix) => {
                write!(f, "route {route:?} of host {host:?}, prefix {prefix:?}: unreadable")
            }
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

/// Reason why a call has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupError {
    /// No route matches the call.
    NoRoute,
    /// The route of the call cannot be used, or a route that cannot be used might be that of the call.
    Unusable,
}

impl fmt::Display for LookupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoute => "no route",
            Self::Unusable => "the route cannot be used",
        })
    }
}

impl std::error::Error for LookupError {}

/// Route in the index.
#[derive(Clone, Debug)]
struct IndexedRoute {
    name: Arc<str>,
    /// `None` if the route cannot be used.
    route: Option<Arc<Route>>,
}

/// Settings with an index for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    published: PublishedSettings,
    /// Routes by host name and path prefix.
    index: IndexMap<Arc<str>, IndexMap<Arc<str>, IndexedRoute>>,
    /// Hosts of unusable routes with an unknown prefix; empty for an unknown host.
    uncertain: IndexSet<Arc<str>>,
    refused: Vec<RouteError>,
}

impl RouteTable {
    /// Indexes the routes of `published`, and refuses those that cannot be used.
    pub fn new(published: PublishedSettings) -> Self {
        let mut table = Self {
            index: IndexMap::new(),
            uncertain: IndexSet::new(),
            refused: Vec::new(),
            published,
        };
        for route in &table.published.routes {
            let checked = check(route, &table.published.services);
            let usable = checked.is_ok();
            table.refused.extend(checked.err());
            if route.host.is_empty() || !is_valid_prefix(&route.prefix) {
                let host = Arc::clone(&route.host);
                table.uncertain.insert(host);
                continue;
            }
            let indexed = IndexedRoute {
                name: Arc::clone(&route.name),
                route: usable.then(|| Arc::new(route.clone())),
            };
            let prefixes = table.index.entry(Arc::clone(&route.host)).or_default();
            let Some(other) = prefixes.get_mut(&route.prefix) else {
                prefixes.insert(Arc::clone(&route.prefix), indexed);
                continue;
            };
            // Nothing tells which of them is meant.
            other.route = None;
            let names = (Arc::clone(&other.name), indexed.name);
            table.refused.push(RouteError::Duplicate(names.0, names.1));
        }
        table
    }

    /// Returns the settings.
    pub fn published(&self) -> &PublishedSettings {
        &self.published
    }

    /// Returns why routes cannot be used, in the order of the routes.
    pub fn refused(&self) -> &[RouteError] {
        &self.refused
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// # Errors
    ///
    /// [`LookupError::Unusable`] if that route cannot be used, or if no route matches and an unusable
    /// one might, since its prefix or host is not known; [`LookupError::NoRoute`] otherwise.
    pub fn find(&self, host: &str, path: &str) -> Result<&Arc<Route>, LookupError> {
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let longest = self.index.get(host).and_then(|prefixes| {
            slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
        });
        match longest {
            Some(indexed) => indexed.route.as_ref().ok_or(LookupError::Unusable),
            None if self.uncertain.contains(host) || self.uncertain.contains("") => {
                Err(LookupError::Unusable)
            }
            None => Err(LookupError::NoRoute),
        }
    }
}

fn is_valid_prefix(prefix: &str) -> bool {
    prefix.starts_with('/') && prefix.ends_with('/')
}

fn check(route: &Route, services: &IndexMap<Arc<str>, ServiceSettings>) -> Result<(), RouteError> {
    let name = || Arc::clone(&route.name);
    if route.shares.is_empty() || route.host.is_empty() {
        let (host, prefix) = (Arc::clone(&route.host), Arc::clone(&route.prefix));
        return Err(RouteError::Unreadable(name(), host, prefix));
    }
    if !is_valid_prefix(&route.prefix) {
        return Err(RouteError::InvalidPrefix(name()));
    }
    if let Some(share) = route.shares.iter().find(|s| !services.contains_key(&s.service)) {
        return Err(RouteError::UnknownService(name(), Arc::clone(&share.service)));
    }
    if route.shares.iter().all(|s| s.weight == 0) {
        return Err(RouteError::NoWeight(name()));
    }
    Ok(())
}
