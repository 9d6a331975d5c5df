//! Gateways that are cut off from all targets, and the check that their callers are served.
//!
//! Each gateway connects to targets from a loopback address of its own, by which it is known here.

use crate::{checker::Checker, cluster::Cluster};
use azuretally_standin::proxy::connect_from;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Time from the beginning of a partition until calls are counted.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Durations of partitions and of the pauses between them, in ms.
const DURATIONS_MS: RangeInclusive<u64> = 5_000..=9_000;
const PAUSES_MS: RangeInclusive<u64> = 1_000..=6_000;
/// Time after a partition in which its calls end.
const END_MARGIN: Duration = Duration::from_secs(1);
/// Time that must be left for a partition, so that all of it is checked.
const MIN_TIME: Duration = Duration::from_secs(4);

/// What happens to the connections of a gateway to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutMode {
    /// Open ones are silent until the end, new ones are too and are lost.
    Hang,
    /// Open ones and new ones are reset.
    Reset,
    /// Open ones live on, new ones are reset.
    RefuseNew,
}

/// A partition of some gateways.
#[derive(Clone, Debug)]
struct Cut {
    mode: CutMode,
    gateways: Vec<IpAddr>,
}

/// The partition in force.
#[derive(Debug, Default)]
pub(crate) struct Partitions {
    cut: watch::Sender<Option<Cut>>,
}

impl Partitions {
    /// Forwards connections of gateways to `target` until `stop` is cancelled.
    pub(crate) async fn forward(
        self: Arc<Self>,
        listener: TcpListener,
        target: SocketAddr,
        stop: CancellationToken,
    ) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => if let Ok((stream, from)) = accepted {
                    connections.spawn(Arc::clone(&self).serve(stream, from.ip(), target));
                }
            }
        }
        connections.shutdown().await;
    }

    async fn serve(self: Arc<Self>, mut client: TcpStream, from: IpAddr, target: SocketAddr) {
        let mut cut = self.cut.subscribe();
        let mut mode = mode_of(&cut.borrow_and_update(), from);
        if mode == Some(CutMode::Hang) {
            while mode.is_some() && cut.changed().await.is_ok() {
                mode = mode_of(&cut.borrow_and_update(), from);
            }
            return;
        }
        if mode.is_some() {
            let _ = client.set_zero_linger();
            return;
        }
        let Ok(mut upstream) = connect_from(from, target).await else {
            let _ = client.set_zero_linger();
            return;
        };
        let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
        let is_reset = {
            let copy = copy_bidirectional(&mut client, &mut upstream);
            tokio::pin!(copy);
            loop {
                tokio::select! {
                    changed = cut.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        mode = mode_of(&cut.borrow_and_update(), from);
                        if mode == Some(CutMode::Reset) {
                            break true;
                        }
                    }
                    _ = &mut copy, if mode != Some(CutMode::Hang) => break false,
                }
            }
        };
        if is_reset {
            let _ = (client.set_zero_linger(), upstream.set_zero_linger());
        }
    }
}

fn mode_of(cut: &Option<Cut>, from: IpAddr) -> Option<CutMode> {
    cut.as_ref().filter(|cut| cut.gateways.contains(&from)).map(|cut| cut.mode)
}

/// Cuts off some gateways at a time until `end`: any of them, or all of one failure domain.
pub(crate) async fn inject(cluster: &Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    loop {
        sleep(Duration::from_millis(rng.random_range(PAUSES_MS))).await;
        if Instant::now() + MIN_TIME >= end {
            return;
        }
        let count = cluster.gateways.len();
        let numbers: Vec<usize> = match rng.random() {
            true => {
                let domain = rng.random_range(0..count);
                (0..count).filter(|n| cluster.is_same_domain(*n, domain)).collect()
            }
            false => (0..count).filter(|_| rng.random_bool(0.3)).collect(),
        };
        let modes = [CutMode::Hang, CutMode::Reset, CutMode::RefuseNew];
        let mode = modes[rng.random_range(0..modes.len())];
        let duration = Duration::from_millis(rng.random_range(DURATIONS_MS));
        cut(cluster, &numbers, mode, duration).await;
    }
}

async fn cut(cluster: &Arc<Cluster>, numbers: &[usize], mode: CutMode, duration: Duration) {
    let began = Instant::now();
    let gateways = numbers.iter().map(|n| cluster.gateways[*n].calls_address.ip()).collect();
    cluster.checker.record_detached(numbers);
    cluster.partitions.cut.send_replace(Some(Cut { mode, gateways }));
    sleep(duration).await;
    cluster.partitions.cut.send_replace(None);
    let ended = Instant::now();
    sleep(END_MARGIN).await;
    cluster.checker.record_detached(&[]);
    check(&cluster.checker, numbers, began + CONTACT_TIME, ended, mode);
}

fn check(checker: &Checker, numbers: &[usize], from: Instant, until: Instant, mode: CutMode) {
    let (cut, others) = checker.count_served(numbers, from, until);
    let failed = cut.all - cut.served;
    let is_worse = cut.served * others.all * 3 < others.served * cut.all * 2;
    if is_worse && failed * 50 > 500 + cut.all + others.all {
        checker.record_violation(format!(
            "recover: gateways {numbers:?} cut off ({mode:?}) served {} of {} calls, the others {} \
             of {}",
            cut.served, cut.all, others.served, others.all
        ));
    }
}
