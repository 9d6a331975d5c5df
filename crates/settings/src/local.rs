//! Local settings of one entry process.

use crate::{
    Problem, SettingsError,
    document::{self, Document},
    keys::LOCAL_KEYS,
    validator::Validator,
};
use serde::Deserialize;
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// Accepted values of `log_level`.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Maximum of `call_threads`.
const MAX_CALL_THREADS: usize = 1_024;
/// Maximum of `stop_timeout_ms`: one day.
const MAX_STOP_TIMEOUT_MS: u32 = 24 * 60 * 60 * 1_000;

/// Addresses on which an entry listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for calls over HTTP.
    pub calls: SocketAddr,
    /// Address for callers that ask which entries to use.
    pub directions: SocketAddr,
    /// Address of the administration API and the metrics.
    pub admin: SocketAddr,
    /// Address for messages from the other entries.
    pub peers: SocketAddr,
}

/// Settings that one entry reads from its local file.
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
    /// Peer addresses to contact while no other entry has announced itself.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File with the key that the entries use to authenticate messages and tokens.
    pub peer_key_file: PathBuf,
    /// File with the administration token. Without it, the API must listen on a loopback address.
    #[serde(default)]
    pub admin_token_file: Option<PathBuf>,
    /// Log level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default)]
    pub log_level: Option<String>,
    /// File to which trace spans are appended, one JSON object per line. Tracing is off without it.
    #[serde(default)]
    pub span_file: Option<PathBuf>,
    /// File or pipe to which the audit record is appended, one JSON object per line.
    #[serde(default)]
    pub record_file: Option<PathBuf>,
    /// Number of worker threads that handle calls. Defaults to one per core.
    #[serde(default)]
    pub call_threads: Option<usize>,
    /// Time that the planned stop allows calls in progress to finish, in ms. Defaults to 30 s.
    #[serde(default)]
    pub stop_timeout_ms: Option<u32>,
}

impl LocalSettings {
    /// Parses and checks `text`. `source` names its origin in errors.
    ///
    /// # Errors
    ///
    /// Returns all problems found if the document is refused.
    pub fn parse(source: &str, text: &str) -> Result<Self, SettingsError> {
        document::parse(source, text)
    }
}

impl Document for LocalSettings {
    const KEYS: &'static [&'static str] = LOCAL_KEYS;

    fn problems(&self) -> Vec<Problem> {
        let mut validator = Validator::default();
        validator.host_name("host", &self.host);
        validator.host_name("failure_domain", &self.failure_domain);
        validator.require(!self.platform.is_empty(), "platform", || {
            "at least one address is needed".to_owned()
        });
        let is_allowed = self.admin_token_file.is_some() || self.listen.admin.ip().is_loopback();
        validator.require(is_allowed, "listen.admin", || {
            "without admin_token_file only a loopback address is allowed".to_owned()
        });
        self.check_listen(&mut validator);
        if let Some(level) = &self.log_level {
            validator.require(LOG_LEVELS.contains(&level.as_str()), "log_level", || {
                format!("`{level}` is none of {}", LOG_LEVELS.join(", "))
            });
        }
        if let Some(threads) = self.call_threads {
            validator.require((1..=MAX_CALL_THREADS).contains(&threads), "call_threads", || {
                format!("{threads} is not between 1 and {MAX_CALL_THREADS}")
            });
        }
        if let Some(timeout_ms) = self.stop_timeout_ms {
            validator.count("stop_timeout_ms", timeout_ms, 1, MAX_STOP_TIMEOUT_MS);
        }
        validator.problems
    }
}

impl LocalSettings {
    fn check_listen(&self, validator: &mut Validator) {
        let listen = &self.listen;
        let addresses = [
            ("calls", listen.calls),
            ("directions", listen.directions),
            ("admin", listen.admin),
            ("peers", listen.peers),
        ];
        for (i, (name, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[..i].iter().find(|(_, a)| a == address && a.port() != 0);
            validator.require(duplicate.is_none(), &format!("listen.{name}"), || {
                format!("{address} stands twice")
            });
        }
    }
}
