//! Which operations are called, and how often.

use super::LoadError;
use azuretally_settings::PublishedSettings;
use error_stack::{Report, ResultExt};
use std::{sync::Arc, time::Duration};

/// One operation as a caller knows it.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name as `service.operation`.
    pub name: Arc<str>,
    /// Name of the class under the preset in force at the start.
    pub class: Arc<str>,
    /// HTTP method.
    pub method: http::Method,
    /// Whole path of the call.
    pub path: String,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Worth of one answer in time.
    pub worth: f64,
    /// Time within which an answer counts.
    pub timeout: Duration,
    /// Share of the calls, relative to the other weights.
    pub weight: f64,
}

/// All operations of one load.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    /// Operations; a call names one by index.
    pub operations: Vec<Operation>,
}

impl Mix {
    /// Looks the operations of `weights` (`service.operation` and weight) up in `published`.
    ///
    /// # Errors
    ///
    /// [`LoadError::UnknownOperation`] when a name is not in the document.
    pub fn new(
        published: &PublishedSettings,
        weights: &[(String, f64)],
    ) -> Result<Self, Report<LoadError>> {
        let mut operations = Vec::with_capacity(weights.len());
        for (name, weight) in weights {
            let operation = find(published, name, *weight)
                .ok_or_else(|| Report::new(LoadError::UnknownOperation(name.clone())))?;
            operations.push(operation);
        }
        Ok(Self { operations })
    }

    /// Reads weights written as `till.balance=60,till.sale=30`.
    ///
    /// # Errors
    ///
    /// [`LoadError::Usage`] when an item is not a name and a positive number.
    pub fn parse_weights(text: &str) -> Result<Vec<(String, f64)>, Report<LoadError>> {
        text.split(',').map(parse_weight).collect()
    }
}

fn parse_weight(item: &str) -> Result<(String, f64), Report<LoadError>> {
    let usage = || Report::new(LoadError::Usage).attach(format!("bad weight `{item}`"));
    let (name, weight) = item.split_once('=').ok_or_else(usage)?;
    let weight: f64 = weight.parse().change_context_lazy(|| LoadError::Usage)?;
    if weight.is_finite() && weight > 0.0 {
        Ok((name.trim().to_owned(), weight))
    } else {
        Err(usage())
    }
}

fn find(published: &PublishedSettings, name: &str, weight: f64) -> Option<Operation> {
    let (service, short) = name.split_once('.')?;
    let settings = published.services.get(service)?;
    let operation = settings.operations.get(short)?;
    let preset = published.active_preset()?;
    let class = preset.classes.iter().find(|c| c.operations.iter().any(|o| **o == *name))?;
    Some(Operation {
        service: Arc::from(service),
        name: Arc::from(name),
        class: Arc::clone(&class.name),
        method: operation.method.parse().ok()?,
        path: format!("{}{}", settings.path, operation.path),
        idempotent: operation.idempotent,
        worth: operation.worth,
        timeout: Duration::from_millis(class.timeout_ms.into()),
        weight,
    })
}
