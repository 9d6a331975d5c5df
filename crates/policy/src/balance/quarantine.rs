//! Recognition of calls that come again.

use std::fmt::{self, Display, Formatter};
use xxhash_rust::xxh3::Xxh3Default;

/// Parts of a call by which it is recognized when it comes again.
///
/// The address of the caller is none of them: the same call may come from several addresses, and for a
/// relayed call the address is only what the relaying gateway says.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestParts<'a> {
    /// Method of the request.
    pub method: &'a str,
    /// Requested host in lower case.
    pub host: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Credentials of the caller, if it sends any.
    pub authorization: &'a [u8],
    /// The body, or its beginning.
    pub body: &'a [u8],
    /// Length of the whole body in bytes, `None` if it is not known yet.
    pub body_length: Option<u64>,
}

/// Hash of the content of a call, the same at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallDigest(u128);

impl CallDigest {
    /// Hashes the parts of a call with XXH3 (128 bits).
    pub fn new(parts: &DigestParts<'_>) -> Self {
        let mut hash = Xxh3Default::new();
        let head = [parts.method, parts.host, parts.path].map(str::as_bytes);
        for part in head.into_iter().chain([parts.authorization, parts.body]) {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&parts.body_length.unwrap_or(u64::MAX).to_le_bytes());
        Self(hash.digest128())
    }
}

impl Display for CallDigest {
    /// Writes the first half in hexadecimal digits, which is enough to tell calls apart in a log.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0 >> 64)
    }
}
