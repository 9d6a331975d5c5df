//! `azuretally help`.

use super::Result;

/// What the commands are and how they are called.
pub(super) const USAGE: &str = "\
Usage: azuretally [OPTIONS] COMMAND

Commands:
  check FILE...                      Check settings documents, local or published
  status                             Show the state of each entry
  watch [--once] [--interval-ms N] [--aim PERCENT]
                                     Show whether the outcomes hold, again and again
  preset list [--document FILE]      Show which preset is in force where and since when, and
                                     which presets a document has
  preset show NAME --document FILE   Show the classes of a preset
  preset use NAME --document FILE    Put a preset in force in a copy of the published document
  drain HOST                         Ask the entry on a host for the planned stop
  explain CALL                       Tell what became of a call, by idempotency key or sequence
                                     number
  trace ID LOG...                    Tell the life of one call from the logs of gateways
  outcomes [--late-ms N] LOG...      Count how calls ended, by cause, from the logs of gateways
  metrics                            Print the metrics of each entry
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
