//! Blocking of signals while their handlers are installed.
//!
//! Between the system call that installs a handler and the entry of its receiver in the runtime's
//! table, a signal is taken and dropped. A blocked signal stays pending instead.

use nix::sys::signal::{SigSet, SigmaskHow, Signal};
use std::io;

/// Signals that a daemon handles.
const HANDLED_SIGNALS: [Signal; 3] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];

/// Blocks the handled signals until dropped, in the calling thread and in the threads that it starts
/// meanwhile, where they stay blocked.
#[derive(Debug)]
pub struct BlockedSignals {
    previous: SigSet,
}

impl BlockedSignals {
    /// Blocks SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call.
    pub fn block() -> io::Result<Self> {
        let handled: SigSet = HANDLED_SIGNALS.into_iter().collect();
        Ok(Self { previous: handled.thread_swap_mask(SigmaskHow::SIG_BLOCK)? })
    }
}

impl Drop for BlockedSignals {
    fn drop(&mut self) {
        if let Err(e) = self.previous.thread_set_mask() {
            log::error!("gateway: cannot restore the signal mask: {e}");
        }
    }
}
