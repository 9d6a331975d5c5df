//! Choice of the connections that end when the byte budget of a process is used up.

use azuretally_policy::{
    Timestamp,
    budget::{ByteBudget, Port},
};
use std::time::Duration;

const KB: u64 = 1_024;
/// Bytes of each connection that do not count.
const FREE: u64 = 8 * KB;

fn at(ms: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(ms)
}

/// Opens a connection at 0 ms that holds `bytes` that count.
fn open(budget: &mut ByteBudget, bytes: u64) -> u64 {
    let id = budget.open(at(0), Port::Calls);
    budget.set_bytes(id, FREE + bytes);
    id
}

/// Ordinary requests must not need room, or a crowd could have all of them refused.
#[test]
fn first_bytes_of_a_connection_do_not_count() {
    let mut budget = ByteBudget::new(100 * KB);
    let id = budget.open(at(0), Port::Calls);
    budget.set_bytes(id, FREE);
    assert_eq!(budget.held(), 0);
    budget.set_bytes(id, FREE + KB);
    assert_eq!(budget.held(), KB);
    budget.close(id);
    assert_eq!(budget.held(), 0);
}

/// Callers that hold little or have stopped only now must not be ended before those that hold much for long.
#[test]
fn largest_product_of_bytes_and_stall_ends_first() {
    let mut budget = ByteBudget::new(100 * KB);
    let small = open(&mut budget, 10 * KB);
    let large = open(&mut budget, 60 * KB);
    let recent = open(&mut budget, 80 * KB);
    budget.record_moved(at(1_500), recent, 80 * KB);
    assert_eq!(budget.make_room(at(2_100), 0), [large]);
    assert_eq!(budget.held(), 90 * KB);
    assert_eq!(budget.make_room(at(2_100), 20 * KB), [recent]);
    assert_eq!(budget.make_room(at(2_100), 95 * KB), [small]);
    assert_eq!(budget.held(), 0);
}

/// A connection was counted twice when it was chosen first and closed later.
#[test]
fn chosen_connection_counts_no_more() {
    let mut budget = ByteBudget::new(100 * KB);
    let id = open(&mut budget, 200 * KB);
    assert_eq!(budget.make_room(at(1_000), 0), [id]);
    budget.set_bytes(id, 300 * KB);
    assert!(budget.make_room(at(2_000), 0).is_empty());
    assert_eq!(budget.held(), 0);
    budget.close(id);
    assert_eq!(budget.held(), 0);
}

/// A caller that waits for its answer has nothing to send or read, however long that takes.
#[test]
fn connection_that_is_served_is_not_ended() {
    let mut budget = ByteBudget::new(100 * KB);
    let id = open(&mut budget, 200 * KB);
    budget.set_serving(at(0), id, true);
    assert!(budget.make_room(at(60_000), 0).is_empty());
    assert_eq!(budget.make_place(at(60_000), |_| true), None);
    budget.set_serving(at(60_000), id, false);
    assert!(budget.make_room(at(60_100), 0).is_empty());
    assert_eq!(budget.make_room(at(60_500), 0), [id]);
}

/// A caller on a slow link makes progress; one that sends single bytes to look alive does not.
#[test]
fn single_bytes_are_no_progress() {
    let mut budget = ByteBudget::new(100 * KB);
    let dripping = open(&mut budget, 60 * KB);
    let sending = open(&mut budget, 60 * KB);
    for step in 1..=20 {
        budget.record_moved(at(step * 100), dripping, step);
        budget.record_moved(at(step * 100), sending, step * 16 * KB);
    }
    assert_eq!(budget.make_room(at(2_000), 100 * KB), [dripping]);
}

/// At the limit of connections, callers of other ports keep theirs, and the longest stall ends first.
#[test]
fn longest_stall_of_the_port_makes_place() {
    let mut budget = ByteBudget::new(100 * KB);
    let other = budget.open(at(0), Port::Peers);
    let first = budget.open(at(10), Port::Calls);
    let second = budget.open(at(20), Port::Calls);
    let is_call = |port| port == Port::Calls;
    assert_eq!(budget.make_place(at(400), is_call), None);
    assert_eq!(budget.make_place(at(1_000), is_call), Some(first));
    assert_eq!(budget.count(is_call), 1);
    assert_eq!(budget.make_place(at(1_000), is_call), Some(second));
    assert_eq!(budget.make_place(at(1_000), is_call), None);
    assert_eq!(budget.make_place(at(1_000), |port| port != Port::Calls), Some(other));
}

/// A connection that was chosen and closed later must not be subtracted twice.
#[test]
fn ended_connections_leave_the_count_once() {
    let mut budget = ByteBudget::new(100 * KB);
    let first = budget.open(at(0), Port::Calls);
    let second = budget.open(at(0), Port::Calls);
    assert_eq!(budget.make_place(at(1_000), |_| true), Some(first));
    budget.close(first);
    assert_eq!(budget.count(|_| true), 1);
    budget.close(second);
    assert_eq!(budget.count(|_| true), 0);
}
