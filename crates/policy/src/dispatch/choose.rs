//! Choosing a target for a call.
//!
//! Each way of choosing is a type of its own behind [`Choose`]; the dispatcher is run with the one
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
pub(super) struct View<'a> {
    /// Now.
    pub(super) now: Timestamp,
    /// All targets.
    pub(super) targets: &'a Targets,
    /// Targets that refused the call or failed.
    pub(super) tried: &'a [Arc<str>],
    /// Whether the call may run more than once.
    pub(super) idempotent: bool,
    /// Mean service time of the operation in µs.
    pub(super) expected_us: f64,
    /// Memory of the speed estimates in µs.
    pub(super) memory_us: f64,
    /// Number of waiting calls, this one included.
    pub(super) waiting: usize,
    /// Whether the expected wait is of use to the caller of the choice.
    pub(super) asks_wait: bool,
}

impl View<'_> {
    fn was_tried(&self, target: &Target) -> bool {
        self.tried.iter().any(|t| **t == *target.plan.name)
    }
}

/// Result of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Pick {
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
        again: Option<Timestamp>,
    },
}

impl Pick {
    /// No slot is free and none is known to become free.
    const NOTHING: Self = Self::Wait { expected_us: f64::INFINITY, again: None };
}

/// A way of choosing a target.
pub(super) trait Choose {
    /// Whether calls wait at the entry until a slot is free.
    const LATE_BINDING: bool;

    /// Chooses a target for one call.
    fn choose<R>(&mut self, view: &View<'_>, random: &mut R) -> Pick
    where
        R: Rng;
}

/// The way of choosing that the settings name.
#[derive(Debug)]
pub(super) enum Chooser {
    Random(RandomTarget),
    RoundRobin(RoundRobin),
    LeastInFlight(LeastInFlight),
    PowerOfTwo(PowerOfTwo),
    HotCold(HotCold),
    TryAndRefuse(TryAndRefuse),
    IdleSlots(IdleSlots),
    Owned(Owned),
}

impl Chooser {
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
        fn late<C>(_: &C) -> bool
        where
            C: Choose,
        {
            C::LATE_BINDING
        }
        match self {
            Self::Random(c) => late(c),
            Self::RoundRobin(c) => late(c),
            Self::LeastInFlight(c) => late(c),
            Self::PowerOfTwo(c) => late(c),
            Self::HotCold(c) => late(c),
            Self::TryAndRefuse(c) => late(c),
            Self::IdleSlots(c) => late(c),
            Self::Owned(c) => late(c),
        }
    }

    /// Chooses a target for one call.
    pub(super) fn choose(&mut self, view: &View<'_>, random: &mut Pcg64Mcg) -> Pick {
        match self {
            Self::Random(c) => c.choose(view, random),
            Self::RoundRobin(c) => c.choose(view, random),
            Self::LeastInFlight(c) => c.choose(view, random),
            Self::PowerOfTwo(c) => c.choose(view, random),
            Self::HotCold(c) => c.choose(view, random),
            Self::TryAndRefuse(c) => c.choose(view, random),
            Self::IdleSlots(c) => c.choose(view, random),
            Self::Owned(c) => c.choose(view, random),
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
    let mut equals = 1;
    for (index, key) in items {
        match &best {
            Some((_, k)) if key > *k => continue,
            Some((_, k)) if key == *k => {
                equals += 1;
                if random.random_range(0..equals) != 0 {
                    continue;
                }
            }
            _ => equals = 1,
        }
        best = Some((index, key));
    }
    best.map(|(index, _)| index)
}
