//! Applies each new view to the services and routes of the request path.
//!
//! Views are published often, mostly because the free slots of one service changed. Only what
//! differs from the previous view is updated, and routes are rebuilt only for new settings.

use super::{
    app::App,
    router::{Route, Router},
    service::Service,
};
use crate::view::{ClusterView, ServiceView};
use azuretally_policy::fleet::PublishedRevision;
use azuretally_settings::PublishedSettings;
use indexmap::IndexMap;
use std::sync::Arc;
use tokio::task::{AbortHandle, JoinSet};

/// Applies views until the process shuts down.
pub(super) async fn run(app: Arc<App>) {
    let mut changes = app.context.subscribe();
    let shutdown = app.context.shutdown.clone();
    let mut updater = ViewUpdater {
        app,
        services: IndexMap::new(),
        timers: JoinSet::new(),
        revision: PublishedRevision::default(),
    };
    loop {
        updater.apply_view(&updater.app.context.view());
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { break },
            () = shutdown.cancelled() => break,
        }
    }
    updater.timers.shutdown().await;
}

/// A running service and the view that was last applied to it.
struct RunningService {
    service: Arc<Service>,
    applied: Arc<ServiceView>,
    timer: AbortHandle,
}

struct ViewUpdater {
    app: Arc<App>,
    services: IndexMap<Arc<str>, RunningService>,
    /// Timer tasks of the services.
    timers: JoinSet<()>,
    /// Revision of the settings from which the routes were built.
    revision: PublishedRevision,
}

impl ViewUpdater {
    fn apply_view(&mut self, view: &ClusterView) {
        let Some(settings) = &view.settings else { return };
        self.remove_services(view);
        for (name, service) in &view.services {
            self.apply_service(name, service);
        }
        if self.revision != view.revision {
            self.revision = view.revision;
            self.app.router.store(Arc::new(self.build_router(settings)));
        }
        // Reap the timers of removed services.
        while self.timers.try_join_next().is_some() {}
    }

    /// Stops the services that are no longer in the view.
    fn remove_services(&mut self, view: &ClusterView) {
        self.services.retain(|name, running| {
            let is_present = view.services.contains_key(name);
            if !is_present {
                running.timer.abort();
            }
            is_present
        });
    }

    fn apply_service(&mut self, name: &Arc<str>, view: &Arc<ServiceView>) {
        match self.services.get_mut(name) {
            Some(running) if Arc::ptr_eq(&running.applied, view) => {}
            Some(running) => {
                running.service.apply(view);
                running.applied = Arc::clone(view);
            }
            None => {
                let running = self.start_service(name, view);
                self.services.insert(Arc::clone(name), running);
            }
        }
    }

    fn start_service(&mut self, name: &Arc<str>, view: &Arc<ServiceView>) -> RunningService {
        let context = &self.app.context;
        let config = Arc::clone(&view.config);
        let free_slots = context.control.free_slots(name);
        let service =
            Arc::new(Service::new(config, context.clock, free_slots, self.app.probes.clone()));
        service.apply(view);
        let timer = self.timers.spawn(Arc::clone(&service).run_timer());
        RunningService { service, applied: Arc::clone(view), timer }
    }

    fn build_router(&self, published: &PublishedSettings) -> Router {
        let mut router = Router::default();
        for (name, running) in &self.services {
            let Some(settings) = published.services.get(name) else { continue };
            let routes = settings.operations.iter().filter_map(|(operation, settings)| {
                let counts = self.app.context.counts.operation(name, operation);
                Route::new(Arc::clone(&running.service), Arc::clone(operation), settings, counts)
            });
            router.add(&settings.path, routes.collect());
        }
        router
    }
}
