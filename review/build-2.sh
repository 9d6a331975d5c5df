#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the Rust toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
