//! Client of the administration API of entries.

use super::{CliError, Context};
use crate::util::http;
use ::http::{Method, StatusCode};
use azuretally_api::admin::EntryStatus;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, de::DeserializeOwned};
use std::{fs, net::SocketAddr};
use tokio::runtime::{self, Runtime};

/// Client for the entries given on the command line.
#[derive(Debug)]
pub struct Entries {
    runtime: Runtime,
    addresses: Vec<SocketAddr>,
    token: Option<String>,
}

/// Response of one entry.
#[derive(Debug)]
pub struct Response<T> {
    /// Administration address of the entry.
    pub address: SocketAddr,
    /// Content of the response, or why there is none.
    pub result: Result<T, Report<CliError>>,
}

/// Body of an error response.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    message: String,
}

impl Entries {
    /// Creates a client for the entries of `context`.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::NoEntryGiven`] if there are none, [`CliError::ReadFile`] if the token
    /// cannot be read, [`CliError::Internal`] if the async runtime cannot be started.
    pub fn new(context: &Context) -> Result<Self, Report<CliError>> {
        if context.entries.is_empty() {
            return Err(Report::new(CliError::NoEntryGiven));
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
        let runtime = runtime.change_context(CliError::Internal)?;
        Ok(Self { runtime, addresses: context.entries.clone(), token })
    }

    /// Requests `path` from all entries concurrently and parses the responses as JSON.
    pub fn get<T>(&self, path: &str) -> Vec<Response<T>>
    where
        T: DeserializeOwned,
    {
        let responses = self.get_bytes(path).into_iter();
        responses
            .map(|Response { address, result }| Response {
                address,
                result: result.and_then(|body| {
                    serde_json::from_slice(&body).change_context(CliError::InvalidBody(address))
                }),
            })
            .collect()
    }

    /// Requests `path` from all entries concurrently.
    pub fn get_bytes(&self, path: &str) -> Vec<Response<Bytes>> {
        self.runtime.block_on(async {
            let requests = self.addresses.iter().map(|address| async move {
                let result = self.send(Method::GET, *address, path).await;
                Response { address: *address, result }
            });
            futures_util::future::join_all(requests).await
        })
    }

    /// Requests the state of all entries.
    pub fn status(&self) -> Vec<Response<EntryStatus>> {
        self.get("/status")
    }

    /// Sends a POST request to one entry and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Request`] if there is no response, [`CliError::ErrorResponse`] if the
    /// entry returns an error, [`CliError::InvalidBody`] if the body is not the expected JSON.
    pub fn post<T>(&self, address: SocketAddr, path: &str) -> Result<T, Report<CliError>>
    where
        T: DeserializeOwned,
    {
        let body = self.runtime.block_on(self.send(Method::POST, address, path))?;
        serde_json::from_slice(&body).change_context(CliError::InvalidBody(address))
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, Report<CliError>> {
        let response = http::send(method, address, path, self.token.as_deref()).await;
        let (status, body) = response.change_context(CliError::Request(address))?;
        if status.is_success() {
            return Ok(body);
        }
        Err(Report::new(error_response(address, status, &body)))
    }
}

fn error_response(address: SocketAddr, status: StatusCode, body: &[u8]) -> CliError {
    let message = serde_json::from_slice::<ErrorBody>(body)
        .map_or_else(|_| String::from_utf8_lossy(body).into_owned(), |b| b.message);
    CliError::ErrorResponse { address, status: status.as_u16(), message }
}

/// Prints a warning for each failed request. Returns the successful responses and the number of
/// failed requests.
pub(crate) fn split_responses<T>(responses: Vec<Response<T>>) -> (Vec<(SocketAddr, T)>, usize) {
    let total = responses.len();
    let mut values = Vec::new();
    for Response { address, result } in responses {
        match result {
            Ok(value) => values.push((address, value)),
            Err(report) => super::print_error("warning", &report),
        }
    }
    let failed = total - values.len();
    (values, failed)
}
