//! Event log of a process, as human-readable lines or as JSON.
//!
//! Each event carries the role, VM and failure domain of the process, the revision in use, and both
//! a wall-clock and a monotonic time.
//!
//! Events of flows are written with [`routine!`] and [`unusual!`], which limit the number of events
//! per kind and second. Events above the limit are suppressed and counted, and the count is written.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, mpsc};
use std::time::{Duration, Instant, SystemTime};

use hyssopdyke::process::{EventKind, EventLimiter};
use slog::{Drain, FnValue, Level, Logger, info, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::clock;
use crate::settings::{Common, LogFormat};

/// Maximum number of events queued for the writer: some seconds of all budgets, in a few megabytes.
const QUEUE_CAPACITY: usize = 8192;

/// Maximum number of routine events of one kind per second. An event costs about 40 us of CPU time,
/// so that all kinds together use a few percent of a VM with a twentieth of a core.
const MAX_ROUTINE_PER_SECOND: u32 = 8;

/// Maximum number of unusual events of one kind per second. Operators look for these events, such as
/// refusals, so the limit covers most decisions of an agent in a second of failures.
const MAX_UNUSUAL_PER_SECOND: u32 = 64;

/// Frequency of a kind of event in normal operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Frequency {
    /// Occurs for each flow.
    Routine,
    /// Occurs only on failures.
    Unusual,
}

/// Writes an event that occurs for each flow, unless its budget is spent.
macro_rules! routine {
    ($events:expr, $event:literal; $($rest:tt)*) => {
        if let Some(logger) = $events.limited_logger($event, $crate::log::Frequency::Routine) {
            slog::info!(logger, $event; $($rest)*);
        }
    };
}

/// Writes an event of a flow that occurs only on failures, unless its budget is spent.
macro_rules! unusual {
    ($events:expr, $event:literal; $($rest:tt)*) => {
        if let Some(logger) = $events.limited_logger($event, $crate::log::Frequency::Unusual) {
            slog::info!(logger, $event; $($rest)*);
        }
    };
}

pub(crate) use {routine, unusual};

/// Timeout for writing the last events of a stopping process. A blocked reader of standard output
/// must not delay the stop.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Guard that writes the remaining events when it is dropped.
pub(crate) struct Writer {
    guard: Option<AsyncGuard>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        let guard = self.guard.take();
        let (sender, flushed) = mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            // The receiver is gone if the flush has timed out.
            let _ = sender.send(());
        });
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Handle for writing events.
#[derive(Clone)]
pub(crate) struct Events {
    root: Logger,
    /// Root logger with the current revision. The revision cannot be a lazy value: lazy values are
    /// evaluated when the writer handles the event, which may be after a change of the revision.
    current: Arc<RwLock<Logger>>,
    limiter: Arc<Mutex<EventLimiter>>,
    level: Level,
}

impl Events {
    /// Opens the log of a process on standard output. All events are flushed when the returned
    /// writer is dropped.
    pub(crate) fn open(role: &'static str, common: &Common) -> (Self, Writer) {
        let (level, format) = (common.log.level, common.log.format);
        let (drain, guard) = new_drain(level, format);
        let root = Logger::root(
            drain.ignore_res(),
            o!(
                "process" => role,
                "vm" => common.vm.name.to_string(),
                "domain" => common.vm.domain.to_string(),
                "pid" => std::process::id(),
            ),
        );
        let current = Arc::new(RwLock::new(root.new(o!("revision" => 0))));
        let limiter = Arc::new(Mutex::new(EventLimiter::new()));
        (Self { root, current, limiter, level }, Writer { guard: Some(guard) })
    }

    /// Returns the logger for an event, or `None` if the level excludes the event or the budget of
    /// its kind is spent.
    pub(crate) fn limited_logger(&self, kind: EventKind, frequency: Frequency) -> Option<Logger> {
        if !Level::Info.is_at_least(self.level) {
            return None;
        }
        let limit = match frequency {
            Frequency::Routine => MAX_ROUTINE_PER_SECOND,
            Frequency::Unusual => MAX_UNUSUAL_PER_SECOND,
        };
        self.limiter().try_admit(kind, limit, clock::now()).then(|| self.logger())
    }

    /// Writes the number of events suppressed in past seconds, for each kind.
    pub(crate) fn log_suppressed(&self) {
        let suppressed = self.limiter().take_suppressed(clock::now());
        for (kind, count) in suppressed {
            info!(self.logger(), "events left out"; "kind" => kind, "count" => count);
        }
    }

    fn limiter(&self) -> MutexGuard<'_, EventLimiter> {
        // A panic cannot leave the limiter half changed, so a poisoned lock is safe to use.
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the logger for slog's macros.
    pub(crate) fn logger(&self) -> Logger {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the revision that later events carry.
    pub(crate) fn set_revision(&self, revision: u64) {
        let logger = self.root.new(o!("revision" => revision));
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = logger;
    }
}

fn new_drain(level: Level, format: LogFormat) -> (Async, AsyncGuard) {
    match format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            spawn_writer(slog_term::FullFormat::new(decorator).build().ignore_res(), level)
        }
        LogFormat::Json => spawn_writer(json_drain(), level),
    }
}

fn json_drain() -> impl Drain<Ok = (), Err = slog::Never> + Send + 'static {
    let start = Instant::now();
    let values = o!(
        "wall_us" => FnValue(|_| wall_micros()),
        "mono_us" => FnValue(move |_| start.elapsed().as_micros() as u64),
        "level" => FnValue(|record| record.level().as_str()),
        "event" => FnValue(|record| record.msg().to_string()),
    );
    // Writes whole lines, so that a killed process leaves no partial line.
    let lines = std::io::LineWriter::new(std::io::stdout());
    let json = slog_json::Json::new(lines).add_key_value(values).build();
    // A write error cannot be logged, as this is the log.
    Mutex::new(json).ignore_res()
}

fn wall_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_micros() as u64)
}

fn spawn_writer<D>(drain: D, level: Level) -> (Async, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let filtered = drain.filter_level(level).ignore_res();
    // On overflow, the writer drops events and reports their number.
    Async::new(filtered)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}
