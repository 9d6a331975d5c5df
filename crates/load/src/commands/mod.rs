//! Command line interface. Each command parses its own arguments and calls [`crate::ops`].

mod demo;
mod experiment;
mod run;
mod throughput;

use crate::core::LoadError;
use error_stack::{Report, ResultExt};
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::{future::Future, process::ExitCode, time::Duration};

const USAGE: &str = "\
Usage: azuretally-load COMMAND [OPTIONS]

Commands:
  run         sends open-loop load to a deployment
  demo        starts a deployment on loopback, sends a mixed load and checks the results
  experiment  runs the variants of an experiment side by side
  throughput  measures one entry against the same load sent directly to the target";

/// Runs the command given on the command line.
///
/// # Errors
///
/// [`LoadError`] if the command line is invalid or the command fails.
pub fn main() -> Result<ExitCode, Report<LoadError>> {
    init_logging()?;
    let mut parser = lexopt::Parser::from_env();
    match parser.next().change_context(LoadError::InvalidArguments)? {
        Some(Value(name)) => {
            match name.string().change_context(LoadError::InvalidArguments)?.as_str() {
                "run" => run::main(parser),
                "demo" => demo::main(parser),
                "experiment" => experiment::main(parser),
                "throughput" => throughput::main(parser),
                name => Err(usage_error(format!("unknown command `{name}`"))),
            }
        }
        Some(Long("help") | Short('h')) => {
            println!("{USAGE}");
            Ok(ExitCode::SUCCESS)
        }
        _ => Err(usage_error("no command given")),
    }
}

fn usage_error(reason: impl Into<String>) -> Report<LoadError> {
    Report::new(LoadError::InvalidArguments).attach(format!("{}\n{USAGE}", reason.into()))
}

fn init_logging() -> Result<(), Report<LoadError>> {
    fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(log::LevelFilter::Warn)
        .chain(std::io::stderr())
        .apply()
        .change_context(LoadError::Runtime)
}

/// Runs `future` to completion on a runtime with `threads` worker threads.
fn block_on<F, T>(threads: usize, future: F) -> Result<T, Report<LoadError>>
where
    F: Future<Output = Result<T, Report<LoadError>>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .change_context(LoadError::Runtime)?;
    runtime.block_on(future)
}

/// Parses the value of the current option.
fn parse_value<T>(parser: &mut lexopt::Parser) -> Result<T, Report<LoadError>>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let value = parser.value().change_context(LoadError::InvalidArguments)?;
    value.parse().change_context(LoadError::InvalidArguments)
}

/// Parses the value of the current option as a duration in seconds.
fn parse_seconds(parser: &mut lexopt::Parser) -> Result<Duration, Report<LoadError>> {
    let seconds: f64 = parse_value(parser)?;
    Duration::try_from_secs_f64(seconds).change_context(LoadError::InvalidArguments)
}

/// Parses the value of the current option as a duration in milliseconds.
fn parse_milliseconds(parser: &mut lexopt::Parser) -> Result<Duration, Report<LoadError>> {
    let ms: f64 = parse_value(parser)?;
    Duration::try_from_secs_f64(ms / 1_000.0).change_context(LoadError::InvalidArguments)
}

fn unexpected_argument(arg: lexopt::Arg<'_>) -> Report<LoadError> {
    usage_error(arg.unexpected().to_string())
}
