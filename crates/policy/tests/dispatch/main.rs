//! Properties of the dispatcher and of the parts that it is made of.

mod arbitrary_events;
mod fixture;
mod order;
