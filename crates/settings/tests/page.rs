//! Checks that the settings page documents every key.
#![allow(clippy::unwrap_used)]

use azuretally_settings::{LOCAL_KEYS, PUBLISHED_KEYS};

const PAGE: &str = include_str!("../../../docs/settings.md");

#[test]
fn settings_page_documents_every_key() {
    let all: Vec<&str> = LOCAL_KEYS.iter().chain(PUBLISHED_KEYS).copied().collect();
    for key in &all {
        let is_parent = all.iter().any(|k| k.starts_with(&format!("{key}.")));
        let row_start = format!("| `{}` |", key.replace('*', "NAME"));
        assert!(is_parent || PAGE.contains(&row_start), "docs/settings.md does not document {key}");
    }
}
