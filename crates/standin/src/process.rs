//! A daemon that runs as a child process.

use std::ffi::OsStr;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Pause between two checks of whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running daemon, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program and appends its output to a log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or the file cannot be opened.
    pub fn spawn<A: AsRef<OsStr>>(
        program: &Path,
        arguments: impl IntoIterator<Item = A>,
        log: PathBuf,
    ) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(Self { child, log })
    }

    /// Returns the path of the log file.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the process ID.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is running.
    ///
    /// # Errors
    ///
    /// Returns an error if its status cannot be read.
    pub fn is_running(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Requests a graceful stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Suspends the process with SIGSTOP, which it cannot catch.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for the process to exit. Returns `None` if that takes longer than `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if its status cannot be read.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if start.elapsed() > timeout {
                return Ok(None);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
