//! Control work: platform, peers and the view.
//!
//! It runs on a thread of its own, so that request load cannot starve it and its cost can be read
//! per thread. Decisions are made by `azuretally_policy::fleet`.

mod assemble;
mod error;
mod platform;

pub use assemble::{Inputs, assemble};
pub use error::PlatformError;

use crate::context::Context;
use azuretally_api::{
    admin::RefusedRevision,
    platform::{HOSTS_PATH, HostList, SETTINGS_PATH},
};
use azuretally_settings::Published;
use platform::{Answer, Platform};
use std::{cell::RefCell, sync::Arc, time::Duration};

const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Runs until the end of the process.
pub async fn run(context: &Arc<Context>) {
    let inputs = RefCell::new(Inputs::default());
    tokio::select! {
        () = context.end.cancelled() => {}
        () = follow(context, SETTINGS_PATH, |a| take_settings(context, &inputs, a)) => {}
        () = follow(context, HOSTS_PATH, |a| take_hosts(context, &inputs, a)) => {}
    }
}

async fn follow<Take>(context: &Context, path: &str, take: Take)
where
    Take: Fn(Answer),
{
    let mut platform = Platform::new(context.local.platform.clone());
    let mut after = 0;
    loop {
        match platform.watch(path, after).await {
            Ok(Some(answer)) => {
                after = after.max(answer.revision);
                take(answer);
            }
            Ok(None) => {}
            Err(e) => {
                log::warn!("control: platform {path}: {e}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn take_settings(context: &Context, inputs: &RefCell<Inputs>, answer: Answer) {
    let mut inputs = inputs.borrow_mut();
    if answer.revision <= inputs.revision {
        return;
    }
    match Published::parse("settings", &answer.text) {
        Ok(published) => {
            inputs.published = Some(Arc::new(published));
            inputs.revision = answer.revision;
            inputs.since = context.clock.now();
            log::info!("control: settings revision={} in force", answer.revision);
        }
        Err(e) => {
            log::warn!("control: settings revision={} refused", answer.revision);
            inputs.refused =
                Some(RefusedRevision { revision: answer.revision, reason: e.to_string() });
        }
    }
    context.publish(assemble(context, &inputs));
}

fn take_hosts(context: &Context, inputs: &RefCell<Inputs>, answer: Answer) {
    let mut inputs = inputs.borrow_mut();
    if answer.revision <= inputs.hosts.revision {
        return;
    }
    match serde_json::from_str::<HostList>(&answer.text) {
        Ok(hosts) => inputs.hosts = HostList { revision: answer.revision, ..hosts },
        Err(e) => log::warn!("control: host list revision={} refused: {e}", answer.revision),
    }
    context.publish(assemble(context, &inputs));
}
