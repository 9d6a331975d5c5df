//! Targets that are leaving.
//!
//! The host list lags and may be stale, so a target also counts as leaving once any entry saw it
//! drain. A sighting names the incarnation of the target and holds for that one alone: a list that
//! still calls the host live does not lift it, a list that names another incarnation does. Where
//! the list names no incarnations, the sighting is lifted by a list that calls the host live again
//! after an earlier list had called it leaving or had left it out.

use super::message::Sighting;
use indexmap::IndexMap;
use std::sync::Arc;

/// Incarnations of one target that are remembered.
const KEPT_INCARNATIONS: usize = 8;

/// What a host list says of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Host name of the target.
    pub target: Arc<str>,
    /// Incarnation, when the platform knows it.
    pub incarnation: Option<Arc<str>>,
    /// Whether the list calls it leaving.
    pub leaving: bool,
}

/// Sightings of targets, those that were lifted included.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    targets: IndexMap<Arc<str>, Incarnations>,
}

type Incarnations = IndexMap<Arc<str>, Stage>;

/// How far the host list has followed a sighting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Seen by an entry.
    Sighted,
    /// A later list called the host leaving or left it out.
    Confirmed,
    /// A later list named another incarnation or called the host live again.
    Lifted,
}

impl Leaving {
    /// Takes in a sighting by any entry. True when it is new and in force.
    ///
    /// A sighting that a list has lifted is not taken again from an entry that lags.
    pub fn sight(&mut self, sighting: &Sighting) -> bool {
        let incarnations = self.targets.entry(Arc::clone(&sighting.target)).or_default();
        if incarnations.contains_key(&sighting.incarnation) {
            return false;
        }
        if incarnations.len() >= KEPT_INCARNATIONS {
            incarnations.shift_remove_index(0);
        }
        incarnations.insert(Arc::clone(&sighting.incarnation), Stage::Sighted);
        true
    }

    /// Takes in a host list that is later than all before.
    pub fn list(&mut self, listed: &IndexMap<Arc<str>, Listed>) {
        for (target, incarnations) in &mut self.targets {
            let listed = listed.get(target).filter(|l| !l.leaving);
            for (incarnation, stage) in incarnations {
                *stage = stage.follow(incarnation, listed);
            }
        }
    }

    /// Whether `listed` may get no new call.
    pub fn is_leaving(&self, listed: &Listed) -> bool {
        listed.leaving
            || self.targets.get(&listed.target).is_some_and(|incarnations| {
                incarnations.iter().any(|(incarnation, stage)| {
                    *stage != Stage::Lifted && !is_other(incarnation, listed)
                })
            })
    }

    /// All sightings in force.
    pub fn sightings(&self) -> impl Iterator<Item = Sighting> + '_ {
        self.targets.iter().flat_map(|(target, incarnations)| {
            incarnations.iter().filter(|(_, stage)| **stage != Stage::Lifted).map(
                |(incarnation, _)| Sighting {
                    target: Arc::clone(target),
                    incarnation: Arc::clone(incarnation),
                },
            )
        })
    }
}

impl Stage {
    /// `listed` is what the list says of the host if it calls it live.
    fn follow(self, incarnation: &str, listed: Option<&Listed>) -> Self {
        match (self, listed) {
            (Self::Lifted, _) => Self::Lifted,
            (_, Some(l)) if is_other(incarnation, l) => Self::Lifted,
            (Self::Confirmed, Some(l)) if l.incarnation.is_none() => Self::Lifted,
            (stage, Some(_)) => stage,
            (_, None) => Self::Confirmed,
        }
    }
}

fn is_other(incarnation: &str, listed: &Listed) -> bool {
    let known = listed.incarnation.as_deref().filter(|_| !incarnation.is_empty());
    known.is_some_and(|l| l != incarnation)
}
