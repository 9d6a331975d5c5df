//! Tests of the gateway's decision logic.

mod at_most_once;
mod backlog;
mod builds;
mod catalog;
mod crash_fleet;
mod demand;
mod departing;
mod drain;
mod fixture;
mod going_back;
mod hedging;
mod late_gateway;
mod limits;
mod membership;
mod occupancy;
mod overload;
mod platform;
mod quarantine;
mod reach;
mod reading;
mod resting;
mod restore;
mod routes;
mod trials;
mod unreadable;
