//! Which entry addresses callers are given, and for how long.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives, ids::InstanceId};

use crate::{
    membership::{MemberState, Membership},
    subset::{self, Node},
};

/// Tunables of address answers.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressConfig {
    /// Entries named in one answer.
    pub max_entries: usize,
    /// Time for which a caller may keep the answer; a leaving entry goes on serving this long.
    pub lifetime: Duration,
}

impl Default for AddressConfig {
    fn default() -> Self {
        Self {
            max_entries: 3,
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

common_derives! {copy:
    /// An entry that covers what the caller will ask for.
    pub struct CoveringEntry<'a> {
        /// The entry.
        pub node: Node<'a>,
        /// What is believed of it.
        pub state: MemberState,
        /// The live list does not say that it is leaving, and its failure domain is in service.
        pub is_in_service: bool,
    }
}

/// Names entries of a large fleet that cover a service, spread over failure domains.
///
/// The answering entry, in the failure domain `own`, hears from a few other entries only. So one
/// that it never heard from is named too if the live list and the configuration speak for it, and
/// one of those named is live or in `own`: in a partition a caller still finds one on its side.
pub fn answer_for_service(
    config: &AddressConfig,
    entries: &[CoveringEntry<'_>],
    own: &str,
    caller: u64,
) -> AddressAnswer {
    let is_live = |entry: &CoveringEntry<'_>| entry.state == MemberState::Live;
    let is_listed = |e: &CoveringEntry<'_>| e.state == MemberState::Unknown && e.is_in_service;
    let is_near = |e: &CoveringEntry<'_>| is_live(e) || (is_listed(e) && e.node.domain == own);
    let pick = |is_in: &dyn Fn(&CoveringEntry<'_>) -> bool, count: usize| -> Vec<InstanceId> {
        let open = entries.iter().filter(|entry| is_in(entry));
        let open: Vec<Node<'_>> = open.map(|entry| entry.node).collect();
        let picked = subset::pick(caller, &open, count);
        picked.into_iter().map(|i| open[i].id.to_owned()).collect()
    };
    let mut named = pick(&|e| is_live(e) || is_listed(e), config.max_entries);
    if named.is_empty() {
        named = pick(&|e| e.state == MemberState::Suspect, config.max_entries);
    }
    let near = pick(&is_near, entries.len());
    if let Some(best) = near.first()
        && !named.iter().any(|id| near.contains(id))
    {
        named.pop();
        named.push(best.clone());
    }
    AddressAnswer {
        entries: named,
        lifetime: config.lifetime,
    }
}

/// Names entries that take new work, spread over failure domains.
///
/// `entries` are all known entries, the answering one included where it takes work itself (it is
/// live in its own membership). Suspect ones are named only when no live one is left. The same
/// `caller` (such as a hash of account and service) gets the same entries while they stay.
pub fn answer_for_any_service(
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
    let picked = subset::pick(caller, &open, config.max_entries);
    AddressAnswer {
        entries: picked.into_iter().map(|i| open[i].id.to_owned()).collect(),
        lifetime: config.lifetime,
    }
}
