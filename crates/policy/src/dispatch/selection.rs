//! Selection of a target for a call.
//!
//! Each algorithm is a type that implements [`SelectTarget`]. [`Selector`] dispatches statically to
//! the one named in the settings.

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

/// Input of a selection.
#[derive(Debug)]
pub(super) struct SelectionContext<'a> {
    /// Current time.
    pub(super) now: Timestamp,
    /// All targets of the service.
    pub(super) targets: &'a Targets,
    /// Targets that refused the call or failed it.
    pub(super) tried_targets: &'a [Arc<str>],
    /// Whether the call may be executed more than once.
    pub(super) idempotent: bool,
    /// Mean service time of the operation in µs.
    pub(super) expected_us: f64,
    /// Time constant of the slowness estimates in µs.
    pub(super) decay_us: f64,
    /// Number of waiting calls, including this one.
    pub(super) queue_len: usize,
    /// Whether the expected time of a wait is used, and so has to be computed.
    pub(super) needs_wait: bool,
}

impl SelectionContext<'_> {
    fn has_tried(&self, target: &Target) -> bool {
        self.tried_targets.iter().any(|t| **t == *target.info.name)
    }
}

/// Result of a selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Selection {
    /// Send the call to a target.
    Target {
        /// Index of the target in the list of targets.
        index: usize,
        /// Expected time at the target in µs, or NaN if unknown.
        expected_us: f64,
    },
    /// Keep the call waiting for a better slot.
    Wait {
        /// Expected waiting and service time in µs.
        expected_us: f64,
        /// When to repeat the selection if nothing changes before, or `None` if only an event can
        /// change its result.
        recheck_at: Option<Timestamp>,
    },
}

impl Selection {
    /// No slot is free and none is known to become free.
    const UNAVAILABLE: Self = Self::Wait { expected_us: f64::INFINITY, recheck_at: None };
}

/// A target selection algorithm.
pub(super) trait SelectTarget {
    /// Whether calls wait at the entry until a slot is free.
    const LATE_BINDING: bool;

    /// Selects a target for one call.
    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng;
}

/// The target selection algorithm named in the settings.
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
    /// Creates the algorithm for `choice`.
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

    /// Returns whether calls wait at the entry until a slot is free.
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

    /// Selects a target for one call.
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

/// Returns the index with the lowest key, breaking ties uniformly at random.
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
