//! Failure domains that this process cannot reach.
//!
//! A single process that does not answer may have been restarted, and its flows live on. Where
//! nobody of a whole failure domain answers, the domain is cut off or without power.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Silence of a whole failure domain after which it counts as lost: longer than a restart of all
/// that were asked is likely to take, and shorter than callers wait before they give up.
const SILENCE: Duration = Duration::from_millis(900);

/// Questions without an answer that a lost domain must have had, so that loss of some datagrams
/// does not count.
const QUESTIONS: u32 = 5;

/// Flows of lost domains that are remembered at a time.
const FLOWS: usize = 10_000;

#[derive(Debug)]
struct Contact {
    heard: Instant,
    /// Questions since then.
    asked: u32,
}

/// What was heard from each failure domain, and from callers of flows in those that are lost.
#[derive(Debug, Default)]
pub struct Reach {
    contacts: HashMap<Box<str>, Contact>,
    /// Last sequence number of callers whose flows go to a lost domain.
    repeated: HashMap<u64, u32>,
}

impl Reach {
    /// Nothing was asked yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that somebody in a domain was asked.
    pub fn ask(&mut self, domain: &str, now: Instant) {
        if let Some(contact) = self.contacts.get_mut(domain) {
            contact.asked += 1;
        } else {
            self.contacts.insert(domain.into(), Contact { heard: now, asked: 1 });
        }
    }

    /// Notes that somebody in a domain was heard; true if the domain was lost until now.
    pub fn hear(&mut self, domain: &str, now: Instant) -> bool {
        let Some(contact) = self.contacts.get_mut(domain) else { return false };
        let was_lost = is_lost(contact, now);
        *contact = Contact { heard: now, asked: 0 };
        if was_lost {
            self.repeated.clear();
        }
        was_lost
    }

    /// Whether a domain is lost.
    #[must_use]
    pub fn is_lost(&self, domain: &str, now: Instant) -> bool {
        self.contacts.get(domain).is_some_and(|contact| is_lost(contact, now))
    }

    /// Notes a packet of a caller whose flow goes to a lost domain; true if the caller repeats it,
    /// so that nobody can have answered.
    ///
    /// Packets may still pass one way, and answers come to the caller by another.
    pub fn is_repeated(&mut self, flow: u64, sequence: u32) -> bool {
        if self.repeated.len() >= FLOWS {
            self.repeated.clear();
        }
        self.repeated.insert(flow, sequence) == Some(sequence)
    }
}

fn is_lost(contact: &Contact, now: Instant) -> bool {
    contact.asked >= QUESTIONS && now.saturating_duration_since(contact.heard) >= SILENCE
}
