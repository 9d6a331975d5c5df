//! `azuretally help`

use super::Result;

/// Usage of the command line.
pub(super) const USAGE: &str = "\
Usage: azuretally [OPTIONS] COMMAND

Commands:
  check FILE...                      Check settings documents, local or published
  status                             Show the state of each entry
  watch [--once] [--interval-ms N] [--aim PERCENT]
                                     Show periodically whether the outcomes hold
  preset list [--document FILE]      Show the active preset of each entry and since when it is
                                     active, and the presets of a document
  preset show NAME --document FILE   Show the classes of a preset
  preset use NAME --document FILE    Select a preset in a copy of the published document
  drain HOST                         Start a planned stop of the entry on a host
  explain CALL                       Show the record of a call, by idempotency key or sequence
                                     number
  trace ID LOG...                    Show the log lines of one call from the logs of gateways
  outcomes [--late-ms N] LOG...      Count call outcomes by cause, from the logs of gateways
  metrics                            Print the metrics of each entry
  help                               Print this help

Options:
  --entry ADDR        Administration address of an entry; may be given several times
  --token-file FILE   File with the administration token
  --json              Print JSON instead of a table";

/// Prints the usage of the command line.
pub(super) fn print() -> Result<()> {
    println!("{USAGE}");
    Ok(())
}
