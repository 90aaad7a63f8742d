//! The events of a process, as lines for people or as JSON.
//!
//! Each event carries the process's role, VM and failure domain, the revision that it acts by,
//! and both a wall-clock and a monotonic time.
//!
//! What flows bring about is written by [`routine!`] and [`unusual!`], within a budget for each
//! kind of event and second. The rest is counted, and the count is written.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, mpsc};
use std::time::{Duration, Instant, SystemTime};

use hyssopdyke::process::{EventKind, EventLimiter};
use slog::{Drain, FnValue, Level, Logger, info, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::clock;
use crate::settings::{Common, LogFormat};

/// Events that may wait for the writer: some seconds of all budgets, in a few megabytes.
const QUEUE: usize = 8192;

/// Events a second of one kind that each flow brings about: an event costs about 40 us, and all
/// kinds together a few percent of the time of a VM with a twentieth of a core.
const ROUTINE: u32 = 8;

/// Events a second of one kind that shows trouble, such as refusals, which operators look for: most
/// of what an agent decides in a second of trouble.
const UNUSUAL: u32 = 64;

/// How often an event comes while all is well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rank {
    /// With each flow.
    Routine,
    /// Only with trouble.
    Unusual,
}

/// Writes an event that each flow brings about.
macro_rules! routine {
    ($events:expr, $event:literal; $($rest:tt)*) => {
        if let Some(logger) = $events.admit($event, $crate::log::Rank::Routine) {
            slog::info!(logger, $event; $($rest)*);
        }
    };
}

/// Writes an event of a flow that only trouble brings about.
macro_rules! unusual {
    ($events:expr, $event:literal; $($rest:tt)*) => {
        if let Some(logger) = $events.admit($event, $crate::log::Rank::Unusual) {
            slog::info!(logger, $event; $($rest)*);
        }
    };
}

pub(crate) use {routine, unusual};

/// Time that a stopping process gives the reader of its events: a reader that is stuck must not
/// hold up the stop.
const LAST_EVENTS: Duration = Duration::from_secs(1);

/// The end of a log, which writes the last events when it is dropped.
pub(crate) struct Writer {
    guard: Option<AsyncGuard>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        let guard = self.guard.take();
        let (done, written) = mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            // Nobody waits any more where the reader was stuck.
            let _ = done.send(());
        });
        let _ = written.recv_timeout(LAST_EVENTS);
    }
}

/// A handle for writing events.
#[derive(Clone)]
pub(crate) struct Events {
    root: Logger,
    /// The root with the revision that events carry now. Values that are worked out when an event
    /// is written would show the revision of that time.
    current: Arc<RwLock<Logger>>,
    budget: Arc<Mutex<EventLimiter>>,
    level: Level,
}

impl Events {
    /// Opens the log of a process on standard output; what was written is out once the writer is
    /// dropped.
    pub(crate) fn open(role: &'static str, common: &Common) -> (Self, Writer) {
        let (level, form) = (common.log.level, common.log.format);
        let (drain, guard) = drain(level, form);
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
        let budget = Arc::new(Mutex::new(EventLimiter::new()));
        (Self { root, current, budget, level }, Writer { guard: Some(guard) })
    }

    /// The logger for one more event of a kind, where its budget is not spent.
    pub(crate) fn admit(&self, kind: EventKind, rank: Rank) -> Option<Logger> {
        if !Level::Info.is_at_least(self.level) {
            return None;
        }
        let most = match rank {
            Rank::Routine => ROUTINE,
            Rank::Unusual => UNUSUAL,
        };
        self.budget().try_admit(kind, most, clock::now()).then(|| self.logger())
    }

    /// Writes how many events were left out in the seconds that are over.
    pub(crate) fn log_suppressed(&self) {
        let left_out = self.budget().take_suppressed(clock::now());
        for (kind, count) in left_out {
            info!(self.logger(), "events left out"; "kind" => kind, "count" => count);
        }
    }

    fn budget(&self) -> MutexGuard<'_, EventLimiter> {
        // Each change of a budget is whole after a panic too.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The logger, for slog's macros.
    pub(crate) fn logger(&self) -> Logger {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the revision that events carry from now on.
    pub(crate) fn set_revision(&self, revision: u64) {
        let logger = self.root.new(o!("revision" => revision));
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = logger;
    }
}

fn drain(level: Level, form: LogFormat) -> (Async, AsyncGuard) {
    match form {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            queue(slog_term::FullFormat::new(decorator).build().ignore_res(), level)
        }
        LogFormat::Json => queue(json(), level),
    }
}

fn json() -> impl Drain<Ok = (), Err = slog::Never> + Send + 'static {
    let start = Instant::now();
    let values = o!(
        "wall_us" => FnValue(|_| wall_micros()),
        "mono_us" => FnValue(move |_| start.elapsed().as_micros() as u64),
        "level" => FnValue(|record| record.level().as_str()),
        "event" => FnValue(|record| record.msg().to_string()),
    );
    // Whole lines are written, so that a process that is killed leaves no part of one.
    let lines = std::io::LineWriter::new(std::io::stdout());
    let json = slog_json::Json::new(lines).add_key_value(values).build();
    // Nothing can be written of a line that could not be written.
    Mutex::new(json).ignore_res()
}

fn wall_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_micros() as u64)
}

fn queue<D>(drain: D, level: Level) -> (Async, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let filtered = drain.filter_level(level).ignore_res();
    // The writer reports how many events it had to drop.
    Async::new(filtered)
        .chan_size(QUEUE)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}
