//! Runs the command line as a process.
#![allow(clippy::unwrap_used)]

use std::process::Command;

/// Output and exit code of one run.
pub(crate) struct Run {
    pub(crate) stdout: String,
    pub(crate) stderr: String,
    pub(crate) code: Option<i32>,
}

/// Runs `azuretally` in the directory of the fixtures.
pub(crate) fn azuretally(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_azuretally"))
        .args(args)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures"))
        .output()
        .unwrap();
    Run {
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
        code: output.status.code(),
    }
}
