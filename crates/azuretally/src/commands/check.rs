//! `azuretally check FILE...`

use super::{Result, Word, next, unknown, usage};
use crate::{core::Context, ops};
use lexopt::Parser;
use std::path::PathBuf;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut files = Vec::new();
    while let Some(word) = next(&mut context, &mut parser)? {
        match word {
            Word::Value(file) => files.push(PathBuf::from(file)),
            Word::Option(name) => return Err(unknown(&name)),
        }
    }
    if files.is_empty() {
        return Err(usage("check needs at least one FILE"));
    }
    ops::check(&files)
}
