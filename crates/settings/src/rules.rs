//! Rules that single values must meet.

use crate::Problem;

/// Longest name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// Collects the problems of one document.
#[derive(Debug, Default)]
pub(crate) struct Rules {
    /// Every problem found so far.
    pub(crate) found: Vec<Problem>,
}

impl Rules {
    /// Adds a problem unless `ok`.
    pub(crate) fn need(&mut self, ok: bool, path: &str, reason: impl FnOnce() -> String) {
        if !ok {
            self.found.push(Problem::new(path, reason()));
        }
    }

    /// A name of letters, digits, `_` and `-`.
    pub(crate) fn name(&mut self, path: &str, name: &str) {
        self.name_of(path, name, "", "letters, digits, `_` and `-`");
    }

    /// A host name: dots are allowed too.
    pub(crate) fn host_name(&mut self, path: &str, name: &str) {
        self.name_of(path, name, ".", "letters, digits, `.`, `_` and `-`");
    }

    /// A whole number within bounds.
    pub(crate) fn count(&mut self, path: &str, value: u32, least: u32, most: u32) {
        self.need((least..=most).contains(&value), path, || {
            format!("{value} is not between {least} and {most}")
        });
    }

    /// A finite number within bounds, in the unit given.
    pub(crate) fn number(&mut self, path: &str, value: f64, least: f64, most: f64) {
        self.need((least..=most).contains(&value), path, || {
            format!("{value} is not between {least} and {most}")
        });
    }

    /// A share in percent.
    pub(crate) fn percent(&mut self, path: &str, value: f64) {
        self.number(path, value, 0.0, 100.0);
    }

    /// An absolute URL path without query, not ending in a slash.
    pub(crate) fn url_path(&mut self, path: &str, value: &str) {
        let clean = value.bytes().all(|b| b.is_ascii_graphic() && !b"?#%\\".contains(&b));
        let segments =
            value == "/" || value.split('/').skip(1).all(|s| !matches!(s, "" | "." | ".."));
        self.need(value.starts_with('/') && clean && segments, path, || {
            format!("`{value}` is not a plain path such as `/till`")
        });
    }

    fn name_of(&mut self, path: &str, name: &str, more: &str, allowed: &str) {
        let sound = |c: char| c.is_ascii_alphanumeric() || "_-".contains(c) || more.contains(c);
        let ok = !name.is_empty() && name.len() <= NAME_MAX_BYTES && name.chars().all(sound);
        self.need(ok, path, || format!("the name `{name}` is not 1 to {NAME_MAX_BYTES} {allowed}"));
    }
}
