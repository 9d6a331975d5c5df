//! The `azuretally-audit` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    azuretally_audit::run(std::env::args_os().skip(1))
}
