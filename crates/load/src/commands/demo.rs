//! `azuretally-load demo`

use super::{block_on, milliseconds, seconds, unexpected, value};
use crate::{
    core::LoadError,
    ops::demo::{self, DemoOptions},
};
use error_stack::{Report, ResultExt};
use lexopt::prelude::Long;
use std::{process::ExitCode, time::Duration};

/// Worker threads of this tool.
const THREADS: usize = 2;

pub(super) fn main(mut parser: lexopt::Parser) -> Result<ExitCode, Report<LoadError>> {
    let mut options = DemoOptions {
        length: Duration::from_secs(15),
        rate: 1_200.0,
        service: Duration::from_millis(8),
        seed: 1,
    };
    while let Some(arg) = parser.next().change_context(LoadError::Usage)? {
        match arg {
            Long("seconds") => options.length = seconds(&mut parser)?,
            Long("rate") => options.rate = value(&mut parser)?,
            Long("service-ms") => options.service = milliseconds(&mut parser)?,
            Long("seed") => options.seed = value(&mut parser)?,
            _ => return Err(unexpected(arg)),
        }
    }
    let holds = block_on(THREADS, demo::run(&options))?;
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
