//! Decisions about the calls of one service at one entry.
//!
//! A [`Dispatcher`] takes [`Event`]s and returns [`Action`]s. Calls wait here until a slot of a
//! target is free (late binding), so that order and priority stay with the entry.

mod breaker;
mod budget;
mod calls;
mod config;
mod dispatcher;
mod event;
mod fair_queue;
mod limit;
mod ownership;
mod peers;
mod queue;
mod selection;
mod service_time;
mod slowness;
mod target;

pub use config::{ClassConfig, OperationConfig, PeerSlots, ServiceConfig, TargetInfo};
pub use dispatcher::Dispatcher;
pub use event::{
    Action, Call, CallId, Event, FailureKind, LoadReport, RefusalReason, TargetRefusal,
    UnknownReason,
};
