//! Measurement of a gateway's own load.
#![allow(clippy::expect_used)]

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

/// Measures an event loop that works for `work` and waits for `wait` by turns, without calls and then with
/// some.
fn measure(work: [Duration; 2], wait: Duration) -> LoadMeter {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        let start = Instant::now();
        let mut meter = LoadMeter::default();
        for (calls, work) in (0..).zip(work) {
            for _ in 0..20 {
                // The loop is busy as long as the task holds it, whether the thread runs or not.
                thread::sleep(work);
                sleep(wait).await;
            }
            meter.update(Timestamp::default() + start.elapsed(), calls);
        }
        meter
    })
}

const SHORT: Duration = Duration::from_millis(1);
const LONG: Duration = Duration::from_millis(20);

#[test]
fn load_tells_an_idle_event_loop_from_a_busy_one() {
    let idle = measure([SHORT; 2], LONG);
    assert!(idle.busy() < 0.5 && idle.for_calls() < 0.5, "{idle:?}");
    let busy = measure([SHORT, LONG], SHORT);
    assert!(busy.busy() > 0.5 && busy.for_calls() > 0.5, "{busy:?}");
}

/// A gateway that starts has much to do before its first call, as do all gateways of a large domain.
#[test]
fn work_without_calls_is_no_load_of_calls() {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        let mut meter = LoadMeter::default();
        thread::sleep(Duration::from_millis(250));
        sleep(SHORT).await;
        meter.update(ms(250), 0);
        assert!(meter.busy() > 0.5, "{meter:?}");
        assert!(meter.for_calls() < 0.01, "{meter:?}");
    });
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
