//! `azuretally check FILE...`

use super::{Argument, Result, next_argument, unknown_option, usage_error};
use crate::{core::Context, ops};
use lexopt::Parser;
use std::path::PathBuf;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut files = Vec::new();
    while let Some(argument) = next_argument(&mut context, &mut parser)? {
        match argument {
            Argument::Value(file) => files.push(PathBuf::from(file)),
            Argument::Option(name) => return Err(unknown_option(&name)),
        }
    }
    if files.is_empty() {
        return Err(usage_error("check requires at least one FILE"));
    }
    ops::check(&files)
}
