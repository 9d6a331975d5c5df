//! `azuretally help`.

use super::Result;

/// What the commands are and how they are called.
pub(super) const USAGE: &str = "\
Usage: azuretally [OPTIONS] COMMAND

Commands:
  check FILE...                      Check settings documents, local or published
  help                               Print this

Options:
  --entry ADDR        Administration address of an entry to ask; may stand several times
  --token-file FILE   File that holds the administration token
  --json              Print JSON in place of a table";

/// Prints the usage.
pub(super) fn print() -> Result<()> {
    println!("{USAGE}");
    Ok(())
}
