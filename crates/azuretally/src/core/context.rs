//! What every command is given.

use std::{net::SocketAddr, path::PathBuf};

/// Options that stand before or after the name of any command.
#[derive(Clone, Debug, Default)]
pub struct Context {
    /// Administration addresses of the entries to ask.
    pub entries: Vec<SocketAddr>,
    /// File that holds the administration token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON in place of tables.
    pub json: bool,
}
