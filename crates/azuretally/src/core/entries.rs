//! Asks entries over their administration API.

use super::{CliError, Context};
use crate::util::http;
use ::http::{Method, StatusCode};
use azuretally_api::admin::EntryStatus;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, de::DeserializeOwned};
use std::{fs, net::SocketAddr};
use tokio::runtime::{self, Runtime};

/// The entries named on the command line.
#[derive(Debug)]
pub struct Entries {
    runtime: Runtime,
    addresses: Vec<SocketAddr>,
    token: Option<String>,
}

/// What one entry answered.
#[derive(Debug)]
pub struct Answer<T> {
    /// Administration address of the entry.
    pub address: SocketAddr,
    /// Its answer, or why there is none.
    pub result: Result<T, Report<CliError>>,
}

/// The body of an error answer.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    message: String,
}

impl Entries {
    /// Gets ready to ask the entries of `context`.
    ///
    /// # Errors
    ///
    /// [`CliError::NoEntry`] when none is named, [`CliError::ReadFile`] when the token cannot be
    /// read.
    pub fn new(context: &Context) -> Result<Self, Report<CliError>> {
        if context.entries.is_empty() {
            return Err(Report::new(CliError::NoEntry));
        }
        let token = match &context.token_file {
            Some(path) => {
                let text = fs::read_to_string(path)
                    .change_context_lazy(|| CliError::ReadFile(path.clone()))?;
                Some(text.trim().to_owned())
            }
            None => None,
        };
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.change_context(CliError::Terminal)?;
        Ok(Self { runtime, addresses: context.entries.clone(), token })
    }

    /// Asks every entry for `path`, all at once, and reads JSON.
    pub fn get<T>(&self, path: &str) -> Vec<Answer<T>>
    where
        T: DeserializeOwned,
    {
        let answers = self.get_bytes(path).into_iter();
        answers
            .map(|Answer { address, result }| Answer {
                address,
                result: result.and_then(|body| {
                    serde_json::from_slice(&body).change_context(CliError::Body(address))
                }),
            })
            .collect()
    }

    /// Asks every entry for `path`, all at once.
    pub fn get_bytes(&self, path: &str) -> Vec<Answer<Bytes>> {
        self.runtime.block_on(async {
            let asked = self.addresses.iter().map(|address| async move {
                let result = self.send(Method::GET, *address, path).await;
                Answer { address: *address, result }
            });
            futures_util::future::join_all(asked).await
        })
    }

    /// State of every entry.
    pub fn status(&self) -> Vec<Answer<EntryStatus>> {
        self.get("/status")
    }

    /// Sends a request that changes something to one entry and reads JSON.
    ///
    /// # Errors
    ///
    /// [`CliError::Ask`], [`CliError::Answer`] or [`CliError::Body`].
    pub fn post<T>(&self, address: SocketAddr, path: &str) -> Result<T, Report<CliError>>
    where
        T: DeserializeOwned,
    {
        let body = self.runtime.block_on(self.send(Method::POST, address, path))?;
        serde_json::from_slice(&body).change_context(CliError::Body(address))
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, Report<CliError>> {
        let answer = http::send(method, address, path, self.token.as_deref()).await;
        let (status, body) = answer.change_context(CliError::Ask(address))?;
        if status.is_success() {
            return Ok(body);
        }
        Err(Report::new(refusal(address, status, &body)))
    }
}

fn refusal(address: SocketAddr, status: StatusCode, body: &[u8]) -> CliError {
    let message = serde_json::from_slice::<ErrorBody>(body)
        .map_or_else(|_| String::from_utf8_lossy(body).into_owned(), |b| b.message);
    CliError::Answer { address, status: status.as_u16(), message }
}

/// Prints why an entry gave no answer, and gives the answers of the others.
pub(crate) fn split<T>(answers: Vec<Answer<T>>) -> (Vec<(SocketAddr, T)>, usize) {
    let asked = answers.len();
    let mut good = Vec::new();
    for Answer { address, result } in answers {
        match result {
            Ok(value) => good.push((address, value)),
            Err(report) => super::print_error("warning", &report),
        }
    }
    let silent = asked - good.len();
    (good, silent)
}
