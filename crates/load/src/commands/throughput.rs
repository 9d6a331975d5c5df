//! The command `azuretally-load throughput`.

use super::{block_on, parse_seconds, parse_value, unexpected_argument};
use crate::{
    core::LoadError,
    ops::throughput::{self, ThroughputOptions},
};
use error_stack::{Report, ResultExt};
use lexopt::prelude::Long;
use std::{process::ExitCode, time::Duration};

/// Worker threads of the runtime.
const WORKER_THREADS: usize = 3;

pub(super) fn main(mut parser: lexopt::Parser) -> Result<ExitCode, Report<LoadError>> {
    let mut options = ThroughputOptions {
        duration: Duration::from_secs(4),
        rates: vec![2_500.0, 5_000.0, 10_000.0, 15_000.0, 20_000.0, 25_000.0],
        seed: 1,
        threads: 1,
    };
    while let Some(arg) = parser.next().change_context(LoadError::InvalidArguments)? {
        match arg {
            Long("seconds") => options.duration = parse_seconds(&mut parser)?,
            Long("rates") => {
                let text: String = parse_value(&mut parser)?;
                let rates: Result<_, _> = text.split(',').map(str::parse).collect();
                options.rates = rates.change_context(LoadError::InvalidArguments)?;
            }
            Long("seed") => options.seed = parse_value(&mut parser)?,
            Long("threads") => options.threads = parse_value(&mut parser)?,
            _ => return Err(unexpected_argument(arg)),
        }
    }
    block_on(WORKER_THREADS, throughput::run(&options))?;
    Ok(ExitCode::SUCCESS)
}
