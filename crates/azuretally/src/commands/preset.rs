//! `azuretally preset list|show|use`

use super::{Argument, Result, next_argument, option_value, unknown_option, usage_error};
use crate::{core::Context, ops};
use lexopt::Parser;
use std::path::PathBuf;

const INVALID_ARGUMENTS: &str = "preset requires `list`, `show NAME` or `use NAME`";

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut arguments = Vec::new();
    let mut document: Option<PathBuf> = None;
    while let Some(argument) = next_argument(&mut context, &mut parser)? {
        match argument {
            Argument::Value(argument) => arguments.push(argument.to_string_lossy().into_owned()),
            Argument::Option(name) if name == "document" => {
                document = Some(option_value(&mut parser)?.into());
            }
            Argument::Option(name) => return Err(unknown_option(&name)),
        }
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match (arguments.as_slice(), &document) {
        (["list"], document) => ops::preset_list(&context, document.as_deref()),
        (["show", name], Some(document)) => ops::preset_show(name, document),
        (["use", name], Some(document)) => ops::preset_use(name, document),
        (["show" | "use", _], None) => Err(usage_error("--document FILE is required")),
        _ => Err(usage_error(INVALID_ARGUMENTS)),
    }
}
