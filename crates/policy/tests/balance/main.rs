//! Tests of the gateway's decisions.

mod at_most_once;
mod catalog;
mod fixture;
mod overload;
mod roster;
mod routes;
mod silence;
