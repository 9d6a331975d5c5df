//! `azuretally-load run`

use super::{block_on, milliseconds, seconds, unexpected, usage, value};
use crate::{
    core::{LoadError, mix::Mix, schedule::Plan},
    ops::run::{self, RunOptions},
};
use error_stack::{Report, ResultExt};
use lexopt::prelude::Long;
use std::{path::PathBuf, process::ExitCode, time::Duration};

/// Worker threads of this tool.
const THREADS: usize = 2;

pub(super) fn main(mut parser: lexopt::Parser) -> Result<ExitCode, Report<LoadError>> {
    let (mut directions, mut settings, mut mix, mut json) = (Vec::new(), None, None, None);
    let (mut rate, mut length) = (100.0, Duration::from_secs(10));
    let mut plan = Plan::steady(rate, length, 1);
    while let Some(arg) = parser.next().change_context(LoadError::Usage)? {
        match arg {
            Long("directions") => directions.push(value(&mut parser)?),
            Long("settings") => settings = Some(PathBuf::from(value::<String>(&mut parser)?)),
            Long("mix") => mix = Some(Mix::parse_weights(&value::<String>(&mut parser)?)?),
            Long("json") => json = Some(PathBuf::from(value::<String>(&mut parser)?)),
            Long("rate") => rate = value(&mut parser)?,
            Long("seconds") => length = seconds(&mut parser)?,
            Long("service-ms") => plan.service = milliseconds(&mut parser)?,
            Long("seed") => plan.seed = value(&mut parser)?,
            Long("callers") => plan.callers = value(&mut parser)?,
            _ => return Err(unexpected(arg)),
        }
    }
    plan.phases = Plan::steady(rate, length, plan.seed).phases;
    let (Some(settings), Some(weights)) = (settings, mix) else {
        return Err(usage("--settings and --mix are needed"));
    };
    if directions.is_empty() {
        return Err(usage("--directions is needed"));
    }
    let options = RunOptions { directions, settings, weights, plan, json };
    let conserved = block_on(THREADS, run::run(&options))?;
    Ok(if conserved { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
