//! The local settings of one entry process.

use crate::{
    Problem, SettingsError,
    document::{self, Document},
    keys::LOCAL_KEYS,
    rules::Rules,
};
use serde::Deserialize;
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
const CALL_THREADS_MAX: usize = 1_024;

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
    /// File or pipe to which the audit record is appended, one JSON object a line.
    #[serde(default)]
    pub record_file: Option<PathBuf>,
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
        document::parse(source, text)
    }
}

impl Document for LocalSettings {
    const KEYS: &'static [&'static str] = LOCAL_KEYS;

    fn problems(&self) -> Vec<Problem> {
        let mut rules = Rules::default();
        rules.host_name("host", &self.host);
        rules.host_name("failure_domain", &self.failure_domain);
        rules.need(!self.platform.is_empty(), "platform", || {
            "at least one address is needed".to_owned()
        });
        let bound = self.admin_token_file.is_some() || self.listen.admin.ip().is_loopback();
        rules.need(bound, "listen.admin", || {
            "without admin_token_file only a loopback address is allowed".to_owned()
        });
        self.check_listen(&mut rules);
        if let Some(level) = &self.log_level {
            rules.need(LOG_LEVELS.contains(&level.as_str()), "log_level", || {
                format!("`{level}` is none of {}", LOG_LEVELS.join(", "))
            });
        }
        if let Some(threads) = self.call_threads {
            rules.need((1..=CALL_THREADS_MAX).contains(&threads), "call_threads", || {
                format!("{threads} is not between 1 and {CALL_THREADS_MAX}")
            });
        }
        rules.found
    }
}

impl LocalSettings {
    fn check_listen(&self, rules: &mut Rules) {
        let listen = &self.listen;
        let addresses = [
            ("calls", listen.calls),
            ("directions", listen.directions),
            ("admin", listen.admin),
            ("peers", listen.peers),
        ];
        for (i, (name, address)) in addresses.iter().enumerate() {
            let same = addresses[..i].iter().find(|(_, a)| a == address && a.port() != 0);
            rules.need(same.is_none(), &format!("listen.{name}"), || {
                format!("{address} stands twice")
            });
        }
    }
}
