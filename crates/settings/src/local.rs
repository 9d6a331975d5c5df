//! The local settings of one entry process.

use crate::{Problem, SettingsError};
use serde::Deserialize;
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// Addresses on which an entry listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP calls.
    pub calls: SocketAddr,
    /// Callers that ask which entry to use.
    pub directions: SocketAddr,
    /// Administration API and metrics.
    pub admin: SocketAddr,
    /// Messages from the other entries.
    pub peers: SocketAddr,
}

/// What one entry learns from its own file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalSettings {
    /// Name of the host, unique in the deployment.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Listening addresses.
    pub listen: Listen,
    /// Addresses of the platform's configuration service, tried in turn.
    pub platform: Vec<SocketAddr>,
    /// Peer addresses asked at start when the platform is silent.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File that holds the key with which the entries authenticate messages and tokens.
    pub peer_key_file: PathBuf,
    /// File that holds the administration token. Without it the API binds to loopback alone.
    #[serde(default)]
    pub admin_token_file: Option<PathBuf>,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default)]
    pub log_level: Option<String>,
    /// File to which spans are appended, one JSON object a line. No tracing without it.
    #[serde(default)]
    pub span_file: Option<PathBuf>,
    /// Worker threads of the request path, all cores without it.
    #[serde(default)]
    pub call_threads: Option<usize>,
}

impl LocalSettings {
    /// Parses and checks `text`, which came from `source`.
    ///
    /// # Errors
    ///
    /// Every problem found, when the document is not accepted.
    pub fn parse(source: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|e| SettingsError::syntax(source, text, &e))?;
        let problems = settings.problems();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { source: source.to_owned(), problems })
        }
    }

    fn problems(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        if self.platform.is_empty() {
            found.push(Problem::new("platform", "at least one address is needed"));
        }
        if self.admin_token_file.is_none() && !self.listen.admin.ip().is_loopback() {
            found.push(Problem::new(
                "listen.admin",
                "without admin_token_file only a loopback address is allowed",
            ));
        }
        found
    }
}
