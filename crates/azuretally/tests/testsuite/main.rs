//! End-to-end tests of the operators' command line.

mod check;
mod preset;
mod support;
mod trace;
