//! Tests of the gateway's decisions.

mod at_most_once;
mod catalog;
mod fixture;
mod membership;
mod overload;
mod routes;
mod silence;
