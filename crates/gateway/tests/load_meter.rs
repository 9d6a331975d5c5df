//! Measurement of a gateway's own load.

use azuretally_gateway::load_meter::{LatenessMeter, LoadMeter};
use azuretally_policy::Timestamp;
use std::{
    thread,
    time::{Duration, Instant},
};
use tokio::{runtime::Builder, time::sleep};

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Returns the share of time in which an event loop is busy that works for `work` and waits for `wait`
/// by turns.
fn busy_share(work: Duration, wait: Duration) -> f64 {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        let start = Instant::now();
        let now = || Timestamp::default() + start.elapsed();
        let mut meter = LoadMeter::default();
        for _ in 0..20 {
            // The loop is busy as long as the task holds it, whether the thread runs or not.
            thread::sleep(work);
            sleep(wait).await;
        }
        meter.busy_fraction(now())
    })
}

#[test]
fn busy_share_tells_an_idle_event_loop_from_a_busy_one() {
    let idle = busy_share(Duration::from_millis(1), Duration::from_millis(20));
    let busy = busy_share(Duration::from_millis(20), Duration::from_millis(1));
    assert!(idle < 0.5 && busy > 0.5, "idle {idle}, busy {busy}");
}

#[test]
fn lateness_counts_for_a_short_time() {
    let mut meter = LatenessMeter::default();
    meter.record(ms(1_000), Duration::from_millis(80));
    meter.record(ms(1_050), Duration::from_millis(10));
    assert_eq!(meter.lateness(ms(1_060)), Duration::from_millis(80), "the greatest one counts");
    assert_eq!(meter.lateness(ms(1_100)), Duration::ZERO);
    meter.record(ms(1_200), Duration::from_millis(5));
    assert_eq!(meter.lateness(ms(1_210)), Duration::from_millis(5));
}

#[test]
fn lateness_is_worth_one_log_line_a_second() {
    let mut meter = LatenessMeter::default();
    assert!(!meter.record(ms(1_000), Duration::from_millis(99)));
    assert!(meter.record(ms(1_010), Duration::from_millis(100)));
    assert!(!meter.record(ms(2_000), Duration::from_millis(500)));
    assert!(meter.record(ms(2_010), Duration::from_millis(500)));
}
