//! What a process has used, as the kernel counts it.

use std::io;
use std::time::Duration;

/// The kernel's clock ticks in a second, as /proc reports them on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Bytes of a page.
const PAGE_BYTES: u64 = 4096;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Time on processors since the start of the process.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// If the process is gone or /proc has another form.
    pub fn read(pid: u32) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The name before the last parenthesis may hold blanks.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let field = |index: usize| -> io::Result<u64> {
            let word = fields.split_whitespace().nth(index);
            word.and_then(|word| word.parse().ok()).ok_or(io::ErrorKind::InvalidData.into())
        };
        let ticks = field(11)? + field(12)?;
        let cpu = Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND);
        Ok(Self { cpu, memory: field(21)? * PAGE_BYTES })
    }
}
