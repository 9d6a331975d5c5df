//! Mix of operations: which operations are called, and how often relative to each other.

use super::LoadError;
use azuretally_settings::PublishedSettings;
use error_stack::{Report, ResultExt};
use std::{sync::Arc, time::Duration};

/// Operation from the point of view of a caller.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Name of the service.
    pub service: Arc<str>,
    /// Full name in the form `service.operation`.
    pub name: Arc<str>,
    /// Name of the class in the preset that is active at the start.
    pub class: Arc<str>,
    /// HTTP method.
    pub method: http::Method,
    /// Full path, including the prefix of the service.
    pub path: String,
    /// Whether a call may be executed more than once.
    pub idempotent: bool,
    /// Worth of one successful answer in time.
    pub worth: f64,
    /// Longest latency at which an answer counts as in time.
    pub timeout: Duration,
    /// Relative frequency, as a weight against those of the other operations.
    pub weight: f64,
}

/// Operations of one load.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    /// Operations. Calls refer to them by index.
    pub operations: Vec<Operation>,
}

impl Mix {
    /// Looks up the operations of `weights` (pairs of `service.operation` and weight) in
    /// `published`.
    ///
    /// # Errors
    ///
    /// [`LoadError::UnknownOperation`] if an operation is not defined, has an invalid method or
    /// belongs to no class of the active preset.
    pub fn new(
        published: &PublishedSettings,
        weights: &[(String, f64)],
    ) -> Result<Self, Report<LoadError>> {
        let mut operations = Vec::with_capacity(weights.len());
        for (name, weight) in weights {
            let operation = find_operation(published, name, *weight)
                .ok_or_else(|| Report::new(LoadError::UnknownOperation(name.clone())))?;
            operations.push(operation);
        }
        Ok(Self { operations })
    }

    /// Parses weights in the form `till.balance=60,till.sale=30`.
    ///
    /// # Errors
    ///
    /// [`LoadError::InvalidArguments`] if an item is not a name with a positive finite number.
    pub fn parse_weights(text: &str) -> Result<Vec<(String, f64)>, Report<LoadError>> {
        text.split(',').map(parse_weight).collect()
    }
}

fn parse_weight(item: &str) -> Result<(String, f64), Report<LoadError>> {
    let invalid_weight =
        || Report::new(LoadError::InvalidArguments).attach(format!("invalid weight `{item}`"));
    let (name, weight) = item.split_once('=').ok_or_else(invalid_weight)?;
    let weight: f64 = weight.parse().change_context_lazy(|| LoadError::InvalidArguments)?;
    if weight.is_finite() && weight > 0.0 {
        Ok((name.trim().to_owned(), weight))
    } else {
        Err(invalid_weight())
    }
}

fn find_operation(published: &PublishedSettings, name: &str, weight: f64) -> Option<Operation> {
    let (service, operation_name) = name.split_once('.')?;
    let settings = published.services.get(service)?;
    let operation = settings.operations.get(operation_name)?;
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
