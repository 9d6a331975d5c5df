//! A short seeded run, and every seed that ever broke a promise.

use azuretally_soak::{Options, run};
use std::time::Duration;

fn play(options: Options) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let outcome = runtime.block_on(run(&options));
    assert!(outcome.violations.is_empty(), "seed {}: {:#?}", options.seed, outcome.violations);
}

#[test]
fn short_run_keeps_the_promises() {
    play(Options { faults: Duration::from_secs(6), network: 78, ..Options::new(1) });
}
