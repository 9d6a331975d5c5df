//! `azuretally-gateway`: the gateway in the project's own dialect.

use azuretally_gateway::{native::NativeAdapter, program};
use std::process::ExitCode;

fn main() -> ExitCode {
    program::main("azuretally-gateway", "AZURETALLY_SETTINGS", NativeAdapter)
}
