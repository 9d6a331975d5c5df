//! The command `azuretally-load experiment`.

use super::{block_on, parse_value, unexpected_argument, usage_error};
use crate::{
    core::LoadError,
    ops::experiment::{self, ExperimentOptions},
};
use error_stack::{Report, ResultExt};
use lexopt::prelude::{Long, Value, ValueExt};
use std::{path::PathBuf, process::ExitCode};

/// Worker threads of the runtime.
const WORKER_THREADS: usize = 2;
/// Directory of the experiments that can be given by name.
const EXPERIMENTS_DIR: &str = "experiments";

pub(super) fn main(mut parser: lexopt::Parser) -> Result<ExitCode, Report<LoadError>> {
    let (mut file, mut out, mut only) = (None, None, Vec::new());
    while let Some(arg) = parser.next().change_context(LoadError::InvalidArguments)? {
        match arg {
            Value(name) if file.is_none() => {
                file =
                    Some(resolve_file(&name.string().change_context(LoadError::InvalidArguments)?));
            }
            Long("out") => out = Some(PathBuf::from(parse_value::<String>(&mut parser)?)),
            Long("only") => only.push(parse_value(&mut parser)?),
            _ => return Err(unexpected_argument(arg)),
        }
    }
    let file = file.ok_or_else(|| usage_error("missing name or file of an experiment"))?;
    block_on(WORKER_THREADS, experiment::run(&ExperimentOptions { file, out, only }))?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the path of an experiment that is given by name or by file.
fn resolve_file(name: &str) -> PathBuf {
    let path = PathBuf::from(name);
    if path.extension().is_some() {
        return path;
    }
    PathBuf::from(EXPERIMENTS_DIR).join(name).with_extension("toml")
}
