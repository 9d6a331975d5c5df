//! Commands: each parses its arguments and calls the operation of its name.

mod check;
mod help;

use crate::core::{CliError, Context};
use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};
use std::{ffi::OsString, process::ExitCode};

type Result<T> = std::result::Result<T, Report<CliError>>;

/// Runs the command line without the name of the program and prints its status.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    match dispatch(Parser::from_args(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            print_error(&report);
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
fn usage(cause: impl Into<lexopt::Error>) -> Report<CliError> {
    Report::new(cause.into()).change_context(CliError::Usage)
}

/// Prints the error and its causes, one a line.
fn print_error(report: &Report<CliError>) {
    eprintln!("error: {}", report.current_context());
    let mut causes: Vec<String> = report.frames().filter_map(cause).collect();
    causes.dedup();
    for cause in causes.iter().skip(1) {
        eprintln!("  cause: {cause}");
    }
    if *report.current_context() == CliError::Usage {
        eprintln!("\n{}", help::USAGE);
    }
}

fn cause(frame: &error_stack::Frame) -> Option<String> {
    match frame.kind() {
        error_stack::FrameKind::Context(context) => Some(context.to_string()),
        error_stack::FrameKind::Attachment(_) => None,
    }
}
