//! Takes each new view over into services and routes.

use super::{
    app::App,
    router::{Route, Router},
    service::Service,
};
use crate::view::View;
use azuretally_settings::Published;
use indexmap::IndexMap;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Follows the view until the end of the process.
pub(super) async fn run(app: Arc<App>) {
    let mut services = IndexMap::new();
    let mut timers = JoinSet::new();
    let mut changes = app.context.watch();
    loop {
        let view = app.context.view();
        if let Some(published) = &view.published {
            apply(&app, &view, published, &mut services, &mut timers);
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { break },
            () = app.context.end.cancelled() => break,
        }
    }
    timers.shutdown().await;
}

fn apply(
    app: &Arc<App>,
    view: &View,
    published: &Published,
    services: &mut IndexMap<Arc<str>, Arc<Service>>,
    timers: &mut JoinSet<()>,
) {
    services.retain(|name, _| view.services.contains_key(name));
    let mut router = Router::default();
    for (name, service_view) in &view.services {
        let service = services.entry(Arc::clone(name)).or_insert_with(|| {
            let plan = Arc::clone(&service_view.plan);
            let free = app.context.control.free(name);
            let new = Arc::new(Service::new(plan, app.context.clock, free, app.probes.clone()));
            timers.spawn(Arc::clone(&new).tick());
            new
        });
        service.apply(service_view);
        let Some(settings) = published.services.get(name) else { continue };
        let routes = settings.operations.iter().filter_map(|(operation, settings)| {
            let counts = app.context.counts.operation(name, operation);
            Route::new(Arc::clone(service), Arc::clone(operation), settings, counts)
        });
        router.add(&settings.path, routes.collect());
    }
    app.router.store(Arc::new(router));
}
