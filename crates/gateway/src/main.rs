//! `azuretally-gateway`: the gateway in the project's own dialect.

use azuretally_gateway::{plain::Plain, program};
use mimalloc::MiMalloc;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    program::main("azuretally-gateway", "AZURETALLY_SETTINGS", Plain)
}
