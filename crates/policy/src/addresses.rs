//! Which entry addresses callers are given, and for how long.

use std::time::Duration;

use jj_utils::{clock::Timestamp, ids::InstanceId};

use crate::{
    membership::{MemberState, Membership},
    subset::{self, Node},
};

/// Tunables of address answers.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressConfig {
    /// Entries named in one answer.
    pub count: usize,
    /// Time for which a caller may keep the answer; a leaving entry goes on serving this long.
    pub lifetime: Duration,
}

impl Default for AddressConfig {
    fn default() -> Self {
        Self {
            count: 3,
            lifetime: Duration::from_secs(10),
        }
    }
}

/// What a caller that asks for addresses is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Entries to use, the preferred one first.
    pub entries: Vec<InstanceId>,
    /// Time for which the answer may be kept.
    pub lifetime: Duration,
}

/// Names entries that take new work, spread over failure domains.
///
/// `entries` are all known entries, the answering one included where it takes work itself (it is
/// live in its own membership). Suspect ones are named only when no live one is left. The same
/// `caller` (such as a hash of account and service) gets the same entries while they stay.
pub fn answer(
    config: &AddressConfig,
    membership: &Membership,
    entries: &[Node<'_>],
    caller: u64,
    now: Timestamp,
) -> AddressAnswer {
    let in_state = |state: MemberState| -> Vec<Node<'_>> {
        let is_in = |node: &&Node<'_>| membership.state(node.id, now) == state;
        entries.iter().filter(is_in).copied().collect()
    };
    let mut open = in_state(MemberState::Live);
    if open.is_empty() {
        open = in_state(MemberState::Suspect);
    }
    let picked = subset::pick(caller, &open, config.count);
    AddressAnswer {
        entries: picked.into_iter().map(|i| open[i].id.to_owned()).collect(),
        lifetime: config.lifetime,
    }
}
