//! A gateway process, which takes every signal that planned work sends.

use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// A gateway process, which is killed and reaped when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    log: PathBuf,
    has_exited: bool,
}

impl Process {
    /// Starts a gateway of the build at `binary` with a settings file. Its output is appended to
    /// `log`.
    pub(crate) fn start(binary: &Path, settings: &Path, log: PathBuf) -> Self {
        let open = || File::options().create(true).append(true).open(&log);
        let child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(open().expect("failed to open the log of a gateway"))
            .stderr(open().expect("failed to open the log of a gateway"))
            .spawn()
            .unwrap_or_else(|e| panic!("failed to start {}: {e}", binary.display()));
        Self { child, log, has_exited: false }
    }

    /// Sends a signal unless the process is known to have exited.
    pub(crate) fn signal(&self, signal: Signal) {
        if !self.has_exited {
            kill_process(Pid::from_child(&self.child), signal).expect("failed to send a signal");
        }
    }

    /// Kills the process with SIGKILL and reaps it.
    pub(crate) fn kill(&mut self) {
        if !self.has_exited {
            // Both fail only if the process has been reaped.
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.has_exited = true;
        }
    }

    /// Returns whether the process is still running.
    pub(crate) fn is_running(&mut self) -> bool {
        self.has_exited |= matches!(self.child.try_wait(), Ok(Some(_)));
        !self.has_exited
    }

    /// Returns the output of this and earlier processes of the gateway.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
