//! The events of a process, as lines for people or as JSON.
//!
//! Each event carries the process's role, VM and failure domain, the revision that it acts by,
//! and both a wall-clock and a monotonic time.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Instant, SystemTime};

use slog::{Drain, FnValue, Level, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::settings::{Common, Form};

/// Events that may wait for the writer.
const QUEUE: usize = 65_536;

/// A handle for writing events.
#[derive(Clone)]
pub(crate) struct Events {
    root: Logger,
    /// The root with the revision that events carry now. Values that are worked out when an event
    /// is written would show the revision of that time.
    current: Arc<RwLock<Logger>>,
}

impl Events {
    /// Opens the log of a process on standard output; what was written is out once the guard is
    /// dropped.
    pub(crate) fn open(role: &'static str, common: &Common) -> (Self, AsyncGuard) {
        let (level, form) = (common.log.level, common.log.form);
        let (drain, guard) = drain(level, form);
        let root = Logger::root(
            drain.fuse(),
            o!(
                "process" => role,
                "vm" => common.vm.name.to_string(),
                "domain" => common.vm.domain.to_string(),
                "pid" => std::process::id(),
            ),
        );
        let current = Arc::new(RwLock::new(root.new(o!("revision" => 0))));
        (Self { root, current }, guard)
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

fn drain(level: Level, form: Form) -> (Async, AsyncGuard) {
    match form {
        Form::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            queue(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
        Form::Json => queue(json(), level),
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
    std::sync::Mutex::new(json).fuse()
}

fn wall_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_micros() as u64)
}

fn queue<D>(drain: D, level: Level) -> (Async, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let filtered = drain.filter_level(level).fuse();
    // The writer reports how many events it had to drop.
    Async::new(filtered)
        .chan_size(QUEUE)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}
