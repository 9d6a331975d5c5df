//! `azuretally-load experiment`

use super::{block_on, unexpected, usage, value};
use crate::{
    core::LoadError,
    ops::experiment::{self, ExperimentOptions},
};
use error_stack::{Report, ResultExt};
use lexopt::prelude::{Long, Value, ValueExt};
use std::{path::PathBuf, process::ExitCode};

/// Worker threads of this tool.
const THREADS: usize = 2;
/// Folder of the experiments that are known by name.
const FOLDER: &str = "experiments";

pub(super) fn main(mut parser: lexopt::Parser) -> Result<ExitCode, Report<LoadError>> {
    let (mut file, mut out, mut only) = (None, None, Vec::new());
    while let Some(arg) = parser.next().change_context(LoadError::Usage)? {
        match arg {
            Value(name) if file.is_none() => {
                file = Some(find(&name.string().change_context(LoadError::Usage)?));
            }
            Long("out") => out = Some(PathBuf::from(value::<String>(&mut parser)?)),
            Long("only") => only.push(value(&mut parser)?),
            _ => return Err(unexpected(arg)),
        }
    }
    let file = file.ok_or_else(|| usage("the name or file of an experiment is needed"))?;
    block_on(THREADS, experiment::run(&ExperimentOptions { file, out, only }))?;
    Ok(ExitCode::SUCCESS)
}

fn find(name: &str) -> PathBuf {
    let path = PathBuf::from(name);
    if path.extension().is_some() {
        return path;
    }
    PathBuf::from(FOLDER).join(name).with_extension("toml")
}
