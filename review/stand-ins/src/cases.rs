//! The cases.

mod crashing;
mod far;
mod hang;
pub mod limit;
mod parted;
pub mod popular;
mod seeds;

use std::path::Path;

/// Runs a case. Returns whether the rule held, or `None` if the case could not run.
pub fn run(case: &str, record: &Path, has_trouble: bool) -> Option<bool> {
    match case {
        "shared-path" => crashing::run(record, has_trouble, crashing::Kind::SharedPath),
        "dark" => crashing::run(record, has_trouble, crashing::Kind::Dark),
        "long-answer" => crashing::run(record, has_trouble, crashing::Kind::LongAnswer),
        "far" => far::run(record, has_trouble),
        "hang" => hang::run(record, has_trouble),
        "limit" => limit::run(record, has_trouble),
        "popular" => popular::run(record, has_trouble),
        "parted" => parted::run(record, has_trouble),
        "seeds" => seeds::run(record, has_trouble),
        _ => None,
    }
}
