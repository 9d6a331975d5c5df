//! Calls under settings of which a part cannot be read or applied.
#![allow(clippy::expect_used)]

// Other test binaries use the rest of the modules.
#[allow(dead_code)]
mod raw;
#[allow(dead_code)]
mod stub;

use azuretally_policy::balance::{Change, PublishedSettings, Revision, Route, Share, Source};
use raw::{Node, accept, listen, published, read_until, run_local};
use std::sync::Arc;
use tokio::{io::AsyncWriteExt, net::TcpListener};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\ncontent-length: 4\r\n\r\ndone";

fn route(name: &str, prefix: &str, services: &[&str]) -> Route {
    let share = |service: &&str| Share { service: Arc::from(*service), weight: 1 };
    Route {
        name: Arc::from(name),
        prefix: Arc::from(prefix),
        shares: services.iter().map(share).collect(),
        ..published().routes[0].clone()
    }
}

/// Publishes settings of version 2 with the routes of version 1 and `routes`.
fn publish(node: &Node, routes: Vec<Route>) {
    let mut settings = published();
    settings.version = 2;
    settings.routes.extend(routes);
    apply(node, settings);
}

fn apply(node: &Node, settings: PublishedSettings) {
    let now = node.gateway.clock.now();
    let revision = Revision::new(0, settings.version);
    let changes = vec![Change::Published(settings)];
    node.gateway.catalog.borrow_mut().apply(now, revision, changes, Source::Platform);
    node.gateway.apply_catalog(Source::Platform);
}

async fn status(node: &Node, path: &str) -> String {
    let mut caller = node.call(path).await;
    let text = read_until(&mut caller, "\r\n\r\n").await;
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

async fn expect_served(node: &Node, target: &TcpListener, path: &str) {
    let mut caller = node.call(path).await;
    let (_, mut stream) = accept(target).await;
    stream.write_all(ANSWER).await.expect("sent");
    let text = read_until(&mut caller, "done").await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

/// Guards against one refused route that holds back all settings: the catalog had the new version, and
/// calls were handled under the one before.
#[tokio::test]
async fn refused_route_holds_back_no_other() {
    run_local(async {
        let refused = [
            vec![route("bad", "/bad/", &["nowhere"])],
            vec![route("bad", "/bad/", &[])],
            vec![route("bad", "bad", &["service"])],
            vec![route("bad", "/bad/", &["service"]), route("worse", "/bad/", &["service"])],
        ];
        for mut routes in refused {
            let (target, address) = listen().await;
            let node = Node::start(&[address]).await;
            routes.push(route("added", "/added/", &["service"]));
            publish(&node, routes);
            let version = node.gateway.routes().map(|t| t.published().version);
            assert_eq!(version, Some(node.gateway.catalog.borrow().settings_version()));
            expect_served(&node, &target, "/added/1").await;
            expect_served(&node, &target, "/check/1").await;
            assert_eq!(status(&node, "/bad/1").await, "503");
        }
    })
    .await;
}

/// Guards against calls that are refused as wrong, or run by the service of a shorter prefix, since the
/// route of theirs could not be read.
#[tokio::test]
async fn calls_of_an_unreadable_route_are_not_run() {
    run_local(async {
        let (target, address) = listen().await;
        let node = Node::start(&[address]).await;
        publish(&node, vec![route("", "/check/deep/", &[])]);
        assert_eq!(status(&node, "/check/deep/1").await, "503");
        assert_eq!(status(&node, "/unknown/1").await, "404");
        expect_served(&node, &target, "/check/1").await;
        // The prefix of the route is not known.
        apply(&node, PublishedSettings { version: 3, ..with_unread(Some("test")) });
        assert_eq!(status(&node, "/unknown/1").await, "503");
        expect_served(&node, &target, "/check/1").await;
        // A route of another host.
        apply(&node, PublishedSettings { version: 4, ..with_unread(Some("elsewhere")) });
        assert_eq!(status(&node, "/unknown/1").await, "404");
        // Neither is known.
        apply(&node, PublishedSettings { version: 5, ..with_unread(None) });
        assert_eq!(status(&node, "/unknown/1").await, "503");
        apply(&node, PublishedSettings { version: 6, ..published() });
        assert_eq!(status(&node, "/unknown/1").await, "404");
    })
    .await;
}

fn with_unread(host: Option<&str>) -> PublishedSettings {
    let mut settings = published();
    let host = Arc::from(host.unwrap_or_default());
    settings.routes.push(Route { host, ..route("", "", &[]) });
    settings
}
