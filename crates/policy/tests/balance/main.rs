//! Tests of the gateway's decisions.

mod at_most_once;
mod fixture;
mod overload;
mod silence;
