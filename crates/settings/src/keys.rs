//! All known keys of both kinds of document.

/// Minimum length of the stem of an unknown key for which a similar key is searched, in bytes.
const MIN_STEM_BYTES: usize = 3;

/// Keys of the local file, as dotted paths.
pub const LOCAL_KEYS: &[&str] = &[
    "host",
    "failure_domain",
    "listen",
    "listen.calls",
    "listen.directions",
    "listen.admin",
    "listen.peers",
    "platform",
    "seeds",
    "peer_key_file",
    "admin_token_file",
    "log_level",
    "span_file",
    "record_file",
    "call_threads",
    "stop_timeout_ms",
];

/// Keys of the published document, as dotted paths. `*` stands for a name, `#` for an index in a
/// list.
pub const PUBLISHED_KEYS: &[&str] = &[
    "deployment",
    "entries",
    "preset",
    "measuring",
    "measuring.target_ms_per_s",
    "measuring.probe_cost_ms",
    "services",
    "services.*",
    "services.*.path",
    "services.*.slots",
    "services.*.connections",
    "services.*.choice",
    "services.*.entry_set",
    "services.*.queue",
    "services.*.max_rest_ms",
    "services.*.retry",
    "services.*.retry.retry_percent",
    "services.*.retry.hedge_percent",
    "services.*.operations",
    "services.*.operations.*",
    "services.*.operations.*.method",
    "services.*.operations.*.path",
    "services.*.operations.*.idempotent",
    "services.*.operations.*.worth",
    "presets",
    "presets.*",
    "presets.*.classes",
    "presets.*.classes.#",
    "presets.*.classes.#.name",
    "presets.*.classes.#.operations",
    "presets.*.classes.#.timeout_ms",
    "presets.*.classes.#.floor_percent",
    "presets.*.classes.#.still_ms",
];

/// Returns a known key below `parent` that begins with the stem of the unknown key `name`. The two
/// usually differ in the unit.
pub(crate) fn similar(keys: &[&'static str], parent: &str, name: &str) -> Option<&'static str> {
    let stem = stem(name);
    keys.iter().copied().find_map(|key| {
        let (key_parent, key_name) = key.rsplit_once('.').unwrap_or(("", key));
        let matches = key_parent == parent && key_name.starts_with(stem);
        (matches && !stem.is_empty()).then_some(key_name)
    })
}

/// Returns the part of a key before its first underscore, or an empty text if that part is too
/// short to identify a key.
fn stem(name: &str) -> &str {
    let stem = name.split_once('_').map_or(name, |(stem, _)| stem);
    if stem.len() < MIN_STEM_BYTES { "" } else { stem }
}
