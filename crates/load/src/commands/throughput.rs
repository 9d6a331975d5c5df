//! `azuretally-load throughput`

use super::{block_on, seconds, unexpected, value};
use crate::{
    core::LoadError,
    ops::throughput::{self, ThroughputOptions},
};
use error_stack::{Report, ResultExt};
use lexopt::prelude::Long;
use std::{process::ExitCode, time::Duration};

/// Worker threads of this tool.
const THREADS: usize = 3;

pub(super) fn main(mut parser: lexopt::Parser) -> Result<ExitCode, Report<LoadError>> {
    let mut options = ThroughputOptions {
        length: Duration::from_secs(4),
        rates: vec![2_500.0, 5_000.0, 10_000.0, 15_000.0, 20_000.0, 25_000.0],
        seed: 1,
        threads: 1,
    };
    while let Some(arg) = parser.next().change_context(LoadError::Usage)? {
        match arg {
            Long("seconds") => options.length = seconds(&mut parser)?,
            Long("rates") => {
                let text: String = value(&mut parser)?;
                let rates: Result<_, _> = text.split(',').map(str::parse).collect();
                options.rates = rates.change_context(LoadError::Usage)?;
            }
            Long("seed") => options.seed = value(&mut parser)?,
            Long("threads") => options.threads = value(&mut parser)?,
            _ => return Err(unexpected(arg)),
        }
    }
    block_on(THREADS, throughput::run(&options))?;
    Ok(ExitCode::SUCCESS)
}
