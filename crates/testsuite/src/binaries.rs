//! Finds the binaries under test.

use std::{env, path::PathBuf};

/// Path of the binary `name` in the target folder of the running test or program.
///
/// # Panics
///
/// When the binary was not built.
pub fn binary(name: &str) -> PathBuf {
    let own = env::current_exe().expect("the path of the running program is known");
    // Tests run in a folder below the one with the binaries, programs beside them.
    let mut folders = own.ancestors().skip(1).take(2);
    let path = folders.find_map(|f| Some(f.join(name)).filter(|path| path.exists()));
    path.unwrap_or_else(|| {
        panic!("{name} is missing: run `cargo build --workspace --bins` first (scripts/test does)")
    })
}
