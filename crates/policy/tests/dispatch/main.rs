//! Properties of the dispatcher and of the parts that it is made of.

mod arbitrary_events;
mod budgets;
mod fake;
mod fixture;
mod order;
mod overload;
