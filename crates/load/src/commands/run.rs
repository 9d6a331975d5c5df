//! The command `azuretally-load run`.

use super::{
    block_on, parse_milliseconds, parse_seconds, parse_value, unexpected_argument, usage_error,
};
use crate::{
    core::{LoadError, mix::Mix, schedule::Plan},
    ops::run::{self, RunOptions},
};
use error_stack::{Report, ResultExt};
use lexopt::prelude::Long;
use std::{path::PathBuf, process::ExitCode, time::Duration};

/// Worker threads of the runtime.
const WORKER_THREADS: usize = 2;

pub(super) fn main(mut parser: lexopt::Parser) -> Result<ExitCode, Report<LoadError>> {
    let (mut directions, mut settings, mut mix, mut json) = (Vec::new(), None, None, None);
    let (mut rate, mut duration) = (100.0, Duration::from_secs(10));
    let mut plan = Plan::constant_rate(rate, duration, 1);
    while let Some(arg) = parser.next().change_context(LoadError::InvalidArguments)? {
        match arg {
            Long("directions") => directions.push(parse_value(&mut parser)?),
            Long("settings") => settings = Some(PathBuf::from(parse_value::<String>(&mut parser)?)),
            Long("mix") => mix = Some(Mix::parse_weights(&parse_value::<String>(&mut parser)?)?),
            Long("json") => json = Some(PathBuf::from(parse_value::<String>(&mut parser)?)),
            Long("rate") => rate = parse_value(&mut parser)?,
            Long("seconds") => duration = parse_seconds(&mut parser)?,
            Long("service-ms") => plan.service_time = parse_milliseconds(&mut parser)?,
            Long("seed") => plan.seed = parse_value(&mut parser)?,
            Long("callers") => plan.callers = parse_value(&mut parser)?,
            _ => return Err(unexpected_argument(arg)),
        }
    }
    plan.phases = Plan::constant_rate(rate, duration, plan.seed).phases;
    let (Some(settings), Some(weights)) = (settings, mix) else {
        return Err(usage_error("--settings and --mix are required"));
    };
    if directions.is_empty() {
        return Err(usage_error("--directions is required"));
    }
    let options = RunOptions { directions, settings, weights, plan, json };
    let conserved = block_on(WORKER_THREADS, run::run(&options))?;
    Ok(if conserved { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
