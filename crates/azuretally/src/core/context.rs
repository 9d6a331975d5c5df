//! Options that all commands share.

use std::{net::SocketAddr, path::PathBuf};

/// Options that may precede or follow the name of any command.
#[derive(Clone, Debug, Default)]
pub struct Context {
    /// Administration addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// File with the administration token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}
