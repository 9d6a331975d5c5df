//! Call scheduling for one service at one entry.
//!
//! A [`Dispatcher`] consumes [`Event`]s and returns [`Action`]s. It performs no I/O and reads no
//! clock. With late binding, calls wait in a queue at the entry until a slot of a target is free,
//! so the entry alone decides their order and priority. The baseline algorithms bind a call to a
//! target as soon as it arrives.

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
mod rest;
mod selection;
mod service_time;
mod slowness;
mod target;

pub use config::{ClassConfig, OperationConfig, PeerSlots, ServiceConfig, TargetInfo};
pub use dispatcher::Dispatcher;
pub use event::{
    Action, Call, CallId, Event, FailureKind, LoadReport, RefusalReason, TargetNotice,
    TargetRefusal, UnknownReason,
};
