//! Open-loop load on a deployment that is running already.

use super::{callers::Callers, direct::Shape, drive};
use crate::core::{LoadError, mix::Mix, report, schedule::Plan, score::Tally};
use azuretally_settings::PublishedSettings;
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use serde::Serialize;
use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc};

/// What is to be sent, and where to.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Directions addresses of entries.
    pub directions: Vec<SocketAddr>,
    /// Published settings document, for the operations.
    pub settings: PathBuf,
    /// Operations with their weights.
    pub weights: Vec<(String, f64)>,
    /// Calls.
    pub plan: Plan,
    /// File for the results.
    pub json: Option<PathBuf>,
}

/// Results as written to the file.
#[derive(Clone, Debug, Serialize)]
struct Results {
    seed: u64,
    is_conserved: bool,
    crossed: u64,
    directions_asked: u64,
    total: Tally,
    operations: IndexMap<Arc<str>, Tally>,
}

/// Sends the load and prints the table; true when every call has exactly one outcome.
///
/// # Errors
///
/// [`LoadError`] when the load could not be sent or its results not written.
pub async fn run(options: &RunOptions) -> Result<bool, Report<LoadError>> {
    let path = &options.settings;
    let text = fs::read_to_string(path).change_context_lazy(|| LoadError::Read(path.clone()))?;
    let published = PublishedSettings::parse(&path.display().to_string(), &text)
        .change_context_lazy(|| LoadError::Settings(path.clone()))?;
    let mix = Mix::new(&published, &options.weights)?;
    let plan = &options.plan;
    let shape = Shape { mix: mix.clone(), seed: plan.seed, is_named: true };
    let callers = Arc::new(Callers::new(shape, plan.callers, options.directions.clone()));
    let outcomes = drive::drive(Arc::clone(&callers), plan.draw(&mix)).await?;
    callers.close().await;
    let results = Results {
        seed: plan.seed,
        is_conserved: outcomes.is_conserved(&mix),
        crossed: callers.crossed(),
        directions_asked: callers.asked(),
        total: outcomes.total(&mix),
        operations: outcomes.by_operation(&mix),
    };
    println!("{}", report::calls(&results.operations, &results.total));
    println!(
        "conservation {}: {} sent = {} answered + {} not run + {} unknown",
        if results.is_conserved { "holds" } else { "BROKEN" },
        outcomes.sent,
        results.total.answered,
        results.total.not_run,
        results.total.unknown,
    );
    if let Some(path) = &options.json {
        let write = || LoadError::Write(path.clone());
        let text = serde_json::to_string_pretty(&results).change_context_lazy(write)?;
        fs::write(path, text).change_context_lazy(write)?;
    }
    Ok(results.is_conserved && results.crossed == 0)
}
