//! Codec and authentication of messages between entries.
//!
//! A message is its postcard encoding followed by an HMAC-SHA256 tag, truncated to 128 bits. A
//! receiver takes each sequence number of a process once, so that a recorded message cannot be
//! played again.

use super::message::{Body, Header};
use hmac::{Hmac, KeyInit, Mac};
use indexmap::IndexMap;
use sha2::Sha256;
use std::{error::Error, fmt, sync::Arc};

/// Longest message, in bytes. Values of the platform have up to a megabyte.
pub const MAX_MESSAGE_BYTES: usize = 1_200_000;

const TAG_BYTES: usize = 16;
const MAC_DOMAIN: &[u8] = b"azuretally peer message 1";
const REPLAY_WINDOW_BITS: u64 = 128;

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// The tag does not fit the key.
    Forged,
    /// The encoding is not that of a message.
    Malformed,
    /// Meant for another entry.
    Misdirected,
    /// The sequence number was seen before or is too old.
    Replayed,
    /// Sent by an earlier process of the host than one that was heard already.
    Superseded,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the message is too long",
            Self::Forged => "the tag does not fit the key",
            Self::Malformed => "the encoding is malformed",
            Self::Misdirected => "the message is meant for another entry",
            Self::Replayed => "the sequence number was seen before",
            Self::Superseded => "a later process of the host was heard already",
        })
    }
}

impl Error for MessageError {}

/// Encodes and authenticates a message.
///
/// # Errors
///
/// [`MessageError::TooLong`] or [`MessageError::Malformed`] when it cannot be encoded.
pub fn seal(key: &[u8], header: &Header, body: &Body) -> Result<Vec<u8>, MessageError> {
    let mut bytes = postcard::to_stdvec(&(header, body)).map_err(|_| MessageError::Malformed)?;
    if bytes.len() + TAG_BYTES > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong);
    }
    let tag = mac(key, &bytes)?.finalize().into_bytes();
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    Ok(bytes)
}

/// Checks and decodes a message.
///
/// # Errors
///
/// [`MessageError`] when the message is to be dropped.
pub fn open(key: &[u8], bytes: &[u8]) -> Result<(Header, Body), MessageError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong);
    }
    let content_len = bytes.len().checked_sub(TAG_BYTES).ok_or(MessageError::Malformed)?;
    let (content, tag) = bytes.split_at(content_len);
    mac(key, content)?.verify_truncated_left(tag).map_err(|_| MessageError::Forged)?;
    postcard::from_bytes(content).map_err(|_| MessageError::Malformed)
}

fn mac(key: &[u8], content: &[u8]) -> Result<Hmac<Sha256>, MessageError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_| MessageError::Forged)?;
    mac.update(MAC_DOMAIN);
    mac.update(content);
    Ok(mac)
}

/// Remembers which sequence numbers of which process were seen.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    windows: IndexMap<Arc<str>, Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    generation: u64,
    highest: u64,
    seen: u128,
}

impl ReplayGuard {
    /// Takes the message's place in the sender's order.
    ///
    /// # Errors
    ///
    /// [`MessageError::Replayed`] or [`MessageError::Superseded`] when it must be dropped.
    pub fn admit(&mut self, header: &Header) -> Result<(), MessageError> {
        let initial = Window { generation: header.generation, highest: header.sequence, seen: 1 };
        let Some(window) = self.windows.get_mut(&header.from) else {
            self.windows.insert(Arc::clone(&header.from), initial);
            return Ok(());
        };
        if header.generation < window.generation {
            return Err(MessageError::Superseded);
        }
        if header.generation > window.generation {
            *window = initial;
            return Ok(());
        }
        window.admit(header.sequence)
    }

    /// Forgets hosts for which `keep` is false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&str) -> bool,
    {
        self.windows.retain(|host, _| keep(host));
    }
}

impl Window {
    fn admit(&mut self, sequence: u64) -> Result<(), MessageError> {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < REPLAY_WINDOW_BITS { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return Ok(());
        }
        let age = self.highest - sequence;
        if age >= REPLAY_WINDOW_BITS || self.seen & (1 << age) != 0 {
            return Err(MessageError::Replayed);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}
