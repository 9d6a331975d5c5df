//! Parses what the platform publishes part by part, so that one that cannot be read costs no other.

use azuretally_policy::balance::{CallerLimits, Change, PublishedSettings, Route};
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::{Value, value::RawValue};
use std::{sync::Arc, time::Duration};

/// Response body of the platform with changes that may be unreadable.
#[derive(Debug, Deserialize)]
pub(super) struct RawChanges<'a> {
    pub(super) revision: u64,
    /// Only told apart at first: one that is nested too deeply, or has a number out of range, would make
    /// the whole body unreadable.
    #[serde(borrow)]
    changes: Vec<&'a RawValue>,
}

impl RawChanges<'_> {
    /// Returns the changes as far as they can be read, and the number of parts that cannot be. An
    /// invalid target record counts as gone.
    pub(super) fn parse(&self) -> (Vec<Change>, u32) {
        let mut unreadable = 0;
        let mut changes = Vec::new();
        for raw in &self.changes {
            let Ok(raw) = serde_json::from_str::<Value>(raw.get()) else {
                unreadable += 1;
                continue;
            };
            let parsed = Change::deserialize(&raw).ok();
            changes.extend(parsed.or_else(|| parse_partly(&raw, &mut unreadable)));
        }
        (changes, unreadable)
    }
}

fn parse_partly(raw: &Value, unreadable: &mut u32) -> Option<Change> {
    if let Some(published) = raw.get("published")
        && let Some(settings) = parse_settings(published, unreadable)
    {
        return Some(Change::Published(settings));
    }
    *unreadable += 1;
    let name = raw.get("target")?.get("name")?.as_str()?;
    Some(Change::Gone(Arc::from(name)))
}

/// Parses settings; returns `None` if their version cannot be read. Services that cannot be read are
/// left out, and limits are 0.
fn parse_settings(raw: &Value, unreadable: &mut u32) -> Option<PublishedSettings> {
    let version = raw.get("version")?.as_u64()?;
    let mut count = |is_readable: bool| *unreadable += u32::from(!is_readable);
    let mut routes = Vec::new();
    match raw.get("routes").and_then(Value::as_array) {
        Some(rows) => {
            for row in rows {
                let parsed = Route::deserialize(row).ok();
                count(parsed.is_some());
                routes.push(parsed.unwrap_or_else(|| unreadable_route(row)));
            }
        }
        None => {
            count(false);
            routes.push(unreadable_route(&Value::Null));
        }
    }
    let mut services = IndexMap::new();
    match raw.get("services").and_then(Value::as_object) {
        Some(rows) => {
            for (name, row) in rows {
                let parsed = Deserialize::deserialize(row).ok();
                count(parsed.is_some());
                services.extend(parsed.map(|settings| (Arc::from(name.as_str()), settings)));
            }
        }
        None => count(false),
    }
    let limits = parse_limits(raw.get("limits").unwrap_or(&Value::Null), count);
    Some(PublishedSettings { version, routes, services, limits })
}

fn unreadable_route(row: &Value) -> Route {
    let text = |name| Arc::from(row.get(name).and_then(Value::as_str).unwrap_or_default());
    Route::unreadable(text("name"), text("host"), text("prefix"))
}

fn parse_limits<Count>(raw: &Value, mut count: Count) -> CallerLimits
where
    Count: FnMut(bool),
{
    let mut number = |name| {
        let parsed = raw.get(name).and_then(Value::as_u64);
        count(parsed.is_some());
        parsed.unwrap_or_default()
    };
    let head_bytes = usize::try_from(number("head_bytes")).unwrap_or_default();
    let body_bytes = number("body_bytes");
    let mut time = |name| {
        let parsed = raw.get(name).and_then(|time| Duration::deserialize(time).ok());
        count(parsed.is_some());
        parsed.unwrap_or_default()
    };
    CallerLimits {
        head_bytes,
        body_bytes,
        head_timeout: time("head_timeout"),
        idle_timeout: time("idle_timeout"),
    }
}
