//! `azuretally preset list|show|use`

use super::{Result, Word, next, unknown, usage, value};
use crate::{core::Context, ops};
use lexopt::Parser;
use std::path::PathBuf;

const NEEDS: &str = "preset needs `list`, `show NAME` or `use NAME`";

pub(super) fn exec(mut context: Context, mut parser: Parser) -> Result<()> {
    let mut words = Vec::new();
    let mut document: Option<PathBuf> = None;
    while let Some(word) = next(&mut context, &mut parser)? {
        match word {
            Word::Value(word) => words.push(word.to_string_lossy().into_owned()),
            Word::Option(name) if name == "document" => {
                document = Some(value(&mut parser)?.into());
            }
            Word::Option(name) => return Err(unknown(&name)),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match (words.as_slice(), &document) {
        (["list"], document) => ops::preset_list(&context, document.as_deref()),
        (["show", name], Some(document)) => ops::preset_show(name, document),
        (["use", name], Some(document)) => ops::preset_use(name, document),
        (["show" | "use", _], None) => Err(usage("--document FILE is needed")),
        _ => Err(usage(NEEDS)),
    }
}
