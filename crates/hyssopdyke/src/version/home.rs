//! The home of a flow: the member that decides which member owns it.
//!
//! Homes are computed from the members alone, by highest random weight (Thaler and Ravishankar,
//! "Using name-based mappings to increase hit rates", 1998). They do not depend on load or
//! capacity, so that only a change of members moves homes, and only the homes of the members that
//! were added or removed.

use crate::vm;

/// Ranking of members for flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ranking;

impl Ranking {
    /// Returns the weight of a member for a flow.
    ///
    /// The weight is the finalizer of `SplitMix64` (Steele et al., 2014) over both hashes, which
    /// are uniform.
    #[must_use]
    pub const fn weight(flow: u64, vm: vm::Id) -> u64 {
        let mut mixed = flow ^ vm.rotate_left(32);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns the two members with the highest weights for a flow, the first being its home.
    ///
    /// ```
    /// use hyssopdyke::version::Ranking;
    ///
    /// let members = [11, 12, 13];
    /// let (first, second) = Ranking::top_two(99, members);
    /// let without_first = members.into_iter().filter(|member| Some(*member) != first);
    /// assert_eq!(Ranking::top_two(99, without_first).0, second);
    /// ```
    pub fn top_two(
        flow: u64,
        members: impl IntoIterator<Item = vm::Id>,
    ) -> (Option<vm::Id>, Option<vm::Id>) {
        let mut first: Option<(u64, vm::Id)> = None;
        let mut second: Option<(u64, vm::Id)> = None;
        for vm in members {
            let ranked = Some((Self::weight(flow, vm), vm));
            if ranked > first {
                second = first;
                first = ranked;
            } else if ranked > second {
                second = ranked;
            }
        }
        (first.map(|(_, vm)| vm), second.map(|(_, vm)| vm))
    }
}
