//! Exchange of free slots, rate limits of control traffic and sizes of entry sets.

use crate::{
    cases,
    cluster::{Cluster, name},
};
use azuretally_policy::{
    Timestamp,
    fleet::{
        CallMeter, FLEET_CALLS_PER_S, FREE_SLOTS_TTL, FreeSlots, Pacer, SLOT_BYTES_PER_S,
        ServiceLoad, SetSizer, token_interval,
    },
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{sync::Arc, time::Duration};

const SEED: u64 = 0x0a5e_0007;

#[test]
fn free_slots_reach_only_the_entry_set() {
    let mut cluster = Cluster::new(8, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    cluster.run_ms(1_000);
    let till: Arc<str> = Arc::from("till");
    let set = cluster.fleet(0).entry_sets().services["till"].clone();
    let sender = (0..8).find(|n| name(*n) == set[0]).unwrap();
    cluster.with(sender, |fleet, _| fleet.set_free_slots(&till, 3));
    cluster.run_ms(500);
    for node in (0..8).filter(|n| *n != sender) {
        let free = cluster.fleet(node).free_slots(cluster.time(node), &set[0], &till);
        let expected = if set.contains(&name(node)) { 3 } else { 0 };
        assert_eq!(free, expected, "at entry-{node}");
    }
    cluster.kill(sender);
    cluster.run_ms(FREE_SLOTS_TTL.as_millis() as u64 + 100);
    for node in (0..8).filter(|n| *n != sender) {
        assert_eq!(cluster.fleet(node).free_slots(cluster.time(node), &set[0], &till), 0);
    }
}

#[test]
fn free_slot_messages_stay_within_their_byte_rate() {
    cases::check(0xa5e00074, 200, 0x4000, |u| {
        let mut slots = FreeSlots::new(Timestamp::default());
        let services = [Arc::from("till"), Arc::from("reporting")];
        let peers: Vec<(Arc<str>, Vec<Arc<str>>)> =
            (0..5).map(|n| (name(n), services.to_vec())).collect();
        let mut random = Pcg64Mcg::seed_from_u64(u.arbitrary()?);
        let mut bytes = 0.0;
        for ms in 1..=20_000 {
            slots.set_own(&services[0], random.random_range(0..10));
            slots.set_own(&services[1], random.random_range(0..10));
            let due = peers.iter().map(|(p, s)| (p, &s[..]));
            let messages = slots.due_messages(Timestamp::from_millis(ms), due);
            // 130 bytes for each message and 14 bytes for each of its two services.
            bytes += messages.len() as f64 * 158.0;
        }
        assert!(bytes <= SLOT_BYTES_PER_S * 21.0, "{bytes} bytes in 20 s");
        Ok(())
    });
}

#[test]
fn platform_calls_stay_within_the_share_of_the_fleet() {
    cases::check(0xa5e00078, 200, 0x8000, |u| {
        let entries = u.int_in_range(1..=64)?;
        let mut random = Pcg64Mcg::seed_from_u64(u.arbitrary()?);
        let mut pacers = vec![Pacer::new(Timestamp::default(), entries); entries as usize];
        let outage = u.int_in_range(0..=5_000)?;
        let mut counts = [0u32; 10];
        for ms in 0..10_000 {
            let now = Timestamp::from_millis(ms);
            for pacer in &mut pacers {
                if pacer.take(now).is_ok() {
                    counts[ms as usize / 1_000] += 1;
                    if ms < outage { pacer.failed(now, &mut random) } else { pacer.succeeded() }
                }
            }
        }
        let share = FLEET_CALLS_PER_S + f64::from(entries) * 4.0;
        for (second, count) in counts.iter().enumerate() {
            assert!(f64::from(*count) <= share, "{count} calls in second {second}");
        }
        Ok(())
    });
}

#[test]
fn entry_set_grows_before_its_members_saturate_and_shrinks_again() {
    let load =
        |size, minimum| ServiceLoad { service: Arc::from("till"), calls: 100, size, minimum };
    let mut sizer = SetSizer::default();
    let at = |s| Timestamp::default() + Duration::from_secs(s);
    assert!(!sizer.report(at(1), 0.5, &[load(4, 4)]));
    assert!(sizer.report(at(2), 0.7, &[load(4, 4)]));
    let grown = usize::from(sizer.requested_sizes()[0].1);
    assert!(grown > 4 && 0.7 * 4.0 / grown as f64 <= 0.6, "{grown}");
    assert!(!sizer.report(at(3), 0.9, &[load(grown, 4)]), "no interval between two changes");
    let mut now = 10;
    while !sizer.requested_sizes().is_empty() {
        let size = usize::from(sizer.requested_sizes()[0].1);
        sizer.report(at(now), 0.1, &[load(size, 4)]);
        now += 1;
        assert!(now < 200, "the entry set does not shrink");
    }
}

#[test]
fn requested_sizes_reach_every_entry() {
    let mut cluster = Cluster::new(16, SEED);
    cluster.run_until(3_000, Cluster::has_converged).unwrap();
    let before = cluster.fleet(0).entry_sets().services["till"].clone();
    let node = (0..16).find(|n| name(*n) == before[1]).unwrap();
    let till = Arc::from("till");
    let load = ServiceLoad { service: till, calls: 10, size: 4, minimum: 4 };
    cluster.with(node, |fleet, now| fleet.report_load(now, 0.8, &[load]));
    cluster.run_ms(500);
    let after = cluster.fleet(node).entry_sets().services["till"].clone();
    assert!(after.len() > 4);
    assert_eq!(after[..4], before[..], "growth changed the earlier places");
    for n in 0..16 {
        assert_eq!(cluster.fleet(n).entry_sets().services["till"], after, "at entry-{n}");
    }
}

#[test]
fn tokens_are_renewed_in_time_and_within_their_byte_rate() {
    for members in [0, 16, 200, 1_000] {
        let interval = token_interval(members);
        assert!(interval * 2 <= azuretally_policy::idempotency::TOKEN_LIFETIME);
        // In each interval an entry sends the record of every member, 240 bytes, to 3 successors.
        let sent = 3.0 * members as f64 * 240.0 / interval.as_secs_f64();
        assert!(sent < 2_500.0, "{sent} B/s for {members} entries");
    }
}

/// Guards against an entry set that grows without need: the load of an entry that came back to it
/// covered all calls since it had left.
#[test]
fn load_of_an_entry_that_rejoins_a_set_covers_one_interval() {
    let totals = |till, office| IndexMap::from([("till".into(), till), ("office".into(), office)]);
    let is_till = |service: &str| service == "till";
    let mut meter = CallMeter::default();
    assert_eq!(meter.report(totals(10, 5), |_| true), totals(10, 5));
    assert_eq!(meter.report(totals(10, 900), is_till), IndexMap::from([("till".into(), 0)]));
    assert_eq!(meter.report(totals(30, 1_000), |_| true), totals(20, 100));
}
