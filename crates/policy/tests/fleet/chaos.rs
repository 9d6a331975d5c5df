//! Convergence after long random sequences of faults.

use crate::{
    cases,
    cluster::{Cluster, Faults, hosts, settings},
};
use arbtest::arbitrary::{Result, Unstructured};
use azuretally_policy::fleet::LeavingReport;
use std::{collections::BTreeSet, sync::Arc};

const NODE_COUNT: usize = 9;

#[derive(Default)]
struct Counters {
    generation: u64,
    revision: u64,
    incarnation: u64,
}

/// Applies one random fault, repair or publication.
fn inject_fault(
    u: &mut Unstructured<'_>,
    cluster: &mut Cluster,
    counters: &mut Counters,
) -> Result<()> {
    let node = u.choose_index(NODE_COUNT)?;
    match u.int_in_range(0..=11)? {
        0 => cluster.kill(node),
        1 | 2 if cluster.nodes[node].is_none() => {
            counters.generation += 1;
            cluster.start(node, counters.generation);
        }
        3 => cluster.pause(node),
        4 => cluster.resume(node),
        5 => {
            let side: BTreeSet<usize> = (0..NODE_COUNT).filter(|n| (node + n) % 3 == 0).collect();
            cluster.partition(&side);
        }
        6 => cluster.cut.clear(),
        7 => {
            cluster.cut.insert((node, u.choose_index(NODE_COUNT)?));
        }
        8 => cluster.platform_up = u.arbitrary()?,
        9 => {
            counters.revision += 1;
            let preset = if u.ratio(1, 4)? { "no-such-preset" } else { "ordinary" };
            cluster.settings = (counters.revision, settings(preset, 100));
        }
        10 => {
            let lag = u.int_in_range(0..=2)?;
            cluster.settings =
                (counters.revision.saturating_sub(lag).max(1), settings("ordinary", 100));
        }
        11 => {
            let incarnation = Arc::from(counters.incarnation.to_string());
            let report = LeavingReport { target: Arc::from("till-0"), incarnation };
            if cluster.nodes[node].as_ref().is_some_and(|n| !n.paused) {
                cluster.with(node, |fleet, _| fleet.report_leaving(report));
            }
        }
        _ => {}
    }
    Ok(())
}

/// Guards against settings that revert under combined faults, and against a fleet that does not
/// converge after the faults have ended. The simulation checks after each step that no entry
/// reverts to older settings.
#[test]
fn settings_never_revert_and_fleet_recovers_after_faults() {
    cases::check(0xa5e00080, 60, 0x800, |u| {
        let mut cluster = Cluster::new(NODE_COUNT, u.arbitrary()?);
        let mut counters = Counters { generation: 1, revision: 1, incarnation: 0 };
        cluster.run_ms(1_000);
        cluster.faults = Faults {
            loss: u.int_in_range(0..=200)?,
            duplicate: u.int_in_range(0..=200)?,
            late: u.int_in_range(0..=200)?,
        };
        for _ in 0..u.int_in_range(10..=40)? {
            inject_fault(u, &mut cluster, &mut counters)?;
            let ms = u.int_in_range(50..=3_000)?;
            cluster.run_ms(ms);
        }
        recover(&mut cluster, &mut counters);
        Ok(())
    });
}

/// Ends all faults and checks that the entries converge on new settings and a new host list.
fn recover(cluster: &mut Cluster, counters: &mut Counters) {
    cluster.faults = Faults::default();
    cluster.cut.clear();
    cluster.platform_up = true;
    for node in 0..NODE_COUNT {
        cluster.resume(node);
        if cluster.nodes[node].is_none() {
            counters.generation += 1;
            cluster.start(node, counters.generation);
        }
    }
    counters.revision += 10;
    cluster.settings = (counters.revision, settings("ordinary", 500));
    let list = hosts(1_000, &(0..NODE_COUNT).collect::<Vec<_>>(), &[("till-0", Some("z"), false)]);
    cluster.hosts = (1_000, list);
    cluster.run_until(15_000, Cluster::has_converged).expect("the fleet does not converge");
    let revision = counters.revision;
    let agree = |c: &Cluster| {
        c.up().iter().all(|n| {
            let fleet = c.fleet(*n);
            fleet.settings().revisions().accepted == revision
                && !fleet.is_target_leaving("till-0")
                && fleet.entry_sets().services == c.fleet(0).entry_sets().services
        })
    };
    cluster
        .run_until(2_000, agree)
        .expect("the entries disagree on settings, targets or entry sets");
}
