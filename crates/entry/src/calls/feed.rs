//! Takes each new view over into services and routes.
//!
//! Views come often, mostly because the free slots of one service changed, so only what differs
//! from the last view is touched, and routes are built anew only for new settings.

use super::{
    app::App,
    router::{Route, Router},
    service::Service,
};
use crate::view::{ClusterView, ServiceView};
use azuretally_settings::PublishedSettings;
use indexmap::IndexMap;
use std::sync::Arc;
use tokio::task::{AbortHandle, JoinSet};

/// Follows the view until the end of the process.
pub(super) async fn run(app: Arc<App>) {
    let mut changes = app.context.subscribe();
    let end = app.context.shutdown.clone();
    let mut feed = Feed { app, services: IndexMap::new(), timers: JoinSet::new(), revision: 0 };
    loop {
        feed.take(&feed.app.context.view());
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { break },
            () = end.cancelled() => break,
        }
    }
    feed.timers.shutdown().await;
}

/// A service with what was last applied to it.
struct Fed {
    service: Arc<Service>,
    applied: Arc<ServiceView>,
    timer: AbortHandle,
}

struct Feed {
    app: Arc<App>,
    services: IndexMap<Arc<str>, Fed>,
    timers: JoinSet<()>,
    revision: u64,
}

impl Feed {
    fn take(&mut self, view: &ClusterView) {
        let Some(published) = &view.settings else { return };
        self.drop_removed(view);
        for (name, service) in &view.services {
            self.apply(name, service);
        }
        if self.revision != view.revision {
            self.revision = view.revision;
            self.app.router.store(Arc::new(self.routes(published)));
        }
        // Timers of removed services have ended by now.
        while self.timers.try_join_next().is_some() {}
    }

    fn drop_removed(&mut self, view: &ClusterView) {
        self.services.retain(|name, fed| {
            let stays = view.services.contains_key(name);
            if !stays {
                fed.timer.abort();
            }
            stays
        });
    }

    fn apply(&mut self, name: &Arc<str>, view: &Arc<ServiceView>) {
        match self.services.get_mut(name) {
            Some(fed) if Arc::ptr_eq(&fed.applied, view) => {}
            Some(fed) => {
                fed.service.apply(view);
                fed.applied = Arc::clone(view);
            }
            None => {
                let fed = self.start(name, view);
                self.services.insert(Arc::clone(name), fed);
            }
        }
    }

    fn start(&mut self, name: &Arc<str>, view: &Arc<ServiceView>) -> Fed {
        let context = &self.app.context;
        let plan = Arc::clone(&view.config);
        let free = context.control.free_slots(name);
        let service = Arc::new(Service::new(plan, context.clock, free, self.app.probes.clone()));
        service.apply(view);
        let timer = self.timers.spawn(Arc::clone(&service).tick());
        Fed { service, applied: Arc::clone(view), timer }
    }

    fn routes(&self, published: &PublishedSettings) -> Router {
        let mut router = Router::default();
        for (name, fed) in &self.services {
            let Some(settings) = published.services.get(name) else { continue };
            let routes = settings.operations.iter().filter_map(|(operation, settings)| {
                let counts = self.app.context.counts.operation(name, operation);
                Route::new(Arc::clone(&fed.service), Arc::clone(operation), settings, counts)
            });
            router.add(&settings.path, routes.collect());
        }
        router
    }
}
