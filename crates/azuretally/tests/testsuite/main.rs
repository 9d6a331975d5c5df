//! End-to-end tests of the command line for operators.

mod check;
mod preset;
mod support;
mod trace;
