//! Command-line arguments.

use lexopt::{
    Parser, ValueExt,
    prelude::{Long, Short, Value},
};
use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

/// Help text.
pub(crate) const USAGE: &str = "\
Usage: azuretally-audit [OPTIONS] [FILE...]

Verifies audit records read from files and entries and reports the line of each breach.

Options:
  --entry ADDR        Administration address of an entry to read; repeatable
  --token-file FILE   File with the administration token
  --runs FILE         Runs counted by a target, {\"runs\": {\"KEY\": COUNT}}; repeatable
  --complete          Report a record without its last line as a breach";

/// Parsed command-line arguments.
#[derive(Clone, Debug, Default)]
pub(crate) struct Args {
    pub(crate) files: Vec<PathBuf>,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) token_file: Option<PathBuf>,
    pub(crate) runs: Vec<PathBuf>,
    pub(crate) complete: bool,
}

impl Args {
    /// Parses the arguments; returns `None` if help was requested.
    pub(crate) fn parse<I>(args: I) -> Result<Option<Self>, lexopt::Error>
    where
        I: IntoIterator<Item = OsString>,
    {
        let mut parser = Parser::from_args(args);
        let mut args = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Value(file) => args.files.push(file.into()),
                Long("entry") => args.entries.push(parser.value()?.parse()?),
                Long("token-file") => args.token_file = Some(parser.value()?.into()),
                Long("runs") => args.runs.push(parser.value()?.into()),
                Long("complete") => args.complete = true,
                Long("help") | Short('h') => return Ok(None),
                arg => return Err(arg.unexpected()),
            }
        }
        if args.files.is_empty() && args.entries.is_empty() {
            return Err("at least one FILE or --entry is required".into());
        }
        Ok(Some(args))
    }
}
