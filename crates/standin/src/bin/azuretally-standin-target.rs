//! `azuretally-standin-target`: runs one or several targets in one process.

use azuretally_standin::{
    StandinError, http, program,
    target::{Distribution, NoisyNeighbourOptions, TargetGroup, TargetOptions},
};
use error_stack::{Report, ResultExt};
use std::{net::SocketAddr, process::ExitCode, time::Duration};
use tokio_util::sync::CancellationToken;

const USAGE: &str = "\
Usage: azuretally-standin-target --listen ADDR --name NAME [OPTIONS]

  --count N             targets on consecutive ports, called NAME-0 and so on (1)
  --control ADDR        control port: POST /faults[?target=NAME], GET /runs, GET /stats
  --slots N             calls that one target runs concurrently (2)
  --backlog N           calls that may wait at one target; further ones are refused (0)
  --service-ms X        mean service time (10); a call overrides it with ?ms=X
  --fixed               fixed service times instead of exponential ones
  --probe-ms X          slot time used by a probe (6)
  --connect-ms X        slot time used by a new connection (1)
  --connections N       connections that may be open at one target (240)
  --net-delay-ms X      network delay in each direction (0)
  --cold-ms X           time for which a new incarnation is cold (0)
  --cold-factor X       factor for service times of a cold target (3)
  --shift-ms LO-HI      a noisy neighbour slows down other targets every LO to HI ms
  --shift-share X       share of targets that are slow at any time (0.33)
  --shift-factor X      factor for service times of slow targets (4)
  --threads N           worker threads (1)
  --seed N              seed of service times and of the noisy neighbour (1)";

struct Options {
    listen: SocketAddr,
    control: Option<SocketAddr>,
    name: String,
    count: u16,
    threads: usize,
    targets: TargetOptions,
}

fn main() -> ExitCode {
    program::run(USAGE, parse(), run)
}

fn run(options: Options) -> Result<(), Report<StandinError>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()
        .change_context(StandinError::Runtime)?;
    runtime.block_on(async {
        let group =
            TargetGroup::bind(&options.name, options.count, options.listen, &options.targets)?;
        let control = options.control.map(http::listen).transpose()?;
        println!("ready {}", options.listen);
        group.run(control, CancellationToken::new()).await;
        Ok(())
    })
}

fn parse() -> Result<Options, lexopt::Error> {
    use lexopt::prelude::{Long, ValueExt};
    let (mut listen, mut name, mut control) = (None, None, None);
    let (mut count, mut threads) = (1, 1);
    let mut targets = TargetOptions::default();
    let mut shift_range: Option<(Duration, Duration)> = None;
    let (mut share, mut factor) = (0.33, 4.0);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        let Long(option) = arg else { return Err(arg.unexpected()) };
        let option = option.to_owned();
        if option == "fixed" {
            targets.distribution = Distribution::Fixed;
            continue;
        }
        let value = parser.value()?;
        match option.as_str() {
            "listen" => listen = Some(value.parse()?),
            "control" => control = Some(value.parse()?),
            "name" => name = Some(value.string()?),
            "count" => count = value.parse()?,
            "threads" => threads = value.parse()?,
            "slots" => targets.slots = value.parse()?,
            "backlog" => targets.backlog = value.parse()?,
            "service-ms" => targets.service_time = value.parse_with(parse_ms)?,
            "probe-ms" => targets.probe_time = value.parse_with(parse_ms)?,
            "connect-ms" => targets.connect_time = value.parse_with(parse_ms)?,
            "connections" => targets.max_connections = value.parse()?,
            "net-delay-ms" => targets.net_delay = value.parse_with(parse_ms)?,
            "cold-ms" => targets.cold_period = value.parse_with(parse_ms)?,
            "cold-factor" => targets.cold_factor = value.parse()?,
            "shift-ms" => shift_range = Some(value.parse_with(parse_range)?),
            "shift-share" => share = value.parse()?,
            "shift-factor" => factor = value.parse()?,
            "seed" => targets.seed = value.parse()?,
            _ => return Err(format!("unknown option --{option}").into()),
        }
    }
    targets.noisy_neighbour = shift_range.map(|(shortest, longest)| NoisyNeighbourOptions {
        shortest,
        longest,
        share,
        factor,
    });
    match (listen, name) {
        (Some(listen), Some(name)) => {
            Ok(Options { listen, control, name, count, threads, targets })
        }
        _ => Err("--listen and --name are required".into()),
    }
}

fn parse_ms(text: &str) -> Result<Duration, lexopt::Error> {
    let ms: f64 = text.parse().map_err(|_| "expected a number of milliseconds")?;
    Duration::try_from_secs_f64(ms / 1_000.0).map_err(|e| e.to_string().into())
}

fn parse_range(text: &str) -> Result<(Duration, Duration), lexopt::Error> {
    let (low, high) = text.split_once('-').ok_or("expected a range LO-HI")?;
    Ok((parse_ms(low)?, parse_ms(high)?))
}
