//! Tests of the dispatcher through its public interface.

mod arbitrary_events;
mod breaker;
mod budgets;
mod fixture;
mod leaving;
mod order;
mod overload;
mod resting;
mod simulation;
