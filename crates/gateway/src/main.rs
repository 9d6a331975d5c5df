//! `azuretally-gateway`: the gateway binary with the project's own adapter.

use azuretally_gateway::{native::NativeAdapter, program};
use std::process::ExitCode;

fn main() -> ExitCode {
    program::main("azuretally-gateway", "AZURETALLY_SETTINGS", NativeAdapter)
}
