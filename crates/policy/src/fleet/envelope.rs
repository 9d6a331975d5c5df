//! Codec and authentication of messages between entries.
//!
//! A message is its postcard encoding followed by an HMAC-SHA256 tag, truncated to 128 bits. A
//! receiver accepts each sequence number of a process only once, which prevents replays of recorded
//! messages.

use super::message::{Body, Header};
use hmac::{Hmac, KeyInit, Mac};
use indexmap::IndexMap;
use sha2::Sha256;
use std::{error::Error, fmt, sync::Arc};

/// Maximum message size in bytes, tag included. Published values have up to 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 1_200_000;

/// Length of the truncated authentication tag.
const TAG_BYTES: usize = 16;
/// Domain separation prefix of the authenticated content.
const MAC_DOMAIN: &[u8] = b"azuretally peer message 1";
/// Size of the replay window, in sequence numbers.
const REPLAY_WINDOW_BITS: u64 = 128;

/// Reason for which a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// The authentication tag does not match the key.
    Forged,
    /// The bytes do not decode to a message.
    Malformed,
    /// Addressed to another entry, or sent under the host name of the receiver.
    Misdirected,
    /// The sequence number was seen before or is older than the replay window.
    Replayed,
    /// Sent by an earlier process of the host than the latest one seen.
    Superseded,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the message exceeds the maximum size",
            Self::Forged => "the authentication tag does not match",
            Self::Malformed => "the message cannot be decoded",
            Self::Misdirected => "the message is addressed to another entry",
            Self::Replayed => "the sequence number was already used or is too old",
            Self::Superseded => "a later process of the sender's host is known",
        })
    }
}

impl Error for MessageError {}

/// Encodes a message and appends its authentication tag.
///
/// # Errors
///
/// [`MessageError::TooLong`] if the message exceeds [`MAX_MESSAGE_BYTES`],
/// [`MessageError::Malformed`] if it cannot be encoded.
pub fn seal(key: &[u8], header: &Header, body: &Body) -> Result<Vec<u8>, MessageError> {
    let mut bytes = postcard::to_stdvec(&(header, body)).map_err(|_| MessageError::Malformed)?;
    if bytes.len() + TAG_BYTES > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong);
    }
    let tag = mac(key, &bytes)?.finalize().into_bytes();
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    Ok(bytes)
}

/// Verifies the authentication tag of a message and decodes it.
///
/// # Errors
///
/// [`MessageError`] if the message must be dropped.
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

/// Tracks the sequence numbers seen from each sender and rejects replays.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    windows: IndexMap<Arc<str>, Window>,
}

/// Sliding replay window of one sender. Bit `n` of `seen` stands for sequence number `highest - n`.
#[derive(Clone, Copy, Debug)]
struct Window {
    generation: u64,
    highest: u64,
    seen: u128,
}

impl ReplayGuard {
    /// Marks the sequence number of a message as seen.
    ///
    /// # Errors
    ///
    /// [`MessageError::Replayed`] or [`MessageError::Superseded`] if the message must be dropped.
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

    /// Removes the windows of hosts for which `keep` returns false.
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
