//! Each call pushed to the record queue is either returned exactly once or counted as lost.

use azuretally_api::record::{CallRecord, Outcome};
use azuretally_entry::record::Sink;
use std::thread;

fn call(end_us: u64) -> CallRecord {
    CallRecord {
        revision: 1,
        era: None,
        service: "till".to_owned(),
        operation: "balance".to_owned(),
        class: "urgent".to_owned(),
        caller: "kiosk-1".to_owned(),
        key: None,
        arrival_us: 0,
        deadline_us: end_us + 1,
        dispatch_us: Some(0),
        end_us,
        target: Some("t1".to_owned()),
        peer: None,
        attempts: 1,
        outcome: Outcome::Answered,
        reason: None,
    }
}

#[test]
fn every_call_is_returned_or_counted_as_lost() {
    const THREADS: u64 = 8;
    const CALLS: u64 = 6_000;
    let sink = Sink::new();
    thread::scope(|scope| {
        for t in 0..THREADS {
            let sink = &sink;
            scope.spawn(move || (0..CALLS).for_each(|i| sink.push(call(t * CALLS + i))));
        }
    });
    let batch = sink.take();
    assert_eq!(batch.calls.len() as u64 + batch.lost, THREADS * CALLS);
    assert!(batch.lost > 0, "the sink must be bounded");
    assert!(batch.calls.is_sorted_by_key(|c| c.end_us));
    let rest = sink.take();
    assert_eq!((rest.calls.len(), rest.lost), (0, 0));
}
