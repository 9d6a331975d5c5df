//! Reads of a platform that goes back to an earlier revision, as after a restore from a copy.
#![allow(clippy::expect_used)]

// Other test binaries use the rest of the module.
#[allow(dead_code)]
mod stub;

use azuretally_gateway::{
    control::{self, ControlServers, HeartbeatSocket},
    gateway::Gateway,
    native::{CHANGES_PATH, LIST_PATH, NativeAdapter, PublishedChanges},
};
use azuretally_policy::balance::{CallerLimits, Change, PublishedSettings, Revision, Source};
use azuretally_standin::http::{
    ConnectionAborted, ResponseBody, json_response, query_param, serve, text_response,
};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    process,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Time for settings to be in force after they were published.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which settings that must not change are watched. Some reads of the platform fit into it.
const STEADY_TIME: Duration = Duration::from_millis(1_500);
/// Time that targets have to register again after a restore, and what a check of it may be late by.
const GRACE: Duration = Duration::from_millis(2_300);
const MAX_LATENESS: Duration = Duration::from_millis(300);
/// Header in which the platform names its era.
const ERA: &str = "x-azuretally-platform-era";

/// A platform that holds settings and at most one target.
#[derive(Debug)]
struct Platform {
    state: Mutex<State>,
    /// Lists that were asked for.
    lists: AtomicUsize,
}

#[derive(Clone, Debug)]
struct State {
    /// Text of the header that names the era, if it is sent.
    era: Option<String>,
    revision: u64,
    settings: u64,
    has_target: bool,
    /// Polls after a later revision than this one are answered 410.
    last_known: u64,
    /// Revision of the last change; later polls are answered without changes.
    last_change: u64,
    /// Whether all requests are answered 503.
    is_away: bool,
}

impl Platform {
    fn new(era: Option<&str>) -> Arc<Self> {
        let era = era.map(str::to_owned);
        let state = State {
            era,
            revision: 100,
            settings: 1,
            has_target: false,
            last_known: u64::MAX,
            last_change: u64::MAX,
            is_away: false,
        };
        Arc::new(Self { state: Mutex::new(state), lists: AtomicUsize::new(0) })
    }

    fn change<Update>(&self, update: Update)
    where
        Update: FnOnce(&mut State),
    {
        update(&mut self.state.lock());
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionAborted> {
        let after = query_param(&request, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
        // The wait of a long poll, much shortened.
        sleep(Duration::from_millis(20)).await;
        if request.uri().path() == LIST_PATH {
            self.lists.fetch_add(1, Ordering::Relaxed);
        }
        let state = self.state.lock().clone();
        let mut changes = vec![Change::Published(published(state.settings))];
        changes.extend(state.has_target.then(|| Change::Target(stub::target(1, 1))));
        let all = PublishedChanges { revision: state.revision, changes };
        let mut response = match request.uri().path() {
            _ if state.is_away => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
            LIST_PATH => json_response(&all),
            CHANGES_PATH if after > state.last_known => text_response(StatusCode::GONE, ""),
            CHANGES_PATH if after < state.revision.min(state.last_change) => json_response(&all),
            CHANGES_PATH => json_response(&PublishedChanges { changes: Vec::new(), ..all }),
            _ => text_response(StatusCode::NOT_FOUND, ""),
        };
        if let Some(era) = &state.era {
            let value = HeaderValue::from_str(era).expect("a valid header value");
            response.headers_mut().insert(ERA, value);
        }
        Ok(response)
    }
}

fn published(version: u64) -> PublishedSettings {
    PublishedSettings {
        version,
        routes: Vec::new(),
        services: IndexMap::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// A gateway that reads a platform and has no peers.
struct Fixture {
    platform: Arc<Platform>,
    gateway: Rc<Gateway<NativeAdapter>>,
    stop: CancellationToken,
}

impl Fixture {
    async fn start(test: u8, era: Option<&str>, read_ms: u64) -> Self {
        let platform = Platform::new(era);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let [.., high, low] = process::id().to_be_bytes();
        let at = |port| SocketAddr::from(([127, 128 | (test & 63), high, low], port));
        let mut settings = stub::settings();
        settings.platform = listener.local_addr().expect("bound");
        settings.read_ms = read_ms;
        settings.listen.directions = at(9_001);
        settings.listen.readiness = at(9_002);
        settings.listen.news = at(9_003);
        settings.listen.heartbeats = at(9_004);
        let stop = CancellationToken::new();
        let handler = Arc::clone(&platform);
        tokio::spawn(serve(listener, stop.clone(), move |r| Arc::clone(&handler).handle(r)));
        let (probes, _) = mpsc::unbounded_channel();
        let gateway = Rc::new(Gateway::new(NativeAdapter, settings.clone(), probes));
        let heartbeats =
            HeartbeatSocket::bind(settings.listen.heartbeats).await.expect("the port is free");
        let servers = ControlServers::bind(&settings.listen).await.expect("the ports are free");
        spawn_local(control::run(Rc::clone(&gateway), heartbeats, servers));
        let fixture = Self { platform, gateway, stop };
        fixture.wait_for(1).await;
        fixture
    }

    fn version(&self) -> u64 {
        self.gateway.routes().map_or(0, |table| table.published().version)
    }

    async fn wait_for(&self, version: u64) {
        let in_force = async {
            while self.version() < version {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(IN_FORCE_TIMEOUT, in_force).await.expect("the settings are in force in time");
        assert_eq!(self.version(), version);
    }

    fn targets(&self) -> usize {
        self.gateway.catalog.borrow().targets().count()
    }

    /// Expects that the data read in the last part of [`STEADY_TIME`] was not used, and did not confirm
    /// what was known.
    fn expect_ignored(&self) {
        assert_eq!(self.targets(), 0);
        let age = self.gateway.catalog.borrow().age(self.gateway.clock.now());
        assert!(age.is_some_and(|age| age >= STEADY_TIME / 2), "confirmed {age:?} ago");
    }

    async fn expect_steady(&self, version: u64) {
        let end = Instant::now() + STEADY_TIME;
        while Instant::now() < end {
            assert_eq!(self.version(), version);
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn wait_for_targets(&self, count: usize, limit: Duration) -> bool {
        let listed = async {
            while self.targets() != count {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(limit, listed).await.is_ok()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.gateway.shutdown.cancel();
        self.stop.cancel();
    }
}

async fn run_local<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    LocalSet::new().run_until(test).await;
}

/// Guards against a platform that is ignored for good: one list under a wrong era, far above the present
/// one, and nothing that the platform says later counts.
#[tokio::test]
async fn targets_are_followed_after_a_moment_of_wrong_eras() {
    run_local(async {
        let fixture = Fixture::start(11, Some("1"), 100).await;
        fixture.platform.change(|s| s.era = Some("900".to_owned()));
        sleep(Duration::from_millis(500)).await;
        fixture.platform.change(|s| {
            *s = State { era: Some("1".to_owned()), revision: 101, has_target: true, ..s.clone() }
        });
        assert!(fixture.wait_for_targets(1, IN_FORCE_TIMEOUT).await);
    })
    .await;
}

/// Guards against settings that never come into force after a reload: the changes of one platform after a
/// revision of another one lack what was published before.
#[tokio::test]
async fn another_platform_is_listed_after_a_reload() {
    run_local(async {
        let fixture = Fixture::start(16, Some("1"), 100).await;
        let other = Platform::new(Some("1"));
        other.change(|s| (s.revision, s.settings, s.last_change) = (200, 2, 50));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut settings = fixture.gateway.settings().as_ref().clone();
        settings.platform = listener.local_addr().expect("bound");
        tokio::spawn(serve(listener, fixture.stop.clone(), move |r| Arc::clone(&other).handle(r)));
        fixture.gateway.reload_settings(settings);
        fixture.wait_for(2).await;
    })
    .await;
}

/// Guards against calls to a target that has not registered again in time: the end of its grace period
/// was only looked at between two reads.
#[tokio::test]
async fn target_that_the_copy_lacks_is_dropped_in_time() {
    run_local(async {
        let fixture = Fixture::start(12, Some("1"), 1_000).await;
        fixture.platform.change(|s| (s.revision, s.has_target) = (101, true));
        assert!(fixture.wait_for_targets(1, IN_FORCE_TIMEOUT).await);
        fixture.platform.change(|s| {
            *s = State {
                era: Some("2".to_owned()),
                revision: 90,
                last_known: 90,
                has_target: false,
                ..s.clone()
            }
        });
        while fixture.gateway.catalog.borrow().revision().era != 2 {
            sleep(Duration::from_millis(10)).await;
        }
        let listed = Instant::now();
        assert!(fixture.wait_for_targets(0, GRACE * 2).await);
        let kept = listed.elapsed();
        assert!(kept <= GRACE + MAX_LATENESS, "kept for {kept:?}");
    })
    .await;
}

/// Guards against lists without end: a platform whose era has gone back was asked for everything at each
/// read.
#[tokio::test]
async fn platform_whose_era_has_gone_back_is_not_listed_at_each_read() {
    run_local(async {
        let fixture = Fixture::start(13, Some("7"), 100).await;
        fixture.platform.change(|s| s.era = Some("6".to_owned()));
        sleep(Duration::from_millis(500)).await;
        let before = fixture.platform.lists.load(Ordering::Relaxed);
        sleep(Duration::from_secs(2)).await;
        let lists = fixture.platform.lists.load(Ordering::Relaxed) - before;
        // A failed read is repeated after 1.2 s at most.
        assert!(lists <= 4, "{lists} lists in 2 s");
    })
    .await;
}

/// Guards against a gauge that says nothing at gateways that get their data from peers.
#[tokio::test]
async fn revision_in_force_is_shown_for_data_from_a_peer() {
    let (probes, _) = mpsc::unbounded_channel();
    let gateway = Gateway::new(NativeAdapter, stub::settings(), probes);
    let changes = vec![Change::Published(published(1))];
    let source = Source::Peer(Duration::ZERO);
    let now = gateway.clock.now();
    assert!(gateway.catalog.borrow_mut().relist(now, Revision::new(2, 90), changes, source));
    gateway.apply_catalog(source);
    let text = gateway.metrics_text();
    let shown = text.lines().find(|line| line.starts_with("azuretally_platform_revision "));
    assert_eq!(shown, Some("azuretally_platform_revision 90"));
    let shown = text.lines().find(|line| line.starts_with("azuretally_platform_era "));
    assert_eq!(shown, Some("azuretally_platform_era 2"));
}

/// Tells the loss of data from the absence of the platform alone, after which settings are in force in time.
#[tokio::test]
async fn settings_confirmed_after_the_platform_was_away_are_in_force_in_time() {
    run_local(async {
        let fixture = Fixture::start(14, Some("1"), 1_000).await;
        for (version, away_ms) in [(2, 600), (3, 600), (4, 600), (5, 3_000), (6, 3_000)] {
            fixture.platform.change(|s| s.is_away = true);
            sleep(Duration::from_millis(away_ms)).await;
            fixture.platform.change(|s| {
                *s = State {
                    is_away: false,
                    revision: s.revision + 1,
                    settings: version,
                    ..s.clone()
                }
            });
            fixture.wait_for(version).await;
        }
    })
    .await;
}

/// The same if the platform is restored each time, before the gateway has read the era before it.
#[tokio::test]
async fn settings_confirmed_after_restores_in_a_row_are_in_force_in_time() {
    run_local(async {
        let fixture = Fixture::start(15, Some("1"), 1_000).await;
        for (version, era) in [(2, 2), (3, 4), (4, 6), (5, 8)] {
            for (era, revision) in [(era, 80), (era + 1, 60)] {
                fixture.platform.change(|s| s.is_away = true);
                sleep(Duration::from_millis(300)).await;
                fixture.platform.change(|s| {
                    *s = State {
                        era: Some(era.to_string()),
                        is_away: false,
                        revision,
                        last_known: revision,
                        settings: version - 1,
                        ..s.clone()
                    }
                });
                sleep(Duration::from_millis(50)).await;
            }
            fixture.platform.change(|s| (s.revision, s.last_known, s.settings) = (61, 61, version));
            fixture.wait_for(version).await;
        }
    })
    .await;
}

/// Guards against confirmed settings that are not in force: after a restore, everything was ignored
/// until the platform's revisions had passed those known before.
#[tokio::test]
async fn settings_confirmed_after_a_restore_are_in_force_in_time() {
    run_local(async {
        let fixture = Fixture::start(1, Some("1"), 100).await;
        fixture.platform.change(|s| {
            *s = State { era: Some("2".to_owned()), revision: 90, last_known: 90, ..s.clone() }
        });
        sleep(Duration::from_millis(300)).await;
        fixture.platform.change(|s| (s.revision, s.last_known, s.settings) = (91, 91, 2));
        fixture.wait_for(2).await;
    })
    .await;
}

/// Guards against changes that are missed: a poll after a revision that was given out again succeeds,
/// and says nothing of what was written before that revision in the new era.
#[tokio::test]
async fn settings_are_not_missed_if_revisions_were_given_out_again() {
    run_local(async {
        let fixture = Fixture::start(2, Some("1"), 100).await;
        fixture.platform.change(|s| {
            // The settings were written under revision 95; polls after 100 no longer bring them.
            *s = State { era: Some("2".to_owned()), revision: 100, settings: 2, ..s.clone() }
        });
        fixture.wait_for(2).await;
    })
    .await;
}

#[tokio::test]
async fn settings_lost_by_the_platform_stay_in_force() {
    run_local(async {
        let fixture = Fixture::start(3, Some("1"), 100).await;
        fixture.platform.change(|s| (s.revision, s.settings) = (101, 3));
        fixture.wait_for(3).await;
        fixture.platform.change(|s| {
            *s = State {
                era: Some("2".to_owned()),
                revision: 90,
                settings: 2,
                last_known: 90,
                ..s.clone()
            }
        });
        fixture.expect_steady(3).await;
        fixture.platform.change(|s| (s.revision, s.settings, s.last_known) = (91, 4, 91));
        fixture.wait_for(4).await;
    })
    .await;
}

#[tokio::test]
async fn unreadable_or_earlier_eras_revert_nothing() {
    run_local(async {
        let fixture = Fixture::start(4, Some("7"), 100).await;
        for era in ["", "-1", "8.5", "soon", "99999999999999999999"] {
            fixture.platform.change(|s| {
                s.era = Some(era.to_owned());
                s.revision += 1;
                s.settings += 1;
            });
            let version = fixture.platform.state.lock().settings;
            fixture.wait_for(version).await;
        }
        let version = fixture.version();
        fixture.platform.change(|s| {
            *s = State { era: Some("6".to_owned()), revision: 500, settings: 1, ..s.clone() };
            s.has_target = true;
        });
        fixture.expect_steady(version).await;
        fixture.expect_ignored();
        fixture.platform.change(|s| {
            *s = State { era: Some("7".to_owned()), revision: 501, settings: 101, ..s.clone() }
        });
        fixture.wait_for(101).await;
        assert_eq!(fixture.targets(), 1);
    })
    .await;
}

/// Without eras a restored platform cannot be told from an outdated one: its targets are read once its
/// revisions have passed the known one. Settings have an order of their own.
#[tokio::test]
async fn platform_without_eras_is_followed_again_once_its_revisions_pass() {
    run_local(async {
        let fixture = Fixture::start(5, None, 100).await;
        fixture.platform.change(|s| {
            *s = State { revision: 90, settings: 2, last_known: 90, has_target: true, ..s.clone() }
        });
        fixture.wait_for(2).await;
        fixture.platform.change(|s| s.settings = 1);
        fixture.expect_steady(2).await;
        fixture.expect_ignored();
        fixture.platform.change(|s| (s.revision, s.last_known, s.settings) = (101, 101, 3));
        fixture.wait_for(3).await;
        assert_eq!(fixture.targets(), 1);
    })
    .await;
}
