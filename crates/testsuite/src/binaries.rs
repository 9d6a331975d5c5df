//! Finds the binaries under test.

use std::{env, path::PathBuf};

/// Path of the binary `name` in the target folder of the running test.
///
/// # Panics
///
/// When the binary was not built.
pub fn binary(name: &str) -> PathBuf {
    let test = env::current_exe().expect("the path of the running test is known");
    let folder = test.parent().and_then(|deps| deps.parent()).expect("tests run in target/*/deps");
    let path = folder.join(name);
    assert!(
        path.exists(),
        "{} is missing: run `cargo build --workspace --bins` first (scripts/test does)",
        path.display()
    );
    path
}
