//! Publishes settings, and knows which versions must be in force.

use super::{
    platform::Platform,
    target::{PROBE_PATH, Service},
};
use azuretally_policy::balance::{
    CallerLimits, Change, PublishedSettings, Route, ServiceSettings, Share,
};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Time after its confirmation from which a version must be in force.
pub(crate) const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Interval between two versions.
pub(crate) const PUBLISH_INTERVAL: Duration = Duration::from_millis(300);
/// Number of routes of the first version.
const FIRST_ROUTES: usize = 4;
/// Every so many versions move a route to the other service.
const MOVE_INTERVAL: u64 = 3;
/// Number of the latest routes of which callers ask for more often.
const RECENT_ROUTES: usize = 14;
/// Time limit of all routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// A route with the versions that changed it.
#[derive(Clone, Debug)]
pub(crate) struct RouteHistory {
    pub(crate) name: Arc<str>,
    /// Service of the route before it was moved.
    service: Service,
    /// Version that added the route.
    pub(crate) added: u64,
    /// Version that moved the route to [`Service::Second`].
    pub(crate) moved: Option<u64>,
}

/// Time in which the platform held a version.
#[derive(Clone, Copy, Debug)]
struct Span {
    version: u64,
    from: Instant,
    until: Option<Instant>,
}

#[derive(Debug)]
struct State {
    version: u64,
    routes: Vec<RouteHistory>,
    spans: Vec<Span>,
    random: Pcg64,
}

impl State {
    fn published(&self) -> PublishedSettings {
        let settings = ServiceSettings {
            connections: 200,
            probe_path: Arc::from(PROBE_PATH),
            cold_rate: None,
        };
        let routes = self.routes.iter().map(|route| {
            let service = route.moved.map_or(route.service, |_| Service::Second);
            Route {
                name: Arc::clone(&route.name),
                host: Arc::from("test"),
                prefix: Arc::from(format!("/{}/", route.name)),
                idempotent: true,
                timeout: ROUTE_TIMEOUT,
                objective: ROUTE_TIMEOUT / 2,
                priority: 1,
                attempts: 2,
                shares: vec![Share { service: Arc::from(service.name()), weight: 1 }],
            }
        });
        let services = Service::ALL.iter().map(|s| (Arc::from(s.name()), settings.clone()));
        PublishedSettings {
            version: self.version,
            routes: routes.collect(),
            services: services.collect(),
            limits: CallerLimits {
                head_bytes: 16_384,
                body_bytes: 1_000_000,
                head_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(15),
            },
        }
    }

    fn add_route(&mut self, name: &str, service: Service) {
        let added = self.version;
        self.routes.push(RouteHistory { name: Arc::from(name), service, added, moved: None });
    }
}

/// Writes settings to a platform, of which each version adds a route and some move one.
#[derive(Debug)]
pub(crate) struct Operator {
    platform: Arc<Platform>,
    state: Mutex<State>,
}

impl Operator {
    /// Publishes the first version. Its route `extra` leads to [`Service::Extra`].
    pub(crate) fn new(platform: Arc<Platform>, seed: u64) -> Self {
        let random = Pcg64::seed_from_u64(seed);
        let mut state = State { version: 1, routes: Vec::new(), spans: Vec::new(), random };
        for number in 0..FIRST_ROUTES {
            state.add_route(&format!("first-{number}"), Service::First);
        }
        state.add_route(Service::Extra.name(), Service::Extra);
        let operator = Self { platform, state: Mutex::new(state) };
        operator.write_again();
        operator
    }

    /// Publishes the next version unless the platform is away.
    pub(crate) fn publish_next(&self) {
        let mut state = self.state.lock();
        let (version, routes) = (state.version, state.routes.clone());
        state.version += 1;
        let next = state.version;
        state.add_route(&format!("route-{next}"), Service::First);
        if next.is_multiple_of(MOVE_INTERVAL) {
            let State { routes, random, .. } = &mut *state;
            let movable = routes
                .iter_mut()
                .filter(|r| r.moved.is_none() && r.service == Service::First && r.added < next);
            let mut movable: Vec<_> = movable.collect();
            let chosen = random.random_range(0..movable.len());
            movable[chosen].moved = Some(next);
        }
        if !self.write(&mut state) {
            (state.version, state.routes) = (version, routes);
        }
    }

    /// Publishes the next version at intervals until `stop` is cancelled.
    pub(crate) async fn keep_publishing(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.publish_next();
            sleep(PUBLISH_INTERVAL).await;
        }
    }

    /// Publishes the latest version again.
    pub(crate) fn write_again(&self) {
        self.write(&mut self.state.lock());
    }

    /// Restores the platform from a copy that lacks the last `lost` changes, which are returned.
    pub(crate) fn restore(&self, lost: usize) -> Vec<Change> {
        let mut state = self.state.lock();
        let lost = self.platform.restore(lost);
        let now = Instant::now();
        for change in &lost {
            let Change::Published(published) = change else { continue };
            let open = |s: &&mut Span| s.version == published.version && s.until.is_none();
            if let Some(span) = state.spans.iter_mut().find(open) {
                span.until = Some(now);
            }
        }
        lost
    }

    /// Returns whether `version` or a later one must be in force for calls sent at `at`: the platform
    /// has held one for [`CONFIG_BOUND`] without interruption.
    pub(crate) fn is_due(&self, version: u64, at: Instant) -> bool {
        let state = self.state.lock();
        state.spans.iter().any(|span| {
            let due = span.from + CONFIG_BOUND;
            span.version >= version && due <= at && span.until.is_none_or(|until| until >= due)
        })
    }

    /// Returns the route `name`.
    pub(crate) fn route(&self, name: &str) -> Option<RouteHistory> {
        self.state.lock().routes.iter().find(|route| &*route.name == name).cloned()
    }

    /// Returns a route for a call: one of all routes or, as often, one of the latest.
    pub(crate) fn random_route(&self, random: &mut Pcg64) -> Arc<str> {
        let state = self.state.lock();
        let count = state.routes.len();
        let first = if random.random_bool(0.5) { 0 } else { count.saturating_sub(RECENT_ROUTES) };
        Arc::clone(&state.routes[random.random_range(first..count)].name)
    }

    fn write(&self, state: &mut State) -> bool {
        let is_confirmed = self.platform.publish(Change::Published(state.published()));
        if is_confirmed {
            let version = state.version;
            state.spans.push(Span { version, from: Instant::now(), until: None });
        }
        is_confirmed
    }
}
