//! Lifecycle of a gateway process: start, settings reload, planned stop and exit.

use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    calls,
    control::{self, ControlServers, HeartbeatSocket},
    gateway::{Gateway, VERSION},
    logging::{self, LineSink, LogWriter},
    settings::Settings,
    signals::BlockedSignals,
};
use azuretally_policy::balance::MESSAGE_GENERATION;
use error_stack::{Report, ResultExt};
use std::{
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};
use tokio::{
    runtime::{self, Runtime},
    signal::unix::{Signal, SignalKind, signal},
    sync::mpsc,
    task::LocalSet,
    time::sleep,
};

/// Interval at which the settings file is checked for changes without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a gateway with the settings file `path` until a signal stops it.
///
/// SIGTERM and SIGINT begin the planned stop, which lets calls in flight finish. SIGHUP reloads the
/// settings; the file is also checked for changes at a fixed interval.
///
/// # Errors
///
/// Returns a [`StartError`] if the gateway cannot start.
pub fn run<Adapter>(path: PathBuf, adapter: Adapter) -> Result<(), Report<StartError>>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Runtime)?;
    let signals = Signals::install(&runtime)?;
    let settings = load(&path, &adapter)?;
    let sink = LineSink::default();
    logging::init(&sink, &settings)?;
    let writer = LogWriter::start(&sink, io::stdout()).change_context(StartError::Log)?;
    log::info!(
        "gateway: start version={VERSION} generation={MESSAGE_GENERATION} settings={settings:?}"
    );
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(path, adapter, settings, signals));
    match &result {
        Ok(()) => log::info!("gateway: end"),
        Err(e) => log::error!("gateway: end, {e:?}"),
    }
    drop(local);
    drop(runtime);
    writer.close();
    result
}

/// Streams of the handled signals.
#[derive(Debug)]
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Until then a signal ends the process without a planned stop, so this
    /// comes before anything listens.
    fn install(runtime: &Runtime) -> Result<Self, Report<StartError>> {
        let _blocked = BlockedSignals::block().change_context(StartError::Runtime)?;
        let _context = runtime.enter();
        let install = |kind| signal(kind).change_context(StartError::Runtime);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }
}

async fn serve<Adapter>(
    path: PathBuf,
    adapter: Adapter,
    settings: Settings,
    mut signals: Signals,
) -> Result<(), Report<StartError>>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let listen = settings.listen;
    let (probe_sender, probe_receiver) = mpsc::unbounded_channel();
    let gateway = Rc::new(Gateway::new(adapter, settings, probe_sender));
    let heartbeats = HeartbeatSocket::bind(listen.heartbeats).await?;
    let control_servers = ControlServers::bind(&listen).await?;
    let call_server = calls::Server::bind(Rc::clone(&gateway), probe_receiver).await?;
    let handle_signals = async {
        let mut text = fs::read_to_string(&path).unwrap_or_default();
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => break,
                _ = signals.interrupt.recv() => break,
                _ = signals.hangup.recv() => log::info!("gateway: settings reload requested by SIGHUP"),
                () = sleep(SETTINGS_CHECK_INTERVAL) => {}
            }
            reload(&gateway, &path, &mut text);
        }
        log::info!("gateway: planned stop begins");
        gateway.drain.cancel();
        gateway.refresh_membership();
        gateway.changed.notify_waiters();
        gateway.shutdown.cancelled().await;
    };
    tokio::join!(
        call_server.run(),
        control::run(Rc::clone(&gateway), heartbeats, control_servers),
        handle_signals
    );
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

/// Applies the settings file if its text differs from `text`. Invalid settings are logged and the
/// current settings stay in force.
fn reload<Adapter>(gateway: &Gateway<Adapter>, path: &Path, text: &mut String)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let new_text = match fs::read_to_string(path) {
        Ok(new_text) => new_text,
        Err(e) => {
            log::warn!("gateway: settings file cannot be read, keeping the current settings: {e}");
            return;
        }
    };
    if new_text == *text {
        return;
    }
    *text = new_text;
    match parse(path, text, &gateway.adapter) {
        Ok(settings) => {
            log::info!("gateway: settings changed settings={settings:?}");
            gateway.reload_settings(settings);
        }
        Err(e) => log::warn!("gateway: settings refused, keeping the current settings: {e:?}"),
    }
}
