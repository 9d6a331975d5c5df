//! Locates the binaries under test.

use std::{env, path::PathBuf};

/// Returns the path of the binary `name` in the target directory of the running test or program.
///
/// # Panics
///
/// Panics if the binary was not built.
pub fn binary(name: &str) -> PathBuf {
    let current = env::current_exe().expect("the path of the running executable");
    // Test executables are in a subdirectory of the one with the binaries, programs are next to
    // them.
    let mut directories = current.ancestors().skip(1).take(2);
    let path = directories.find_map(|f| Some(f.join(name)).filter(|path| path.exists()));
    path.unwrap_or_else(|| {
        panic!("{name} is missing: run `cargo build --workspace --bins` first (scripts/test does)")
    })
}
