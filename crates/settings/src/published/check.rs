//! Checks of the published document.

use super::{ClassSettings, OperationSettings, Preset, PublishedSettings, ServiceSettings};
use crate::{Problem, validator::Validator};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

/// Maximum of `entries`.
const MAX_ENTRIES: u32 = 4_096;
/// Maximum of `slots`, per target.
const MAX_SLOTS: u32 = 65_536;
/// Maximum of `connections`, per target.
const MAX_CONNECTIONS: u32 = 1_000_000;
/// Maximum of `queue`, in calls per entry.
const MAX_QUEUE: u32 = 1_000_000;
/// Maximum of `max_rest_ms`: half of the longest retry delay, which leaves room for its spread.
const MAX_REST_MS: u32 = 30_000;
/// Maximum of `timeout_ms`: one day.
const MAX_TIMEOUT_MS: u32 = 86_400_000;
/// Maximum of `probe_cost_ms`: one minute.
const MAX_PROBE_COST_MS: f64 = 60_000.0;
/// Maximum of `worth`, in units of the deployment.
const MAX_WORTH: f64 = 1e12;
/// Accepted values of `method`.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Tolerance for the sum of the floors, which is inexact because they are decimal fractions.
const PERCENT_TOLERANCE: f64 = 1e-9;

/// Returns all invalid values and contradictions in `published`.
pub(super) fn problems(published: &PublishedSettings) -> Vec<Problem> {
    let mut validator = Validator::default();
    check_top_level(published, &mut validator);
    check_probe_budget(published, &mut validator);
    let mut paths = IndexMap::new();
    for (name, service) in &published.services {
        check_service(published, name, service, &mut validator);
        if let Some(other) = paths.insert(service.path.as_str(), name) {
            validator.require(false, &format!("services.{name}.path"), || {
                format!("`{}` is the path of service `{other}` too", service.path)
            });
        }
    }
    for (name, preset) in &published.presets {
        check_preset(published, name, preset, &mut validator);
    }
    validator.problems
}

fn check_top_level(published: &PublishedSettings, validator: &mut Validator) {
    validator.name("deployment", &published.deployment);
    validator.count("entries", published.entries, 1, MAX_ENTRIES);
    validator.require(!published.services.is_empty(), "services", || {
        "at least one service is needed".to_owned()
    });
    validator.require(published.presets.contains_key(&published.preset), "preset", || {
        format!("no preset named `{}`", published.preset)
    });
}

fn check_probe_budget(published: &PublishedSettings, validator: &mut Validator) {
    let budget = &published.measuring;
    let slots = published.services.values().map(|s| f64::from(s.slots)).sum::<f64>();
    let capacity_ms_per_s = slots * 1_000.0;
    let path = "measuring.target_ms_per_s";
    validator.number(path, budget.target_ms_per_s, 0.0, f64::MAX);
    validator.require(budget.target_ms_per_s <= capacity_ms_per_s, path, || {
        format!(
            "{} ms/s is more than one target of every service has ({capacity_ms_per_s} ms/s)",
            budget.target_ms_per_s
        )
    });
    let path = "measuring.probe_cost_ms";
    validator.number(path, budget.probe_cost_ms, f64::MIN_POSITIVE, MAX_PROBE_COST_MS);
}

fn check_service(
    published: &PublishedSettings,
    name: &str,
    service: &ServiceSettings,
    validator: &mut Validator,
) {
    let path = format!("services.{name}");
    let key = |k: &str| format!("{path}.{k}");
    validator.name(&path, name);
    validator.url_path(&key("path"), &service.path);
    validator.count(&key("slots"), service.slots, 1, MAX_SLOTS);
    validator.count(&key("connections"), service.connections, 1, MAX_CONNECTIONS);
    validator.require(service.connections >= service.slots, &key("connections"), || {
        format!("{} connections cannot fill {} slots", service.connections, service.slots)
    });
    validator
        .require(service.entry_set >= 1, &key("entry_set"), || "0 entries serve nobody".to_owned());
    validator.require(service.entry_set <= published.entries, &key("entry_set"), || {
        format!("{} is more than the {} entries", service.entry_set, published.entries)
    });
    validator.count(&key("queue"), service.queue, 1, MAX_QUEUE);
    validator.count(&key("max_rest_ms"), service.max_rest_ms, 1, MAX_REST_MS);
    validator.percent(&key("retry.retry_percent"), service.retry.retry_percent);
    validator.percent(&key("retry.hedge_percent"), service.retry.hedge_percent);
    validator.require(!service.operations.is_empty(), &key("operations"), || {
        "at least one operation is needed".to_owned()
    });
    check_operations(&key("operations"), &service.operations, validator);
}

fn check_operations(
    path: &str,
    operations: &IndexMap<Arc<str>, OperationSettings>,
    validator: &mut Validator,
) {
    let mut routes = IndexMap::new();
    for (name, operation) in operations {
        let path = format!("{path}.{name}");
        validator.name(&path, name);
        validator.require(
            METHODS.contains(&operation.method.as_str()),
            &format!("{path}.method"),
            || format!("`{}` is none of {}", operation.method, METHODS.join(", ")),
        );
        validator.url_path(&format!("{path}.path"), &operation.path);
        validator.number(&format!("{path}.worth"), operation.worth, 0.0, MAX_WORTH);
        let route = (operation.method.as_str(), operation.path.as_str());
        if let Some(other) = routes.insert(route, name) {
            validator.require(false, &format!("{path}.path"), || {
                format!("`{} {}` is operation `{other}` too", route.0, route.1)
            });
        }
    }
}

fn check_preset(
    published: &PublishedSettings,
    name: &str,
    preset: &Preset,
    validator: &mut Validator,
) {
    let path = format!("presets.{name}");
    validator.name(&path, name);
    validator.require(!preset.classes.is_empty(), &format!("{path}.classes"), || {
        "at least one class is needed".to_owned()
    });
    let floor_sum = preset.classes.iter().map(|c| c.floor_percent).sum::<f64>();
    validator.require(floor_sum <= 100.0 + PERCENT_TOLERANCE, &format!("{path}.classes"), || {
        format!("the floors sum up to {floor_sum}%, at most 100% can be given away")
    });
    let mut names = IndexSet::new();
    // Class of each operation.
    let mut assigned: IndexMap<&str, &str> = IndexMap::new();
    for (i, class) in preset.classes.iter().enumerate() {
        let path = format!("{path}.classes.{i}");
        check_class(&path, class, validator);
        validator.require(names.insert(&*class.name), &format!("{path}.name"), || {
            format!("class `{}` stands twice", class.name)
        });
        for operation in &class.operations {
            check_class_operation(published, &path, class, operation, &mut assigned, validator);
        }
    }
    check_all_classified(published, &path, &assigned, validator);
}

fn check_class(path: &str, class: &ClassSettings, validator: &mut Validator) {
    validator.name(&format!("{path}.name"), &class.name);
    validator.count(&format!("{path}.timeout_ms"), class.timeout_ms, 1, MAX_TIMEOUT_MS);
    validator.percent(&format!("{path}.floor_percent"), class.floor_percent);
    if let Some(still_ms) = class.still_ms {
        let path = format!("{path}.still_ms");
        validator.require(still_ms > 0, &path, || "0 ms cannot be kept".to_owned());
        validator.require(still_ms < class.timeout_ms, &path, || {
            format!("{still_ms} ms is not below the class's timeout of {} ms", class.timeout_ms)
        });
    }
}

fn check_class_operation<'a>(
    published: &PublishedSettings,
    path: &str,
    class: &'a ClassSettings,
    operation: &'a str,
    assigned: &mut IndexMap<&'a str, &'a str>,
    validator: &mut Validator,
) {
    let path = format!("{path}.operations");
    validator.require(published.has_operation(operation), &path, || {
        format!("no operation `{operation}`")
    });
    match assigned.insert(operation, &class.name) {
        Some(other) if other == &*class.name => {
            validator.require(false, &path, || format!("`{operation}` stands twice"));
        }
        Some(other) => {
            validator
                .require(false, &path, || format!("`{operation}` is in class `{other}` already"));
        }
        None => {}
    }
}

fn check_all_classified(
    published: &PublishedSettings,
    path: &str,
    assigned: &IndexMap<&str, &str>,
    validator: &mut Validator,
) {
    for (service, settings) in &published.services {
        for operation in settings.operations.keys() {
            let full_name = format!("{service}.{operation}");
            validator.require(assigned.contains_key(full_name.as_str()), path, || {
                format!("operation `{full_name}` has no class")
            });
        }
    }
}
