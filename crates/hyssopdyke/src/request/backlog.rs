//! Flows that wait at their home for a slot, for the reconnect storm after an outage.
//!
//! When a system returns, all callers open their flows again within a fraction of a second. The
//! upstreams can serve them all within a second or two, but not at once. If the flows that find no
//! slot are refused, their callers return together and use up their retries. So a bounded number
//! waits, up to the time for which a caller waits for an answer.
//!
//! Under lasting overload, a queue in order of arrival would make every request late. So requests
//! that can still be answered on time go before those that are late already, the newest of them
//! first, and a request that is late makes room for one that is not.

use std::cmp::Reverse;
use std::time::Duration;

/// Maximum number of flows that wait at one home. All homes of a group together hold the flows that
/// its callers open within about a second.
const MAX_WAITING: usize = 64;

/// Order and bound of the flows that wait at one home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog;

impl Backlog {
    /// Returns whether one more flow may wait beside `waiting` others.
    #[must_use]
    pub const fn has_room(waiting: usize) -> bool {
        waiting < MAX_WAITING
    }

    /// Returns the priority of a flow whose caller sent its first packet `age` ago. Requests that can
    /// still be answered on time go first, the newest before the others; of those that are late
    /// already, the oldest goes first.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use hyssopdyke::request::Backlog;
    ///
    /// let objective = Duration::from_millis(100);
    /// let priority = |age| Backlog::priority(Duration::from_millis(age), objective);
    /// let mut ages = [60, 10, 400, 900];
    /// ages.sort_by_key(|age| std::cmp::Reverse(priority(*age)));
    /// assert_eq!(ages, [10, 60, 900, 400]);
    /// ```
    #[must_use]
    pub fn priority(age: Duration, objective: Duration) -> impl Ord {
        let is_late = age >= objective;
        let newest = (!is_late).then_some(Reverse(age));
        (Reverse(is_late), newest, age)
    }
}
