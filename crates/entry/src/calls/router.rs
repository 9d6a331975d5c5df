//! Routes requests by method and path to services and operations.

use super::service::Service;
use crate::counts::OperationCounts;
use azuretally_settings::OperationSettings;
use http::Method;
use indexmap::IndexMap;
use std::sync::Arc;

/// Route to one operation.
#[derive(Clone, Debug)]
pub(super) struct Route {
    /// Service of the operation.
    pub(super) service: Arc<Service>,
    /// Name of the operation.
    pub(super) operation: Arc<str>,
    /// Counters of the operation.
    pub(super) counts: Arc<OperationCounts>,
    method: Method,
    path: String,
}

impl Route {
    /// Creates the route to one operation. Returns `None` if the configured method is invalid.
    pub(super) fn new(
        service: Arc<Service>,
        operation: Arc<str>,
        settings: &OperationSettings,
        counts: Arc<OperationCounts>,
    ) -> Option<Self> {
        let method = Method::from_bytes(settings.method.as_bytes()).ok()?;
        Some(Self { service, operation, counts, method, path: settings.path.clone() })
    }
}

/// Reason why no operation matches a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RouteError {
    /// No service path is a prefix of the path of the request.
    NoService,
    /// No operation path of the service is a prefix of the rest of the path.
    NoOperation,
    /// Operations match the path, but none of them the method.
    Method,
}

impl RouteError {
    /// Returns the reason sent in the reply.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::NoOperation => "no-operation",
            Self::Method => "method",
        }
    }
}

/// All routes, by path of their service.
#[derive(Debug, Default)]
pub(super) struct Router {
    routes: IndexMap<String, Vec<Route>>,
}

impl Router {
    /// Adds the routes of the service at `path`.
    pub(super) fn add(&mut self, path: &str, mut routes: Vec<Route>) {
        routes.sort_by_key(|r| std::cmp::Reverse(r.path.len()));
        self.routes.insert(path.trim_end_matches('/').to_owned(), routes);
    }

    /// Returns every service once.
    pub(super) fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.routes.values().filter_map(|routes| routes.first().map(|r| &r.service))
    }

    /// Finds the service with the longest matching path, and among its operations with this method
    /// the one with the longest matching path.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError`] if no route matches.
    pub(super) fn find(&self, method: &Method, path: &str) -> Result<&Route, RouteError> {
        let mut prefix = path.trim_end_matches('/');
        let routes = loop {
            if let Some(routes) = self.routes.get(prefix) {
                break routes;
            }
            let end = prefix.rfind('/').ok_or(RouteError::NoService)?;
            prefix = &prefix[..end];
        };
        let rest = &path[prefix.len()..];
        let mut error = RouteError::NoOperation;
        for route in routes {
            if !has_path_prefix(rest, &route.path) {
                continue;
            }
            if route.method == *method {
                return Ok(route);
            }
            error = RouteError::Method;
        }
        Err(error)
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
