//! `azuretally watch`

use super::{Result, Word, next, number, unknown, usage};
use crate::{
    core::Context,
    ops::{self, WatchOptions},
};
use lexopt::Parser;
use std::time::Duration;

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut options = WatchOptions::default();
    while let Some(word) = next(&mut context, &mut parser)? {
        match word {
            Word::Option(name) if name == "once" => options.once = true,
            Word::Option(name) if name == "interval-ms" => {
                options.interval = Duration::from_millis(number(&mut parser)?);
            }
            Word::Option(name) if name == "aim" => options.aim_percent = number(&mut parser)?,
            Word::Option(name) => return Err(unknown(&name)),
            Word::Value(_) => return Err(usage("watch takes no argument")),
        }
    }
    ops::watch(&context, options)
}
