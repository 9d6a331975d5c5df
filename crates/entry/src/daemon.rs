//! Startup, planned stop and shutdown of an entry.

use crate::{StartError, admin, calls, context::Context, control, record, signals::BlockedSignals};
use azuretally_settings::LocalSettings;
use error_stack::{Report, ResultExt};
use std::{sync::Arc, thread};
use tokio::{
    runtime::{self, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

/// Runs an entry until it is stopped. `text` holds the local settings and `source` names their
/// file.
///
/// SIGTERM, SIGINT and the administration API begin a planned stop, which finishes the calls in
/// flight first.
///
/// # Errors
///
/// Returns a [`StartError`] if the entry cannot start. A failure to start the control loop or the
/// administration API is only logged and begins a planned stop.
pub fn run(source: &str, text: &str) -> Result<(), Report<StartError>> {
    let local = LocalSettings::parse(source, text).change_context(StartError::Settings)?;
    init_logging(&local)?;
    let peer_key = std::fs::read(&local.peer_key_file)
        .change_context_lazy(|| StartError::ReadFile(local.peer_key_file.clone()))?;
    let context = Arc::new(Context::new(local, peer_key)?);
    // Before anything listens: until then, SIGTERM ends the process without a planned stop.
    let blocked = BlockedSignals::block().change_context(StartError::Runtime)?;
    let runtime = build_runtime(&context)?;
    let signals = StopSignals::install(&runtime)?;
    drop(blocked);
    log::info!("entry: start host={} run={}", context.local.host, context.incarnation);

    let control_thread = spawn_control(&context)?;
    let result = runtime.block_on(serve(&context, signals));
    context.shutdown.cancel();
    if control_thread.join().is_err() {
        log::error!("entry: the control thread panicked");
    }
    if let Some(tracing) = &context.tracing {
        tracing.shutdown();
    }
    log::info!("entry: end");
    result
}

/// Signals that begin a planned stop.
#[derive(Debug)]
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn install(runtime: &Runtime) -> Result<Self, Report<StartError>> {
        let _context = runtime.enter();
        let install = |kind| signal(kind).change_context(StartError::Runtime);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn build_runtime(context: &Context) -> Result<Runtime, Report<StartError>> {
    let mut builder = runtime::Builder::new_multi_thread();
    builder.enable_all().thread_name("calls");
    if let Some(threads) = context.local.call_threads {
        builder.worker_threads(threads);
    }
    builder.build().change_context(StartError::Runtime)
}

async fn serve(context: &Arc<Context>, mut signals: StopSignals) -> Result<(), Report<StartError>> {
    let server = calls::Server::bind(Arc::clone(context)).await?;
    let stop = context.stop.clone();
    let stop_listener = tokio::spawn(async move {
        tokio::select! {
            () = signals.received() => {}
            () = stop.cancelled() => {}
        }
        log::info!("entry: planned stop begins");
        stop.cancel();
    });
    server.run().await;
    stop_listener.abort();
    let _ = stop_listener.await;
    Ok(())
}

fn spawn_control(context: &Arc<Context>) -> Result<thread::JoinHandle<()>, Report<StartError>> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Runtime)?;
    let context = Arc::clone(context);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                let admin = serve_admin(&context);
                let control = run_control(&context);
                tokio::join!(control, admin, record::run(&context));
            });
        })
        .change_context(StartError::Runtime)
}

async fn run_control(context: &Arc<Context>) {
    if let Err(report) = control::run(context).await {
        log::error!("control: {report:?}");
        context.stop.cancel();
    }
}

async fn serve_admin(context: &Arc<Context>) {
    if let Err(report) = admin::run(context).await {
        log::error!("admin: {report:?}");
        context.stop.cancel();
    }
}

fn init_logging(local: &LocalSettings) -> Result<(), Report<StartError>> {
    let level = local.log_level.as_deref().unwrap_or("info");
    let level = level.parse::<log::LevelFilter>().change_context(StartError::Log)?;
    fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(log::LevelFilter::Warn)
        .level_for("azuretally_entry", level)
        .chain(std::io::stderr())
        .apply()
        .change_context(StartError::Log)
}
