//! Contradictions inside a published document.

use super::{ClassSettings, OperationSettings, Preset, PublishedSettings, ServiceSettings};
use crate::{Problem, rules::Rules};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

const ENTRIES_MAX: u32 = 4_096;
const SLOTS_MAX: u32 = 65_536;
const CONNECTIONS_MAX: u32 = 1_000_000;
const QUEUE_MAX: u32 = 1_000_000;
const TIMEOUT_MAX_MS: u32 = 86_400_000;
const PROBE_COST_MAX_MS: f64 = 60_000.0;
const WORTH_MAX: f64 = 1e12;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Floors are given in decimal; their sum may miss 100 by rounding.
const PERCENT_SLACK: f64 = 1e-9;

/// Every contradiction in `published`.
pub(super) fn problems(published: &PublishedSettings) -> Vec<Problem> {
    let mut rules = Rules::default();
    check_top(published, &mut rules);
    check_measuring(published, &mut rules);
    let mut paths = IndexMap::new();
    for (name, service) in &published.services {
        check_service(published, name, service, &mut rules);
        if let Some(other) = paths.insert(service.path.as_str(), name) {
            rules.need(false, &format!("services.{name}.path"), || {
                format!("`{}` is the path of service `{other}` too", service.path)
            });
        }
    }
    for (name, preset) in &published.presets {
        check_preset(published, name, preset, &mut rules);
    }
    rules.found
}

fn check_top(published: &PublishedSettings, rules: &mut Rules) {
    rules.name("deployment", &published.deployment);
    rules.count("entries", published.entries, 1, ENTRIES_MAX);
    rules.need(!published.services.is_empty(), "services", || {
        "at least one service is needed".to_owned()
    });
    rules.need(published.presets.contains_key(&published.preset), "preset", || {
        format!("no preset named `{}`", published.preset)
    });
}

fn check_measuring(published: &PublishedSettings, rules: &mut Rules) {
    let measuring = &published.measuring;
    let slots = published.services.values().map(|s| f64::from(s.slots)).sum::<f64>();
    let capacity_ms_per_s = slots * 1_000.0;
    let path = "measuring.target_ms_per_s";
    rules.number(path, measuring.target_ms_per_s, 0.0, f64::MAX);
    rules.need(measuring.target_ms_per_s <= capacity_ms_per_s, path, || {
        format!(
            "{} ms/s is more than one target of every service has ({capacity_ms_per_s} ms/s)",
            measuring.target_ms_per_s
        )
    });
    let path = "measuring.probe_cost_ms";
    rules.number(path, measuring.probe_cost_ms, f64::MIN_POSITIVE, PROBE_COST_MAX_MS);
}

fn check_service(
    published: &PublishedSettings,
    name: &str,
    service: &ServiceSettings,
    rules: &mut Rules,
) {
    let path = format!("services.{name}");
    let key = |k: &str| format!("{path}.{k}");
    rules.name(&path, name);
    rules.url_path(&key("path"), &service.path);
    rules.count(&key("slots"), service.slots, 1, SLOTS_MAX);
    rules.count(&key("connections"), service.connections, 1, CONNECTIONS_MAX);
    rules.need(service.connections >= service.slots, &key("connections"), || {
        format!("{} connections cannot fill {} slots", service.connections, service.slots)
    });
    rules.need(service.entry_set >= 1, &key("entry_set"), || "0 entries serve nobody".to_owned());
    rules.need(service.entry_set <= published.entries, &key("entry_set"), || {
        format!("{} is more than the {} entries", service.entry_set, published.entries)
    });
    rules.count(&key("queue"), service.queue, 1, QUEUE_MAX);
    rules.percent(&key("retry.retry_percent"), service.retry.retry_percent);
    rules.percent(&key("retry.hedge_percent"), service.retry.hedge_percent);
    rules.need(!service.operations.is_empty(), &key("operations"), || {
        "at least one operation is needed".to_owned()
    });
    check_operations(&key("operations"), &service.operations, rules);
}

fn check_operations(
    path: &str,
    operations: &IndexMap<Arc<str>, OperationSettings>,
    rules: &mut Rules,
) {
    let mut routes = IndexMap::new();
    for (name, operation) in operations {
        let path = format!("{path}.{name}");
        rules.name(&path, name);
        rules.need(METHODS.contains(&operation.method.as_str()), &format!("{path}.method"), || {
            format!("`{}` is none of {}", operation.method, METHODS.join(", "))
        });
        rules.url_path(&format!("{path}.path"), &operation.path);
        rules.number(&format!("{path}.worth"), operation.worth, 0.0, WORTH_MAX);
        let route = (operation.method.as_str(), operation.path.as_str());
        if let Some(other) = routes.insert(route, name) {
            rules.need(false, &format!("{path}.path"), || {
                format!("`{} {}` is operation `{other}` too", route.0, route.1)
            });
        }
    }
}

fn check_preset(published: &PublishedSettings, name: &str, preset: &Preset, rules: &mut Rules) {
    let path = format!("presets.{name}");
    rules.name(&path, name);
    rules.need(!preset.classes.is_empty(), &format!("{path}.classes"), || {
        "at least one class is needed".to_owned()
    });
    let floors = preset.classes.iter().map(|c| c.floor_percent).sum::<f64>();
    rules.need(floors <= 100.0 + PERCENT_SLACK, &format!("{path}.classes"), || {
        format!("the floors sum up to {floors}%, at most 100% can be given away")
    });
    let mut names = IndexSet::new();
    let mut classes: IndexMap<&str, &str> = IndexMap::new();
    for (i, class) in preset.classes.iter().enumerate() {
        let path = format!("{path}.classes.{i}");
        check_class(&path, class, rules);
        rules.need(names.insert(&*class.name), &format!("{path}.name"), || {
            format!("class `{}` stands twice", class.name)
        });
        for operation in &class.operations {
            check_member(published, &path, class, operation, &mut classes, rules);
        }
    }
    check_complete(published, &path, &classes, rules);
}

fn check_class(path: &str, class: &ClassSettings, rules: &mut Rules) {
    rules.name(&format!("{path}.name"), &class.name);
    rules.count(&format!("{path}.timeout_ms"), class.timeout_ms, 1, TIMEOUT_MAX_MS);
    rules.percent(&format!("{path}.floor_percent"), class.floor_percent);
    if let Some(still) = class.still_ms {
        let path = format!("{path}.still_ms");
        rules.need(still > 0, &path, || "0 ms cannot be kept".to_owned());
        rules.need(still < class.timeout_ms, &path, || {
            format!("{still} ms is not below the class's timeout of {} ms", class.timeout_ms)
        });
    }
}

fn check_member<'a>(
    published: &PublishedSettings,
    path: &str,
    class: &'a ClassSettings,
    operation: &'a str,
    classes: &mut IndexMap<&'a str, &'a str>,
    rules: &mut Rules,
) {
    let path = format!("{path}.operations");
    rules.need(published.has_operation(operation), &path, || format!("no operation `{operation}`"));
    match classes.insert(operation, &class.name) {
        Some(other) if other == &*class.name => {
            rules.need(false, &path, || format!("`{operation}` stands twice"));
        }
        Some(other) => {
            rules.need(false, &path, || format!("`{operation}` is in class `{other}` already"));
        }
        None => {}
    }
}

fn check_complete(
    published: &PublishedSettings,
    path: &str,
    classes: &IndexMap<&str, &str>,
    rules: &mut Rules,
) {
    for (service, settings) in &published.services {
        for operation in settings.operations.keys() {
            let full = format!("{service}.{operation}");
            rules.need(classes.contains_key(full.as_str()), path, || {
                format!("operation `{full}` has no class")
            });
        }
    }
}
