//! `azuretally-standin-proxy`: forwards TCP connections and injects faults into them at run time.

use azuretally_standin::{
    StandinError, http, program,
    proxy::{self, Link},
};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use std::{net::SocketAddr, process::ExitCode, sync::Arc};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const USAGE: &str =
    "Usage: azuretally-standin-proxy --control ADDR --link NAME=LISTEN-TARGET [--link ...]";

#[derive(Clone)]
struct LinkOptions {
    name: Arc<str>,
    listen: SocketAddr,
    target: SocketAddr,
}

struct Options {
    control: SocketAddr,
    links: Vec<LinkOptions>,
}

fn main() -> ExitCode {
    program::run(USAGE, parse(), run)
}

fn run(options: Options) -> Result<(), Report<StandinError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StandinError::Runtime)?;
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let mut links = IndexMap::new();
        for options in options.links {
            let link = Arc::new(Link::new(options.target));
            let listener = http::listen(options.listen)?;
            tasks.spawn(Arc::clone(&link).run(listener, stop.clone()));
            links.insert(options.name, link);
        }
        let listener = http::listen(options.control)?;
        println!("ready {}", options.control);
        proxy::serve(Arc::new(links), listener, stop).await;
        tasks.shutdown().await;
        Ok(())
    })
}

fn parse() -> Result<Options, lexopt::Error> {
    use lexopt::prelude::{Long, ValueExt};
    let mut control = None;
    let mut links = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("control") => control = Some(parser.value()?.parse()?),
            Long("link") => links.push(parser.value()?.parse_with(parse_link)?),
            _ => return Err(arg.unexpected()),
        }
    }
    let control = control.ok_or("--control is required")?;
    Ok(Options { control, links })
}

fn parse_link(text: &str) -> Result<LinkOptions, lexopt::Error> {
    let parts = text.split_once('=').and_then(|(name, rest)| Some((name, rest.split_once('-')?)));
    let (name, (listen, target)) = parts.ok_or("expected NAME=LISTEN-TARGET")?;
    let parse_address = |text: &str| text.parse().map_err(|_| "invalid socket address");
    Ok(LinkOptions {
        name: Arc::from(name),
        listen: parse_address(listen)?,
        target: parse_address(target)?,
    })
}
