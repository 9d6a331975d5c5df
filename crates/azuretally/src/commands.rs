//! Commands: each parses its arguments and calls the operation of its name.

mod check;
mod drain;
mod explain;
mod help;
mod metrics;
mod preset;
mod status;
mod trace;
mod watch;

use crate::core::{CliError, Context, print_error};
use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};
use std::{error::Error, ffi::OsString, process::ExitCode, str::FromStr};

type Result<T> = std::result::Result<T, Report<CliError>>;

/// Runs the command line without the name of the program and prints its status.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    match dispatch(Parser::from_args(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            print_error("error", &report);
            if *report.current_context() == CliError::Usage {
                eprintln!("\n{}", help::USAGE);
            }
            ExitCode::from(report.current_context().exit_code())
        }
    }
}

fn dispatch(mut parser: Parser) -> Result<()> {
    let mut context = Context::default();
    match next(&mut context, &mut parser)? {
        Some(Word::Value(name)) => command(&name.to_string_lossy(), context, parser),
        Some(Word::Option(name)) if matches!(name.as_str(), "h" | "help") => help::print(),
        Some(Word::Option(name)) => Err(unknown(&name)),
        None => help::print(),
    }
}

fn command(name: &str, context: Context, parser: Parser) -> Result<()> {
    match name {
        "check" => check::exec(context, parser),
        "drain" => drain::exec(context, parser),
        "explain" => explain::exec(context, parser),
        "metrics" => metrics::exec(context, parser),
        "preset" => preset::exec(context, parser),
        "outcomes" => trace::outcomes(context, parser),
        "trace" => trace::exec(context, parser),
        "status" => status::exec(context, parser),
        "watch" => watch::exec(context, parser),
        "help" => help::print(),
        name => Err(usage(format!("no command named `{name}`"))),
    }
}

/// One word of a command that is not an option of every command.
enum Word {
    Value(OsString),
    Option(String),
}

/// The next word. Options of every command are taken into the context on the way.
fn next(context: &mut Context, parser: &mut Parser) -> Result<Option<Word>> {
    loop {
        let name = match parser.next().change_context(CliError::Usage)? {
            None => return Ok(None),
            Some(Arg::Value(value)) => return Ok(Some(Word::Value(value))),
            Some(Arg::Long(name)) => name.to_owned(),
            Some(Arg::Short(name)) => name.to_string(),
        };
        match name.as_str() {
            "entry" => {
                context.entries.push(value(parser)?.parse().change_context(CliError::Usage)?)
            }
            "token-file" => context.token_file = Some(value(parser)?.into()),
            "json" => context.json = true,
            _ => return Ok(Some(Word::Option(name))),
        }
    }
}

/// The value of an option.
fn value(parser: &mut Parser) -> Result<OsString> {
    parser.value().change_context(CliError::Usage)
}

fn unknown(option: &str) -> Report<CliError> {
    usage(format!("no option named `{option}`"))
}

/// A fault in the command line, with its cause.
fn usage<C>(cause: C) -> Report<CliError>
where
    C: Into<lexopt::Error>,
{
    Report::new(cause.into()).change_context(CliError::Usage)
}

/// Takes in the rest of a command that has no arguments of its own.
fn finish(context: &mut Context, parser: &mut Parser) -> Result<()> {
    match next(context, parser)? {
        None => Ok(()),
        Some(Word::Option(name)) => Err(unknown(&name)),
        Some(Word::Value(word)) => {
            Err(usage(format!("`{}` is one word too many", word.to_string_lossy())))
        }
    }
}

/// Takes in the rest of a command that has one argument.
fn one_value(context: &mut Context, parser: &mut Parser, need: &str) -> Result<String> {
    match next(context, parser)? {
        Some(Word::Value(word)) => {
            finish(context, parser)?;
            Ok(word.to_string_lossy().into_owned())
        }
        Some(Word::Option(name)) => Err(unknown(&name)),
        None => Err(usage(need)),
    }
}

/// The value of an option, as a number.
fn number<N>(parser: &mut Parser) -> Result<N>
where
    N: FromStr,
    N::Err: Into<Box<dyn Error + Send + Sync + 'static>>,
{
    value(parser)?.parse().change_context(CliError::Usage)
}
