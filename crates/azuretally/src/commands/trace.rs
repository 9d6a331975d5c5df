//! `azuretally trace ID LOG...` and `azuretally outcomes [--late-ms N] LOG...`

use super::{Result, Word, next, number, unknown, usage};
use crate::{core::Context, ops};
use lexopt::Parser;
use std::path::PathBuf;

/// Time after which an answer counts as late unless `--late-ms` says otherwise.
const LATE_MS: u64 = 1_000;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut words = Vec::new();
    while let Some(word) = next(&mut context, &mut parser)? {
        match word {
            Word::Value(word) => words.push(word),
            Word::Option(name) => return Err(unknown(&name)),
        }
    }
    let mut words = words.into_iter();
    let Some(id) = words.next() else { return Err(usage("trace needs the ID of a call")) };
    let logs: Vec<PathBuf> = words.map(PathBuf::from).collect();
    if logs.is_empty() {
        return Err(usage("trace needs at least one LOG"));
    }
    ops::trace(&id.to_string_lossy(), &logs)
}

pub(super) fn outcomes(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut logs = Vec::new();
    let mut late_ms = LATE_MS;
    while let Some(word) = next(&mut context, &mut parser)? {
        match word {
            Word::Value(file) => logs.push(PathBuf::from(file)),
            Word::Option(name) if name == "late-ms" => late_ms = number(&mut parser)?,
            Word::Option(name) => return Err(unknown(&name)),
        }
    }
    if logs.is_empty() {
        return Err(usage("outcomes needs at least one LOG"));
    }
    ops::outcomes(&context, late_ms, &logs)
}
