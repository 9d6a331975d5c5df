//! Tokens and the idempotency keys that begin with them.

use crate::Timestamp;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::{error::Error, fmt, sync::Arc, time::Duration};

/// Time for which a token is valid, by the clock of the incarnation that issued it.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(600);

/// Length of the truncated MAC in a token, in bytes.
const MAC_BYTES: usize = 16;

/// Names the incarnation of the entry that issued the token, and the time of issue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Token {
    /// Host name of the entry.
    pub host: Arc<str>,
    /// Nonce of the incarnation, in lower-case hex.
    pub incarnation: Arc<str>,
    /// Time of issue by the clock of the incarnation.
    pub issued: Timestamp,
}

/// An idempotency key that begins with a token: `TOKEN/ID`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The complete key as sent by the caller.
    pub text: Arc<str>,
    /// The token of the key, with a verified MAC.
    pub token: Token,
}

/// Reason to reject an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyError {
    /// The key is not of the form `TOKEN/ID`.
    MissingToken,
    /// The token is malformed.
    MalformedToken,
    /// The MAC of the token does not match.
    ForgedToken,
}

impl KeyError {
    /// Returns the name used in responses and records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MissingToken => "key-without-token",
            Self::MalformedToken => "token-malformed",
            Self::ForgedToken => "token-forged",
        }
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MissingToken => {
                "Idempotency-Key must be TOKEN/ID, with the token that came with the entry's \
                 address and an identifier chosen by the caller"
            }
            Self::MalformedToken => "the token in Idempotency-Key is malformed",
            Self::ForgedToken => "the token in Idempotency-Key was not issued by this deployment",
        })
    }
}

impl Error for KeyError {}

impl Token {
    /// Returns the text of the token, with a MAC made with `key`.
    pub fn sign(&self, key: &[u8]) -> String {
        let body = format!("{}.{}.{}", self.host, self.incarnation, self.issued.as_micros());
        let tag = hex::encode(&mac(key, &body).finalize().into_bytes()[..MAC_BYTES]);
        format!("{body}.{tag}")
    }

    /// Parses a token and verifies its MAC with `key`. Does not check whether it has expired.
    ///
    /// # Errors
    ///
    /// [`KeyError::MalformedToken`] if the text is not a token, [`KeyError::ForgedToken`] if its
    /// MAC does not match.
    pub fn verify(text: &str, key: &[u8]) -> Result<Self, KeyError> {
        let (body, tag) = text.rsplit_once('.').ok_or(KeyError::MalformedToken)?;
        let tag = hex::decode(tag).map_err(|_| KeyError::MalformedToken)?;
        if tag.len() != MAC_BYTES {
            return Err(KeyError::MalformedToken);
        }
        mac(key, body).verify_truncated_left(&tag).map_err(|_| KeyError::ForgedToken)?;
        let (rest, issued) = body.rsplit_once('.').ok_or(KeyError::MalformedToken)?;
        let (host, incarnation) = rest.rsplit_once('.').ok_or(KeyError::MalformedToken)?;
        let issued = issued.parse().map_err(|_| KeyError::MalformedToken)?;
        Ok(Self {
            host: Arc::from(host),
            incarnation: Arc::from(incarnation),
            issued: Timestamp::from_micros(issued),
        })
    }

    /// Returns whether the token is valid at `now`, by the clock of the issuing incarnation.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.issued + TOKEN_LIFETIME > now
    }
}

impl IdempotencyKey {
    /// Parses a key of the form `TOKEN/ID` and verifies the token with `key`.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the text has another form or [`Token::verify`] rejects the token.
    pub fn parse(text: &str, key: &[u8]) -> Result<Self, KeyError> {
        let (token, id) = text.split_once('/').ok_or(KeyError::MissingToken)?;
        if id.is_empty() {
            return Err(KeyError::MissingToken);
        }
        let token = Token::verify(token, key)?;
        Ok(Self { text: Arc::from(text), token })
    }
}

/// Returns the MAC state for the body of a token.
fn mac(key: &[u8], body: &str) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so the fallback is never used.
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()));
    mac.update(body.as_bytes());
    mac
}
