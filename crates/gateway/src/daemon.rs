//! Start, reload, planned stop and end of a gateway.

use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    calls,
    control::{self, ControlServers, HeartbeatSocket},
    gateway::Gateway,
    logging::{self, LineSink, LogWriter},
    settings::Settings,
};
use error_stack::{Report, ResultExt};
use std::{
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    task::LocalSet,
    time::sleep,
};

/// Time between two looks whether the settings file has changed without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// Runs a gateway with the settings file `path` until it is told to stop.
///
/// SIGTERM and SIGINT begin the planned stop: calls in flight are finished first. SIGHUP reads the
/// settings again.
///
/// # Errors
///
/// [`StartError`] when the gateway cannot start.
pub fn run<Adapter>(path: PathBuf, adapter: Adapter) -> Result<(), Report<StartError>>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let settings = load(&path, &adapter)?;
    let sink = LineSink::default();
    logging::init(&sink, &settings)?;
    let writer = LogWriter::start(&sink, io::stdout()).change_context(StartError::Log)?;
    log::info!("gateway: start settings={settings:?}");
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Runtime)?;
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, serve(path, adapter, settings));
    match &result {
        Ok(()) => log::info!("gateway: end"),
        Err(e) => log::error!("gateway: end, {e:?}"),
    }
    drop(tasks);
    drop(runtime);
    writer.close();
    result
}

async fn serve<Adapter>(
    path: PathBuf,
    adapter: Adapter,
    settings: Settings,
) -> Result<(), Report<StartError>>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let listen = settings.listen;
    let (probes, orders) = mpsc::unbounded_channel();
    let gateway = Rc::new(Gateway::new(adapter, settings, probes));
    let heartbeats = HeartbeatSocket::bind(listen.heartbeats).await?;
    let answers = ControlServers::bind(&listen).await?;
    let server = calls::Server::bind(Rc::clone(&gateway), orders).await?;
    let mut terminate = signal(SignalKind::terminate()).change_context(StartError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(StartError::Runtime)?;
    let mut hangup = signal(SignalKind::hangup()).change_context(StartError::Runtime)?;
    let signals = async {
        let mut text = fs::read_to_string(&path).unwrap_or_default();
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => log::info!("gateway: told to read its settings again"),
                () = sleep(LOOK) => {}
            }
            reload(&gateway, &path, &mut text);
        }
        log::info!("gateway: planned stop begins");
        gateway.drain.cancel();
        gateway.refresh_membership();
        gateway.changed.notify_waiters();
        gateway.shutdown.cancelled().await;
    };
    tokio::join!(server.run(), control::run(Rc::clone(&gateway), heartbeats, answers), signals);
    Ok(())
}

fn load<Adapter>(path: &Path, adapter: &Adapter) -> Result<Settings, Report<StartError>>
where
    Adapter: CallAdapter,
{
    let text =
        fs::read_to_string(path).change_context_lazy(|| StartError::ReadFile(path.to_owned()))?;
    parse(path, &text, adapter)
}

fn parse<Adapter>(
    path: &Path,
    text: &str,
    adapter: &Adapter,
) -> Result<Settings, Report<StartError>>
where
    Adapter: CallAdapter,
{
    let mut settings = Settings::parse(path, text).change_context(StartError::Settings)?;
    adapter.configure(&mut settings);
    Ok(settings)
}

/// Takes over settings that changed. Settings that cannot be used leave those in force.
fn reload<Adapter>(gateway: &Gateway<Adapter>, path: &Path, text: &mut String)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let new = match fs::read_to_string(path) {
        Ok(new) => new,
        Err(e) => {
            log::warn!("gateway: settings cannot be read, kept: {e}");
            return;
        }
    };
    if new == *text {
        return;
    }
    *text = new;
    match parse(path, text, &gateway.adapter) {
        Ok(settings) => {
            log::info!("gateway: settings changed settings={settings:?}");
            gateway.reload_settings(settings);
        }
        Err(e) => log::warn!("gateway: settings refused, kept: {e:?}"),
    }
}
