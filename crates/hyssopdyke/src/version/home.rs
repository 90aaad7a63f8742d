//! The home of a flow: the member that decides which member owns it.
//!
//! Homes are computed from the members alone, by highest random weight (Thaler and Ravishankar,
//! "Using name-based mappings to increase hit rates", 1998). They do not depend on load or
//! capacity, so that only a change of members moves homes, and only the homes of the members that
//! were added or removed. In a large group, only the highest-ranked members are homes, so that most
//! changes of members move no home at all.

use crate::vm;

/// Maximum number of homes in a group. Every member reports its flows to each home, so that this
/// bounds what a change of the homes costs a member, however many members the group has.
const MAX_HOMES: usize = 16;

/// Hash that ranks the members of a group as homes.
const HOMES_HASH: u64 = 0x686f_6d65_735f_6f66;

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

    /// Returns the members among which the homes of all flows are chosen, by id: all members of a
    /// small group, and the highest-ranked ones of a large group.
    ///
    /// ```
    /// use hyssopdyke::version::Ranking;
    ///
    /// let homes = Ranking::homes(0..100);
    /// let departed = (0..100).find(|vm| !homes.contains(vm)).unwrap();
    /// let remaining = (0..100).filter(|vm| *vm != departed);
    /// assert_eq!(Ranking::homes(remaining), homes);
    /// ```
    pub fn homes(members: impl IntoIterator<Item = vm::Id>) -> Vec<vm::Id> {
        let mut homes: Vec<vm::Id> = members.into_iter().collect();
        if homes.len() > MAX_HOMES {
            homes.select_nth_unstable_by_key(MAX_HOMES, |vm| {
                std::cmp::Reverse(Self::weight(HOMES_HASH, *vm))
            });
            homes.truncate(MAX_HOMES);
        }
        homes.sort_unstable();
        homes
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
