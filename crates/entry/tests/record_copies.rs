//! The store for copies of peers' record lines: authentication, order, deduplication and bounds.
#![allow(clippy::unwrap_used)]

use azuretally_api::record::{RecordEntry, RecordLine};
use azuretally_entry::record::{CopyError, CopyStore};
use azuretally_policy::record::HashChain;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const KEY: &[u8] = b"key of the peers";

fn lines(host: &str, count: u64) -> Vec<RecordLine> {
    let mut chain = HashChain::new(host, "00ff");
    (0..count).map(|calls| chain.append(RecordEntry::Lost { calls })).collect()
}

fn message(lines: &[RecordLine]) -> (Vec<u8>, String) {
    let body = serde_json::to_vec(lines).unwrap();
    let mut mac = Hmac::<Sha256>::new_from_slice(KEY).unwrap();
    mac.update(b"copies\n");
    mac.update(&body);
    let mac = hex::encode(mac.finalize().into_bytes());
    (body, mac)
}

#[test]
fn message_without_a_valid_mac_is_rejected() {
    let copies = CopyStore::default();
    let (body, mac) = message(&lines("entry-1", 3));
    assert_eq!(copies.store(KEY, None, &body), Err(CopyError::InvalidMac));
    assert_eq!(copies.store(KEY, Some(&mac[2..]), &body), Err(CopyError::InvalidMac));
    assert_eq!(copies.store(b"another key", Some(&mac), &body), Err(CopyError::InvalidMac));
    assert_eq!(copies.store(KEY, Some(&mac), &body[1..]), Err(CopyError::InvalidMac));
    assert!(copies.is_empty());
    assert_eq!(copies.store(KEY, Some(&mac), &body), Ok(()));
    assert_eq!(copies.len(), 3);
}

#[test]
fn repeated_lines_are_stored_once() {
    let copies = CopyStore::default();
    let all = lines("entry-1", 10);
    for chunk in [&all[..4], &all[2..7], &all[..10]] {
        let (body, mac) = message(chunk);
        copies.store(KEY, Some(&mac), &body).unwrap();
    }
    assert_eq!(copies.page(0, 100).lines, all);
}

#[test]
fn pages_are_contiguous_after_old_lines_are_evicted() {
    let copies = CopyStore::default();
    let all = lines("entry-1", 50_010);
    for chunk in all.chunks(5_000) {
        let (body, mac) = message(chunk);
        copies.store(KEY, Some(&mac), &body).unwrap();
    }
    assert_eq!(copies.len(), 50_000);
    let first = copies.page(0, 5);
    assert_eq!((first.lines[0].sequence, first.next), (11, 15));
    let second = copies.page(first.next, 5);
    assert_eq!((second.lines[0].sequence, second.next), (16, 20));
}
