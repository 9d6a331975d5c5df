//! State shared by the request handlers of both APIs, and the check of the administration token.

use crate::{StartError, context::Context};
use dropshot::{ClientErrorStatusCode, HttpError, RequestContext};
use error_stack::{Report, ResultExt};
use hmac::{Hmac, KeyInit, Mac};
use http::header::AUTHORIZATION;
use sha2::Sha256;
use std::{fs, sync::Arc};

/// Block size of SHA-256 in bytes: the longest key that HMAC uses without hashing it first.
const KEY_BYTES: usize = 64;

/// State shared by all request handlers.
#[derive(Debug)]
pub(super) struct App {
    /// Context of the entry process.
    pub(super) context: Arc<Context>,
    token: Option<TokenVerifier>,
}

/// Access that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// Reads only: needs the token if one is configured, unless the administration API listens on
    /// a loopback address.
    Read,
    /// Changes state: needs the token if one is configured.
    Change,
}

impl App {
    /// Loads the administration token if the local settings name a file for it.
    pub(super) fn new(context: &Arc<Context>) -> Result<Self, Report<StartError>> {
        let token = match &context.local.admin_token_file {
            Some(path) => {
                let text = fs::read_to_string(path)
                    .change_context_lazy(|| StartError::ReadFile(path.clone()))?;
                let text = text.trim();
                if text.is_empty() {
                    return Err(Report::new(StartError::EmptyToken(path.clone())));
                }
                Some(TokenVerifier::new(text))
            }
            None => None,
        };
        Ok(Self { context: Arc::clone(context), token })
    }

    /// Rejects a request that needs the token but does not carry it.
    pub(super) fn authorize(
        &self,
        request: &RequestContext<Arc<Self>>,
        access: Access,
    ) -> Result<(), HttpError> {
        let Some(token) = &self.token else { return Ok(()) };
        let is_exempt =
            access == Access::Read && self.context.local.listen.admin.ip().is_loopback();
        let bearer = request.request.headers().get(AUTHORIZATION);
        let bearer = bearer.and_then(|v| v.to_str().ok()).and_then(|v| v.strip_prefix("Bearer "));
        if is_exempt || bearer.is_some_and(|bearer| token.matches(bearer.trim())) {
            return Ok(());
        }
        let message = "the administration token is needed".to_owned();
        let code = Some("no-token".to_owned());
        Err(HttpError::for_client_error(code, ClientErrorStatusCode::UNAUTHORIZED, message))
    }
}

/// Compares tokens with the administration token.
///
/// It holds a MAC of the token under a random key, so that the time of a comparison does not depend
/// on where two tokens differ.
struct TokenVerifier {
    key: [u8; KEY_BYTES],
    mac: Vec<u8>,
}

impl TokenVerifier {
    fn new(token: &str) -> Self {
        let key = rand::random::<[u8; KEY_BYTES]>();
        Self { key, mac: mac(&key, token).finalize().into_bytes().to_vec() }
    }

    fn matches(&self, token: &str) -> bool {
        mac(&self.key, token).verify_slice(&self.mac).is_ok()
    }
}

impl std::fmt::Debug for TokenVerifier {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Token")
    }
}

fn mac(key: &[u8; KEY_BYTES], token: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new(key.into());
    mac.update(token.as_bytes());
    mac
}
