//! Open-loop load on a running deployment.

use super::{callers::Callers, direct::RequestTemplate, open_loop};
use crate::core::{LoadError, mix::Mix, report, schedule::Plan, stats::CallStats};
use azuretally_settings::PublishedSettings;
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use serde::Serialize;
use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc};

/// Options of the command.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Addresses of entries for lookups of directions.
    pub directions: Vec<SocketAddr>,
    /// File with the published settings, which define the operations.
    pub settings: PathBuf,
    /// Names of the operations and their weights.
    pub weights: Vec<(String, f64)>,
    /// Plan of the calls.
    pub plan: Plan,
    /// File for the results as JSON, if they are to be written.
    pub json: Option<PathBuf>,
}

/// Contents of the JSON report.
#[derive(Clone, Debug, Serialize)]
struct Results {
    seed: u64,
    is_conserved: bool,
    /// Successful answers that belonged to another call.
    crossed: u64,
    /// Lookups of directions that were sent.
    directions_asked: u64,
    total: CallStats,
    operations: IndexMap<Arc<str>, CallStats>,
}

/// Sends the load and prints the table. Returns true if every call has exactly one outcome and no
/// answer belonged to another call.
///
/// # Errors
///
/// [`LoadError`] if the load cannot be sent or the results cannot be written.
pub async fn run(options: &RunOptions) -> Result<bool, Report<LoadError>> {
    let path = &options.settings;
    let text =
        fs::read_to_string(path).change_context_lazy(|| LoadError::ReadFile(path.clone()))?;
    let published = PublishedSettings::parse(&path.display().to_string(), &text)
        .change_context_lazy(|| LoadError::InvalidDocument(path.clone()))?;
    let mix = Mix::new(&published, &options.weights)?;
    let plan = &options.plan;
    let template = RequestTemplate { mix: mix.clone(), seed: plan.seed, has_id: true };
    let callers = Arc::new(Callers::new(template, plan.callers, options.directions.clone()));
    let outcomes = open_loop::run(Arc::clone(&callers), plan.generate_calls(&mix)).await?;
    callers.close().await;
    let results = Results {
        seed: plan.seed,
        is_conserved: outcomes.is_conserved(&mix),
        crossed: callers.mismatched_answers(),
        directions_asked: callers.lookups(),
        total: outcomes.total(&mix),
        operations: outcomes.by_operation(&mix),
    };
    println!("{}", report::call_table(&results.operations, &results.total));
    println!(
        "conservation {}: {} sent = {} answered + {} not run + {} unknown",
        if results.is_conserved { "holds" } else { "BROKEN" },
        outcomes.sent,
        results.total.answered,
        results.total.not_run,
        results.total.unknown,
    );
    if let Some(path) = &options.json {
        let write = || LoadError::WriteFile(path.clone());
        let text = serde_json::to_string_pretty(&results).change_context_lazy(write)?;
        fs::write(path, text).change_context_lazy(write)?;
    }
    Ok(results.is_conserved && results.crossed == 0)
}
