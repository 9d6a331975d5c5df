//! The committed OpenAPI documents match the code.
//!
//! `AZURETALLY_WRITE_OPENAPI=1 cargo test -p azuretally-entry --test openapi` regenerates them.
#![allow(clippy::unwrap_used)]

use azuretally_entry::admin;
use std::{env, fs, path::Path};

#[test]
fn committed_documents_match_the_code() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("openapi");
    for (name, text) in admin::openapi().unwrap() {
        let path = folder.join(name);
        if env::var_os("AZURETALLY_WRITE_OPENAPI").is_some() {
            fs::write(&path, &text).unwrap();
        }
        let committed = fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(committed, text, "{} is out of date", path.display());
    }
}
