//! `azuretally watch`

use super::{Argument, Result, next_argument, parse_number, unknown_option, usage_error};
use crate::{
    core::Context,
    ops::{self, WatchOptions},
};
use lexopt::Parser;
use std::time::Duration;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut options = WatchOptions::default();
    while let Some(argument) = next_argument(&mut context, &mut parser)? {
        match argument {
            Argument::Option(name) if name == "once" => options.once = true,
            Argument::Option(name) if name == "interval-ms" => {
                options.interval = Duration::from_millis(parse_number(&mut parser)?);
            }
            Argument::Option(name) if name == "aim" => {
                options.aim_percent = parse_number(&mut parser)?
            }
            Argument::Option(name) => return Err(unknown_option(&name)),
            Argument::Value(_) => return Err(usage_error("watch takes no argument")),
        }
    }
    ops::watch(&context, options)
}
