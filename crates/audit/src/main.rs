//! `azuretally-audit`: to be written.

fn main() {}
