//! Decisions about the calls of one service at one entry.
//!
//! A [`Dispatcher`] takes [`Event`]s and returns [`Action`]s. Calls wait here until a slot of a
//! target is free (late binding), so that order and priority stay with the entry.

mod dispatcher;
mod event;
mod plan;

pub use dispatcher::Dispatcher;
pub use event::{
    Action, Call, CallId, Event, FailureKind, LoadReport, RefusalReason, TargetRefusal,
    UnknownReason,
};
pub use plan::{ClassPlan, OperationPlan, PeerSlots, ServicePlan, TargetPlan};
