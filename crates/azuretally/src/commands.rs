//! Commands. Each parses its arguments and calls the operation of the same name.

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

/// Runs the command line `args`, given without the program name. Prints errors and returns the exit
/// code.
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
    match next_argument(&mut context, &mut parser)? {
        Some(Argument::Value(name)) => run_command(&name.to_string_lossy(), context, parser),
        Some(Argument::Option(name)) if matches!(name.as_str(), "h" | "help") => help::print(),
        Some(Argument::Option(name)) => Err(unknown_option(&name)),
        None => help::print(),
    }
}

fn run_command(name: &str, context: Context, parser: Parser) -> Result<()> {
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
        name => Err(usage_error(format!("no command named `{name}`"))),
    }
}

/// A command-line argument, except the options that all commands share.
enum Argument {
    /// Positional argument.
    Value(OsString),
    /// Name of an option, without dashes.
    Option(String),
}

/// Returns the next argument. Options that all commands share are stored in the context.
fn next_argument(context: &mut Context, parser: &mut Parser) -> Result<Option<Argument>> {
    loop {
        let name = match parser.next().change_context(CliError::Usage)? {
            None => return Ok(None),
            Some(Arg::Value(value)) => return Ok(Some(Argument::Value(value))),
            Some(Arg::Long(name)) => name.to_owned(),
            Some(Arg::Short(name)) => name.to_string(),
        };
        match name.as_str() {
            "entry" => {
                context.entries.push(option_value(parser)?.parse().change_context(CliError::Usage)?)
            }
            "token-file" => context.token_file = Some(option_value(parser)?.into()),
            "json" => context.json = true,
            _ => return Ok(Some(Argument::Option(name))),
        }
    }
}

/// Returns the value of an option.
fn option_value(parser: &mut Parser) -> Result<OsString> {
    parser.value().change_context(CliError::Usage)
}

fn unknown_option(option: &str) -> Report<CliError> {
    usage_error(format!("no option named `{option}`"))
}

/// Returns an error for an invalid command line, with its cause.
fn usage_error<C>(cause: C) -> Report<CliError>
where
    C: Into<lexopt::Error>,
{
    Report::new(cause.into()).change_context(CliError::Usage)
}

/// Parses the remaining shared options and requires that no other argument follows.
fn expect_end(context: &mut Context, parser: &mut Parser) -> Result<()> {
    match next_argument(context, parser)? {
        None => Ok(()),
        Some(Argument::Option(name)) => Err(unknown_option(&name)),
        Some(Argument::Value(value)) => {
            Err(usage_error(format!("unexpected argument `{}`", value.to_string_lossy())))
        }
    }
}

/// Parses the rest of a command that takes exactly one argument. `message` is the error if it is
/// missing.
fn single_argument(context: &mut Context, parser: &mut Parser, message: &str) -> Result<String> {
    match next_argument(context, parser)? {
        Some(Argument::Value(value)) => {
            expect_end(context, parser)?;
            Ok(value.to_string_lossy().into_owned())
        }
        Some(Argument::Option(name)) => Err(unknown_option(&name)),
        None => Err(usage_error(message)),
    }
}

/// Returns the value of an option as a number.
fn parse_number<N>(parser: &mut Parser) -> Result<N>
where
    N: FromStr,
    N::Err: Into<Box<dyn Error + Send + Sync + 'static>>,
{
    option_value(parser)?.parse().change_context(CliError::Usage)
}
