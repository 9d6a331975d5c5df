//! A short seeded run, and every seed that ever broke a promise.

use azuretally_soak::{Options, run};
use std::time::Duration;

fn play(options: Options) {
    let runtime = tokio::runtime::Runtime::new().unwrap_or_else(|e| panic!("{e}"));
    let outcome = runtime.block_on(run(&options));
    assert!(outcome.violations.is_empty(), "seed {}: {:#?}", options.seed, outcome.violations);
}

/// A planned stop met a process that was frozen: the soak itself lost the process and never woke it.
#[test]
fn stop_of_a_frozen_gateway_is_not_held_against_it() {
    play(Options { network: 79, ..Options::new(304) });
}

#[test]
fn short_run_keeps_the_promises() {
    play(Options { faults: Duration::from_secs(6), network: 78, ..Options::new(1) });
}
