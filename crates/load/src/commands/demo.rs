//! The command `azuretally-load demo`.

use super::{block_on, parse_milliseconds, parse_seconds, parse_value, unexpected_argument};
use crate::{
    core::LoadError,
    ops::demo::{self, DemoOptions},
};
use error_stack::{Report, ResultExt};
use lexopt::prelude::Long;
use std::{process::ExitCode, time::Duration};

/// Worker threads of the runtime.
const WORKER_THREADS: usize = 2;

pub(super) fn main(mut parser: lexopt::Parser) -> Result<ExitCode, Report<LoadError>> {
    let mut options = DemoOptions {
        duration: Duration::from_secs(15),
        rate: 1_200.0,
        service_time: Duration::from_millis(8),
        seed: 1,
    };
    while let Some(arg) = parser.next().change_context(LoadError::InvalidArguments)? {
        match arg {
            Long("seconds") => options.duration = parse_seconds(&mut parser)?,
            Long("rate") => options.rate = parse_value(&mut parser)?,
            Long("service-ms") => options.service_time = parse_milliseconds(&mut parser)?,
            Long("seed") => options.seed = parse_value(&mut parser)?,
            _ => return Err(unexpected_argument(arg)),
        }
    }
    let passed = block_on(WORKER_THREADS, demo::run(&options))?;
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
