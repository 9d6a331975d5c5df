//! Reads record lines and run counts.

use crate::AuditError;
use ::http::{Method, StatusCode};
use azuretally::util::http;
use azuretally_api::admin::{CopyPage, RecordPage};
use azuretally_policy::record::{Location, RunCounts, Verifier};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use serde::{Deserialize, de::DeserializeOwned};
use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};
use tokio::runtime;

/// Lines requested per page.
const PAGE_LINES: usize = 1_000;

/// Verifies every line of a file.
pub(crate) fn read_file(verifier: &mut Verifier, file: &Path) -> Result<(), Report<AuditError>> {
    let read_error = || AuditError::ReadFile(file.to_owned());
    let reader = BufReader::new(File::open(file).change_context_lazy(read_error)?);
    let source: Arc<str> = file.display().to_string().into();
    verifier.start_source();
    for (i, line) in reader.lines().enumerate() {
        let line = line.change_context_lazy(read_error)?;
        verifier.add_line(Location::from((&source, i + 1)), &line);
    }
    Ok(())
}

/// Verifies the lines that the entries still keep: first their own, then the copies that they hold
/// for their peers.
pub(crate) fn read_entries(
    verifier: &mut Verifier,
    entries: &[SocketAddr],
    token_file: Option<&Path>,
) -> Result<(), Report<AuditError>> {
    if entries.is_empty() {
        return Ok(());
    }
    let token = match token_file {
        Some(path) => {
            let text = fs::read_to_string(path);
            Some(text.change_context_lazy(|| AuditError::ReadFile(path.to_owned()))?)
        }
        None => None,
    };
    let token = token.as_deref().map(str::trim);
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.change_context(AuditError::Runtime)?;
    for entry in entries {
        verifier.start_source();
        runtime.block_on(read_entry(verifier, *entry, token))?;
    }
    for entry in entries {
        verifier.start_source();
        runtime.block_on(read_copies(verifier, *entry, token))?;
    }
    Ok(())
}

/// Verifies the own lines of an entry.
async fn read_entry(
    verifier: &mut Verifier,
    entry: SocketAddr,
    token: Option<&str>,
) -> Result<(), Report<AuditError>> {
    let source: Arc<str> = entry.to_string().into();
    let (mut after, mut line_number) = (0, 0);
    loop {
        let path = format!("/records?after={after}&limit={PAGE_LINES}");
        let page: RecordPage = get(entry, &path, token).await?;
        let Some(last) = page.lines.last() else { return Ok(()) };
        after = last.sequence;
        for line in &page.lines {
            line_number += 1;
            let text = serde_json::to_string(line).change_context(AuditError::Response(entry))?;
            verifier.add_line(Location::from((&source, line_number)), &text);
        }
        if after >= page.last {
            return Ok(());
        }
    }
}

/// Verifies the copies that an entry holds for its peers. The copies from one peer may be
/// incomplete, since it may have sent its other lines to other entries.
async fn read_copies(
    verifier: &mut Verifier,
    entry: SocketAddr,
    token: Option<&str>,
) -> Result<(), Report<AuditError>> {
    let source: Arc<str> = format!("{entry}/copies").into();
    let (mut after, mut line_number) = (0, 0);
    loop {
        let path = format!("/copies?after={after}&limit={PAGE_LINES}");
        let page: CopyPage = get(entry, &path, token).await?;
        if page.lines.is_empty() {
            return Ok(());
        }
        after = page.next;
        for line in &page.lines {
            line_number += 1;
            let text = serde_json::to_string(line).change_context(AuditError::Response(entry))?;
            verifier.add_line(Location::from((&source, line_number)), &text);
        }
    }
}

/// Sends a GET request to an entry and parses the JSON body of the response.
async fn get<T>(entry: SocketAddr, path: &str, token: Option<&str>) -> Result<T, Report<AuditError>>
where
    T: DeserializeOwned,
{
    let response = http::send(Method::GET, entry, path, token).await;
    let (status, body) = response.change_context(AuditError::Request(entry))?;
    if status != StatusCode::OK {
        return Err(Report::new(AuditError::Status(entry, status.as_u16())));
    }
    serde_json::from_slice(&body).change_context(AuditError::Response(entry))
}

/// Runs counted by one target, by idempotency key.
#[derive(Debug, Deserialize)]
struct TargetRuns {
    runs: IndexMap<String, KeyRuns>,
}

/// Runs of one key: a number, or the report of a stand-in target.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum KeyRuns {
    Runs(u64),
    Report { starts: u64 },
}

/// Adds up the run counts in `files`; returns `None` if there is no file.
pub(crate) fn read_runs(files: &[PathBuf]) -> Result<Option<RunCounts>, Report<AuditError>> {
    let mut total = None;
    for file in files {
        let text = fs::read(file).change_context_lazy(|| AuditError::ReadFile(file.clone()))?;
        let counted: TargetRuns = serde_json::from_slice(&text)
            .change_context_lazy(|| AuditError::RunCounts(file.clone()))?;
        let total = total.get_or_insert_with(RunCounts::new);
        for (key, runs) in counted.runs {
            let (KeyRuns::Runs(starts) | KeyRuns::Report { starts }) = runs;
            *total.entry(key).or_default() += starts;
        }
    }
    Ok(total)
}
