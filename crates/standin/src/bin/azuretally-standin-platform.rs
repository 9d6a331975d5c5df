//! `azuretally-standin-platform`: publishes settings and the host list, and counts read requests.

use azuretally_standin::{
    StandinError, http,
    platform::{self, Platform},
    program,
};
use error_stack::{Report, ResultExt};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc};
use tokio_util::sync::CancellationToken;

const USAGE: &str = "Usage: azuretally-standin-platform --listen ADDR --settings FILE --hosts FILE";

struct Options {
    listen: SocketAddr,
    settings: PathBuf,
    hosts: PathBuf,
}

fn main() -> ExitCode {
    program::run(USAGE, parse(), run)
}

fn run(options: Options) -> Result<(), Report<StandinError>> {
    let read = |path: &PathBuf| {
        std::fs::read_to_string(path).change_context_lazy(|| StandinError::ReadFile(path.clone()))
    };
    let settings = read(&options.settings)?;
    let hosts = serde_json::from_str(&read(&options.hosts)?)
        .change_context_lazy(|| StandinError::Parse(options.hosts.clone()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StandinError::Runtime)?;
    runtime.block_on(async {
        let listener = http::listen(options.listen)?;
        println!("ready {}", options.listen);
        let platform = Arc::new(Platform::new(&settings, hosts));
        platform::serve(platform, listener, CancellationToken::new()).await;
        Ok(())
    })
}

fn parse() -> Result<Options, lexopt::Error> {
    use lexopt::prelude::{Long, ValueExt};
    let (mut listen, mut settings, mut hosts) = (None, None, None);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("settings") => settings = Some(parser.value()?.into()),
            Long("hosts") => hosts = Some(parser.value()?.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    match (listen, settings, hosts) {
        (Some(listen), Some(settings), Some(hosts)) => Ok(Options { listen, settings, hosts }),
        _ => Err("--listen, --settings and --hosts are required".into()),
    }
}
