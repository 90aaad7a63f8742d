//! A daemon as a process of its own.

use std::ffi::OsStr;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Pause between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running daemon, killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program that logs to a file, which is appended to.
    ///
    /// # Errors
    ///
    /// If the program or the file cannot be opened.
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

    /// File that the process logs to.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process runs.
    ///
    /// # Errors
    ///
    /// If its state cannot be read.
    pub fn is_running(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// If it cannot be signalled.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Asks the process for a graceful stop.
    ///
    /// # Errors
    ///
    /// If it cannot be signalled.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops the process without its knowing.
    ///
    /// # Errors
    ///
    /// If it cannot be signalled.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// If it cannot be signalled.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits until the process has ended; `None` if that takes longer than `timeout`.
    ///
    /// # Errors
    ///
    /// If its state cannot be read.
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
