//! Everything at once, over many steps.

use crate::{
    cases,
    world::{Faults, World, hosts, settings},
};
use arbtest::arbitrary::{Result, Unstructured};
use azuretally_policy::fleet::LeavingReport;
use std::{collections::BTreeSet, sync::Arc};

const NODES: usize = 9;

#[derive(Default)]
struct History {
    generation: u64,
    revision: u64,
    incarnation: u64,
}

fn disturb(u: &mut Unstructured<'_>, world: &mut World, history: &mut History) -> Result<()> {
    let node = u.choose_index(NODES)?;
    match u.int_in_range(0..=11)? {
        0 => world.kill(node),
        1 | 2 if world.nodes[node].is_none() => {
            history.generation += 1;
            world.start(node, history.generation);
        }
        3 => world.pause(node),
        4 => world.resume(node),
        5 => {
            let side: BTreeSet<usize> = (0..NODES).filter(|n| (node + n) % 3 == 0).collect();
            world.partition(&side);
        }
        6 => world.cut.clear(),
        7 => {
            world.cut.insert((node, u.choose_index(NODES)?));
        }
        8 => world.platform_up = u.arbitrary()?,
        9 => {
            history.revision += 1;
            let preset = if u.ratio(1, 4)? { "no-such-preset" } else { "ordinary" };
            world.settings = (history.revision, settings(preset, 100));
        }
        10 => {
            let back = u.int_in_range(0..=2)?;
            world.settings =
                (history.revision.saturating_sub(back).max(1), settings("ordinary", 100));
        }
        11 => {
            let incarnation = Arc::from(history.incarnation.to_string());
            let report = LeavingReport { target: Arc::from("till-0"), incarnation };
            if world.nodes[node].as_ref().is_some_and(|n| !n.paused) {
                world.with(node, |fleet, _| fleet.report_leaving(report));
            }
        }
        _ => {}
    }
    Ok(())
}

/// Settings never go back (checked after each step by the world), and once the faults are over
/// the fleet is whole again and agrees.
#[test]
fn fleet_never_reverts_and_always_recovers() {
    cases::check(0xa5e00080, 60, 0x800, |u| {
        let mut world = World::new(NODES, u.arbitrary()?);
        let mut history = History { generation: 1, revision: 1, incarnation: 0 };
        world.run_ms(1_000);
        world.faults = Faults {
            loss: u.int_in_range(0..=200)?,
            duplicate: u.int_in_range(0..=200)?,
            late: u.int_in_range(0..=200)?,
        };
        for _ in 0..u.int_in_range(10..=40)? {
            disturb(u, &mut world, &mut history)?;
            let ms = u.int_in_range(50..=3_000)?;
            world.run_ms(ms);
        }
        recover(&mut world, &mut history);
        Ok(())
    });
}

fn recover(world: &mut World, history: &mut History) {
    world.faults = Faults::default();
    world.cut.clear();
    world.platform_up = true;
    for node in 0..NODES {
        world.resume(node);
        if world.nodes[node].is_none() {
            history.generation += 1;
            world.start(node, history.generation);
        }
    }
    history.revision += 10;
    world.settings = (history.revision, settings("ordinary", 500));
    let list = hosts(1_000, &(0..NODES).collect::<Vec<_>>(), &[("till-0", Some("z"), false)]);
    world.hosts = (1_000, list);
    world.run_until(15_000, World::is_whole).expect("the fleet is not whole");
    let revision = history.revision;
    let agree = |w: &World| {
        w.up().iter().all(|n| {
            let fleet = w.fleet(*n);
            fleet.settings().revisions().accepted == revision
                && !fleet.is_target_leaving("till-0")
                && fleet.entry_sets().services == w.fleet(0).entry_sets().services
        })
    };
    world.run_until(2_000, agree).expect("the entries do not agree");
}
