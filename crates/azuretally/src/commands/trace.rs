//! `azuretally trace ID LOG...` and `azuretally outcomes [--late-ms N] LOG...`

use super::{Argument, Result, next_argument, parse_number, unknown_option, usage_error};
use crate::{core::Context, ops};
use lexopt::Parser;
use std::path::PathBuf;

/// Default of `--late-ms`: response time above which an answered call counts as late.
const DEFAULT_LATE_MS: u64 = 1_000;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut arguments = Vec::new();
    while let Some(argument) = next_argument(&mut context, &mut parser)? {
        match argument {
            Argument::Value(argument) => arguments.push(argument),
            Argument::Option(name) => return Err(unknown_option(&name)),
        }
    }
    let mut arguments = arguments.into_iter();
    let Some(id) = arguments.next() else { return Err(usage_error("trace requires an ID")) };
    let logs: Vec<PathBuf> = arguments.map(PathBuf::from).collect();
    if logs.is_empty() {
        return Err(usage_error("trace requires at least one LOG"));
    }
    ops::trace(&id.to_string_lossy(), &logs)
}

pub(super) fn outcomes(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut logs = Vec::new();
    let mut late_ms = DEFAULT_LATE_MS;
    while let Some(argument) = next_argument(&mut context, &mut parser)? {
        match argument {
            Argument::Value(file) => logs.push(PathBuf::from(file)),
            Argument::Option(name) if name == "late-ms" => late_ms = parse_number(&mut parser)?,
            Argument::Option(name) => return Err(unknown_option(&name)),
        }
    }
    if logs.is_empty() {
        return Err(usage_error("outcomes requires at least one LOG"));
    }
    ops::outcomes(&context, late_ms, &logs)
}
