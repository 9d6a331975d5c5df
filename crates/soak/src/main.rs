//! `azuretally-soak`: randomized faults against real gateway processes.

use azuretally_soak::{Options, run};
use std::{path::PathBuf, process::ExitCode, time::Duration};

const USAGE: &str = "Usage: azuretally-soak [--seed N] [--runs N] [--seconds N] [--gateways N]
                       [--targets N] [--callers N] [--network N] [--logs DIR]

Runs seeds N, N + 1, ... and prints a line for each. Exits with 1 when a promise was broken.
--logs keeps the logs of each seed in DIR/seed-N, in place of those of an earlier run of the seed.
--network selects the loopback addresses 127.N.0.0/16, so that two soaks do not meet.";

struct Plan {
    options: Options,
    runs: u64,
}

fn main() -> ExitCode {
    let plan = match parse() {
        Ok(Some(plan)) => plan,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("error: {e}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("error: the runtime cannot be set up: {e}");
            return ExitCode::FAILURE;
        }
    };
    let mut broken = 0;
    for seed in plan.options.seed..plan.options.seed + plan.runs {
        let options = Options { seed, ..plan.options.clone() };
        let outcome = runtime.block_on(run(&options));
        println!(
            "seed {seed}: {} broken, {:.3} answered at the end, {:?}",
            outcome.violations.len(),
            outcome.recovered,
            outcome.counts
        );
        for violation in &outcome.violations {
            println!("  {violation}");
        }
        broken += u64::from(!outcome.violations.is_empty());
    }
    println!("{} runs, {broken} with a broken promise", plan.runs);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn parse() -> Result<Option<Plan>, lexopt::Error> {
    use lexopt::prelude::*;
    let mut options = Options::new(1);
    let mut runs = 1;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("runs") => runs = parser.value()?.parse()?,
            Long("seconds") => options.faults = Duration::from_secs(parser.value()?.parse()?),
            Long("gateways") => options.gateways = parser.value()?.parse()?,
            Long("targets") => options.targets = parser.value()?.parse()?,
            Long("callers") => options.callers = parser.value()?.parse()?,
            Long("network") => options.network = parser.value()?.parse()?,
            Long("logs") => options.folder = Some(PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(Plan { options, runs }))
}
