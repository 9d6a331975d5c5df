//! Tokens and the keys that are bound to them.

use crate::Timestamp;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::{error::Error, fmt, sync::Arc, time::Duration};

/// Time for which a token may be used, by the clock of the incarnation that issued it.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(600);

/// Bytes of the MAC that a token carries.
const MAC_BYTES: usize = 16;

/// Names one incarnation of one entry and when it issued the token.
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
    /// The whole key as the caller sent it.
    pub text: Arc<str>,
    /// The token, whose MAC was verified.
    pub token: Token,
}

/// Why an idempotency key is not acceptable.
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
    /// Name on the wire and in records.
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
    /// The text of the token, authenticated with `key`.
    pub fn sign(&self, key: &[u8]) -> String {
        let body = format!("{}.{}.{}", self.host, self.incarnation, self.issued.as_micros());
        let tag = hex::encode(&mac(key, &body).finalize().into_bytes()[..MAC_BYTES]);
        format!("{body}.{tag}")
    }

    /// Reads a token and verifies its MAC.
    ///
    /// # Errors
    ///
    /// [`KeyError::MalformedToken`] or [`KeyError::ForgedToken`].
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

    /// Whether the token may still be used at `now`, by the clock that issued it.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.issued + TOKEN_LIFETIME > now
    }
}

impl IdempotencyKey {
    /// Reads a key of the form `TOKEN/ID` and verifies the token.
    ///
    /// # Errors
    ///
    /// [`KeyError`] when the key cannot be bound to an incarnation.
    pub fn parse(text: &str, key: &[u8]) -> Result<Self, KeyError> {
        let (token, id) = text.split_once('/').ok_or(KeyError::MissingToken)?;
        if id.is_empty() {
            return Err(KeyError::MissingToken);
        }
        let token = Token::verify(token, key)?;
        Ok(Self { text: Arc::from(text), token })
    }
}

fn mac(key: &[u8], body: &str) -> Hmac<Sha256> {
    // HMAC takes keys of every length, so the fallback is never used.
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()));
    mac.update(body.as_bytes());
    mac
}
