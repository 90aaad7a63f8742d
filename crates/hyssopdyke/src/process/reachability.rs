//! Whether a process hears anybody outside its failure domain.
//!
//! A process that is cut off cannot tell this from silence alone: nobody may have anything to say.
//! So it asks while it hears nothing, and counts as cut off once several questions to different
//! processes were not answered.

use std::time::{Duration, Instant};

/// Silence after which somebody is asked.
const QUIET: Duration = Duration::from_millis(150);

/// Silence with which a process counts as cut off: many times the longest way and back, and less
/// than callers wait for an answer.
const LOST: Duration = Duration::from_millis(600);

/// Questions without an answer with which a process counts as cut off, so that some lost datagrams,
/// or a pause of its own, do not count.
const QUESTIONS: u32 = 3;

/// What was heard from outside.
#[derive(Debug, Clone, Copy)]
pub struct Reachability {
    heard: Instant,
    asked: Option<Instant>,
    /// Questions since something was heard.
    questions: u32,
}

impl Reachability {
    /// A process that starts now.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { heard: now, asked: None, questions: 0 }
    }

    /// Notes that somebody outside was heard.
    pub const fn record_received(&mut self, now: Instant) {
        self.heard = now;
        self.questions = 0;
    }

    /// Whether somebody outside is to be asked now; that counts as done.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        let last = self.asked.map_or(self.heard, |asked| asked.max(self.heard));
        let is_due = now.saturating_duration_since(last) >= QUIET;
        if is_due {
            self.asked = Some(now);
            self.questions += 1;
        }
        is_due
    }

    /// Whether the process is cut off from all outside its failure domain.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        // The last question may still be answered.
        let is_answerable = self.asked.is_some_and(|asked| now - asked < QUIET);
        let questions = self.questions - u32::from(is_answerable && self.questions > 0);
        questions >= QUESTIONS && now.saturating_duration_since(self.heard) >= LOST
    }
}
