//! Checks of single values.

use crate::Problem;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// Checks values and collects the problems found.
#[derive(Debug, Default)]
pub(crate) struct Validator {
    /// All problems found so far.
    pub(crate) problems: Vec<Problem>,
}

impl Validator {
    /// Adds a problem with this reason unless `ok` is true.
    pub(crate) fn require(&mut self, ok: bool, path: &str, reason: impl FnOnce() -> String) {
        if !ok {
            self.problems.push(Problem::new(path, reason()));
        }
    }

    /// Requires a name of ASCII letters, digits, `_` and `-`.
    pub(crate) fn name(&mut self, path: &str, name: &str) {
        self.check_name(path, name, "", "letters, digits, `_` and `-`");
    }

    /// Requires a host name, which may also contain dots.
    pub(crate) fn host_name(&mut self, path: &str, name: &str) {
        self.check_name(path, name, ".", "letters, digits, `.`, `_` and `-`");
    }

    /// Requires an integer within inclusive bounds.
    pub(crate) fn count(&mut self, path: &str, value: u32, lower: u32, upper: u32) {
        self.require((lower..=upper).contains(&value), path, || {
            format!("{value} is not between {lower} and {upper}")
        });
    }

    /// Requires a number within inclusive bounds, which excludes NaN.
    pub(crate) fn number(&mut self, path: &str, value: f64, lower: f64, upper: f64) {
        self.require((lower..=upper).contains(&value), path, || {
            format!("{value} is not between {lower} and {upper}")
        });
    }

    /// Requires a percentage from 0 to 100.
    pub(crate) fn percent(&mut self, path: &str, value: f64) {
        self.number(path, value, 0.0, 100.0);
    }

    /// Requires an absolute URL path without query, escapes, empty segments or dot segments. Only
    /// `/` itself may end in a slash.
    pub(crate) fn url_path(&mut self, path: &str, value: &str) {
        let valid_chars = value.bytes().all(|b| b.is_ascii_graphic() && !b"?#%\\".contains(&b));
        let valid_segments =
            value == "/" || value.split('/').skip(1).all(|s| !matches!(s, "" | "." | ".."));
        self.require(value.starts_with('/') && valid_chars && valid_segments, path, || {
            format!("`{value}` is not a plain path such as `/till`")
        });
    }

    fn check_name(&mut self, path: &str, name: &str, extra: &str, allowed: &str) {
        let is_valid = |c: char| c.is_ascii_alphanumeric() || "_-".contains(c) || extra.contains(c);
        let ok = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_valid);
        self.require(ok, path, || {
            format!("the name `{name}` is not 1 to {MAX_NAME_BYTES} {allowed}")
        });
    }
}
