//! `azuretally`: to be written.

fn main() {}
