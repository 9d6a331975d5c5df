//! `azuretally-soak`: a soak test that injects random faults into real gateway processes.

use azuretally_soak::{Options, Profile, run};
use std::{path::PathBuf, process::ExitCode, time::Duration};

const USAGE: &str = "Usage: azuretally-soak [--seed N] [--runs N] [--seconds N] [--gateways N]
                       [--targets N] [--callers N] [--network N] [--logs DIR]
                       [--planned-only] [--no-partitions] [--no-restores] [--restores]
                       [--no-crashes] [--no-rests] [--no-departures] [--domains N]
                       [--add-routes] [--older PATH]

Runs seeds N, N + 1, ... and prints a line for each. Exits with 1 when a promise was broken, and with 2
when a run would need more file descriptors than the process may open.
--logs keeps the logs of each seed in DIR/seed-N and replaces those of an earlier run of the seed.
--network selects the loopback network 127.N.0.0/16, so that concurrent soaks do not collide.
--planned-only injects no unplanned faults, only stops, restarts, hangups, settings and replaced
targets.
--no-partitions cuts off no gateway from all targets, for gateways that cannot be told apart there.
--no-restores restores the platform from no copies. Neither does --planned-only.
--no-crashes sends no calls that crash targets. Neither does --planned-only.
--no-rests lets no target ask for rest.
--no-departures lets no target say that it leaves before the platform knows.
--restores restores the platform with --planned-only, too. It has to follow it.
--add-routes publishes a route each second and asks all gateways for those confirmed 2 s before.
--older PATH starts all gateways from an older build and replaces them one after the other, all or, by
the seed, some. Adds routes, too. scripts/build-older builds one.";

/// Parsed command line.
struct Args {
    options: Options,
    /// Number of consecutive seeds to run.
    runs: u64,
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(Some(args)) => args,
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
            eprintln!("error: failed to start the async runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed_runs = 0;
    for seed in args.options.seed..args.options.seed + args.runs {
        let options = Options { seed, ..args.options.clone() };
        let report = match runtime.block_on(run(&options)) {
            Ok(report) => report,
            Err(e) => {
                eprintln!("error: seed {seed}: {e}");
                return ExitCode::from(2);
            }
        };
        println!(
            "seed {seed}: {} broken, {:.3} answered at the end, {:?}, {}; {}; {}; {}; {} rests, {} \
             departures",
            report.violations.len(),
            report.answered_share,
            report.counts,
            report.stops,
            report.crashes,
            report.added,
            report.upgrades,
            report.rests,
            report.departures
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        failed_runs += u64::from(!report.violations.is_empty());
    }
    println!("{} runs, {failed_runs} with a broken promise", args.runs);
    if failed_runs == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Parses the command line. Returns `None` if help is requested.
fn parse_args() -> Result<Option<Args>, lexopt::Error> {
    use lexopt::prelude::*;
    let mut options =
        Options { restores: true, crashes: true, rests: true, departures: true, ..Options::new(1) };
    let mut runs = 1;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("runs") => runs = parser.value()?.parse()?,
            Long("seconds") => options.fault_time = Duration::from_secs(parser.value()?.parse()?),
            Long("gateways") => options.gateways = parser.value()?.parse()?,
            Long("targets") => options.targets = parser.value()?.parse()?,
            Long("callers") => options.callers = parser.value()?.parse()?,
            Long("network") => options.network = parser.value()?.parse()?,
            Long("planned-only") => {
                options.profile = Profile::Planned;
                (options.restores, options.crashes) = (false, false);
            }
            Long("no-crashes") => options.crashes = false,
            Long("no-rests") => options.rests = false,
            Long("no-departures") => options.departures = false,
            Long("no-restores") => options.restores = false,
            Long("restores") => options.restores = true,
            Long("domains") => options.domains = parser.value()?.parse()?,
            Long("add-routes") => options.adds_routes = true,
            Long("older") => {
                options.older = Some(PathBuf::from(parser.value()?));
                options.adds_routes = true;
            }
            Long("no-partitions") => options.partitions = false,
            Long("logs") => options.output_dir = Some(PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(Args { options, runs }))
}
