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
pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Option<bool> {
    match case {
        "shared-path" => crashing::run(folder, has_trouble, crashing::Kind::SharedPath),
        "dark" => crashing::run(folder, has_trouble, crashing::Kind::Dark),
        "long-answer" => crashing::run(folder, has_trouble, crashing::Kind::LongAnswer),
        "far" => far::run(folder, has_trouble),
        "hang" => hang::run(folder, has_trouble),
        "limit" => limit::run(folder, has_trouble),
        "popular" => popular::run(folder, has_trouble),
        "parted" => parted::run(folder, has_trouble),
        "seeds" => seeds::run(folder, has_trouble),
        _ => None,
    }
}
