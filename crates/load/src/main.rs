//! `azuretally-load`: to be written.

fn main() {}
