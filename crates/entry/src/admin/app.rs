//! What the handlers of both interfaces are given.

use crate::{StartError, context::Context};
use dropshot::{ClientErrorStatusCode, HttpError, RequestContext};
use error_stack::{Report, ResultExt};
use hmac::{Hmac, KeyInit, Mac};
use http::header::AUTHORIZATION;
use sha2::Sha256;
use std::{fs, sync::Arc};

/// Length of a block of SHA-256, which is the longest key that HMAC takes as it is.
const KEY_BYTES: usize = 64;

/// Shared by all handlers.
#[derive(Debug)]
pub(super) struct App {
    /// The context of the entry.
    pub(super) context: Arc<Context>,
    token: Option<Token>,
}

/// What a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// Reads alone: free to all who reach a loopback address.
    Read,
    /// Changes something: needs the token wherever there is one.
    Change,
}

impl App {
    /// Reads the administration token, if there is one.
    pub(super) fn new(context: &Arc<Context>) -> Result<Self, Report<StartError>> {
        let token = match &context.local.admin_token_file {
            Some(path) => {
                let text = fs::read_to_string(path)
                    .change_context_lazy(|| StartError::ReadFile(path.clone()))?;
                let text = text.trim();
                if text.is_empty() {
                    return Err(Report::new(StartError::EmptyToken(path.clone())));
                }
                Some(Token::new(text))
            }
            None => None,
        };
        Ok(Self { context: Arc::clone(context), token })
    }

    /// Refuses a request that needs the token and does not carry it.
    pub(super) fn check(
        &self,
        request: &RequestContext<Arc<Self>>,
        access: Access,
    ) -> Result<(), HttpError> {
        let Some(token) = &self.token else { return Ok(()) };
        let open = access == Access::Read && self.context.local.listen.admin.ip().is_loopback();
        let given = request.request.headers().get(AUTHORIZATION);
        let given = given.and_then(|v| v.to_str().ok()).and_then(|v| v.strip_prefix("Bearer "));
        if open || given.is_some_and(|given| token.fits(given.trim())) {
            return Ok(());
        }
        let message = "the administration token is needed".to_owned();
        let code = Some("no-token".to_owned());
        Err(HttpError::for_client_error(code, ClientErrorStatusCode::UNAUTHORIZED, message))
    }
}

/// The administration token, kept as a MAC under a random key so that the comparison takes the
/// same time wherever two tokens differ.
struct Token {
    key: [u8; KEY_BYTES],
    mac: Vec<u8>,
}

impl Token {
    fn new(token: &str) -> Self {
        let key = rand::random::<[u8; KEY_BYTES]>();
        Self { key, mac: mac(&key, token).finalize().into_bytes().to_vec() }
    }

    fn fits(&self, given: &str) -> bool {
        mac(&self.key, given).verify_slice(&self.mac).is_ok()
    }
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Token")
    }
}

fn mac(key: &[u8; KEY_BYTES], token: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new(key.into());
    mac.update(token.as_bytes());
    mac
}
