//! Choosing a target for a call.
//!
//! Each way of choosing is a type of its own behind [`SelectTarget`]; the dispatcher is run with the one
//! that the settings name, without dynamic dispatch.

mod baselines;
mod owned;

use super::target::{Target, Targets};
use crate::Timestamp;
use azuretally_settings::BalancingPolicy;
use rand::{Rng, RngExt};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

use baselines::{
    HotCold, IdleSlots, LeastInFlight, PowerOfTwo, RandomTarget, RoundRobin, TryAndRefuse,
};
use owned::Owned;

/// What a choice is made from.
#[derive(Debug)]
pub(super) struct SelectionContext<'a> {
    /// Now.
    pub(super) now: Timestamp,
    /// All targets.
    pub(super) targets: &'a Targets,
    /// Targets that refused the call or failed.
    pub(super) tried_targets: &'a [Arc<str>],
    /// Whether the call may run more than once.
    pub(super) idempotent: bool,
    /// Mean service time of the operation in µs.
    pub(super) expected_us: f64,
    /// Memory of the speed estimates in µs.
    pub(super) decay_us: f64,
    /// Number of waiting calls, this one included.
    pub(super) queue_len: usize,
    /// Whether the expected wait is of use to the caller of the choice.
    pub(super) needs_wait: bool,
}

impl SelectionContext<'_> {
    fn has_tried(&self, target: &Target) -> bool {
        self.tried_targets.iter().any(|t| **t == *target.info.name)
    }
}

/// Result of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Selection {
    /// Send the call to the target at this index.
    Target {
        /// Index into the targets.
        index: usize,
        /// Expected time at the target in µs, not a number where unknown.
        expected_us: f64,
    },
    /// Wait for a better slot; `expected_us` is the expected wait for it.
    Wait {
        /// Expected wait and service in µs.
        expected_us: f64,
        /// When to look again, if nothing happens before.
        recheck_at: Option<Timestamp>,
    },
}

impl Selection {
    /// No slot is free and none is known to become free.
    const UNAVAILABLE: Self = Self::Wait { expected_us: f64::INFINITY, recheck_at: None };
}

/// A way of choosing a target.
pub(super) trait SelectTarget {
    /// Whether calls wait at the entry until a slot is free.
    const LATE_BINDING: bool;

    /// Chooses a target for one call.
    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng;
}

/// The way of choosing that the settings name.
#[derive(Debug)]
pub(super) enum Selector {
    Random(RandomTarget),
    RoundRobin(RoundRobin),
    LeastInFlight(LeastInFlight),
    PowerOfTwo(PowerOfTwo),
    HotCold(HotCold),
    TryAndRefuse(TryAndRefuse),
    IdleSlots(IdleSlots),
    Owned(Owned),
}

impl Selector {
    /// The way of choosing named `choice`.
    pub(super) fn new(choice: BalancingPolicy) -> Self {
        match choice {
            BalancingPolicy::Random => Self::Random(RandomTarget),
            BalancingPolicy::RoundRobin => Self::RoundRobin(RoundRobin::default()),
            BalancingPolicy::LeastInFlight => Self::LeastInFlight(LeastInFlight),
            BalancingPolicy::PowerOfTwo => Self::PowerOfTwo(PowerOfTwo),
            BalancingPolicy::HotCold => Self::HotCold(HotCold),
            BalancingPolicy::TryAndRefuse => Self::TryAndRefuse(TryAndRefuse),
            BalancingPolicy::IdleSlots => Self::IdleSlots(IdleSlots),
            BalancingPolicy::Owned | BalancingPolicy::OwnedShared => Self::Owned(Owned),
        }
    }

    /// Whether calls wait at the entry until a slot is free.
    pub(super) fn is_late_binding(&self) -> bool {
        fn late_binding<C>(_: &C) -> bool
        where
            C: SelectTarget,
        {
            C::LATE_BINDING
        }
        match self {
            Self::Random(c) => late_binding(c),
            Self::RoundRobin(c) => late_binding(c),
            Self::LeastInFlight(c) => late_binding(c),
            Self::PowerOfTwo(c) => late_binding(c),
            Self::HotCold(c) => late_binding(c),
            Self::TryAndRefuse(c) => late_binding(c),
            Self::IdleSlots(c) => late_binding(c),
            Self::Owned(c) => late_binding(c),
        }
    }

    /// Chooses a target for one call.
    pub(super) fn select(
        &mut self,
        context: &SelectionContext<'_>,
        random: &mut Pcg64Mcg,
    ) -> Selection {
        match self {
            Self::Random(c) => c.select(context, random),
            Self::RoundRobin(c) => c.select(context, random),
            Self::LeastInFlight(c) => c.select(context, random),
            Self::PowerOfTwo(c) => c.select(context, random),
            Self::HotCold(c) => c.select(context, random),
            Self::TryAndRefuse(c) => c.select(context, random),
            Self::IdleSlots(c) => c.select(context, random),
            Self::Owned(c) => c.select(context, random),
        }
    }
}

/// The item with the lowest key; evenly at random among equals.
fn lowest<I, K, R>(items: I, random: &mut R) -> Option<usize>
where
    I: Iterator<Item = (usize, K)>,
    K: PartialOrd,
    R: Rng,
{
    let mut best: Option<(usize, K)> = None;
    let mut ties = 1;
    for (index, key) in items {
        match &best {
            Some((_, k)) if key > *k => continue,
            Some((_, k)) if key == *k => {
                ties += 1;
                if random.random_range(0..ties) != 0 {
                    continue;
                }
            }
            _ => ties = 1,
        }
        best = Some((index, key));
    }
    best.map(|(index, _)| index)
}
