//! Processor time and memory of a process, as the kernel counts them.

use std::io;
use std::time::Duration;

/// Clock ticks per second in `/proc/<pid>/stat` on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time since the start of the process.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl Usage {
    /// Reads the usage of a process from `/proc`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited or `/proc/<pid>/stat` cannot be parsed.
    pub fn read(pid: u32) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The process name, which ends at the last parenthesis, may contain spaces.
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
