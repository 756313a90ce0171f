//! Selects the entries whose addresses a caller gets, and for how long they are valid.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives, ids::InstanceId};

use crate::{
    membership::{MemberState, Membership},
    subset::{self, Node},
};

/// Settings of address answers.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressConfig {
    /// Maximum number of entries in an answer.
    pub max_entries: usize,
    /// Time for which a caller may cache the answer; a leaving entry keeps serving for this long.
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

/// Answer to a caller that requests addresses of entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Entries to use, the preferred one first.
    pub entries: Vec<InstanceId>,
    /// Time for which the answer may be cached.
    pub lifetime: Duration,
}

common_derives! {copy:
    /// Entry that covers the service that a caller will use.
    pub struct CoveringEntry<'a> {
        /// Name and failure domain of the entry.
        pub node: Node<'a>,
        /// State of the entry in the membership of the answering entry.
        pub state: MemberState,
        /// Whether its failure domain is in service and the live list does not mark it as leaving.
        pub is_in_service: bool,
    }
}

/// Selects entries of a large fleet that cover a service, spread over failure domains.
///
/// The answering entry, in the failure domain `own_domain`, polls only a few other entries. So
/// entries without a heartbeat are selected too if they are in service. At least one selected entry
/// is live or in `own_domain`, if there is such an entry, so that a caller reaches an entry on its
/// side of a partition.
pub fn answer_for_service(
    config: &AddressConfig,
    entries: &[CoveringEntry<'_>],
    own_domain: &str,
    caller: u64,
) -> AddressAnswer {
    let is_live = |entry: &CoveringEntry<'_>| entry.state == MemberState::Live;
    let is_unknown_in_service =
        |e: &CoveringEntry<'_>| e.state == MemberState::Unknown && e.is_in_service;
    let is_local_or_live = |e: &CoveringEntry<'_>| {
        is_live(e) || (is_unknown_in_service(e) && e.node.domain == own_domain)
    };
    let pick = |is_in: &dyn Fn(&CoveringEntry<'_>) -> bool, count: usize| -> Vec<InstanceId> {
        let matching = entries.iter().filter(|entry| is_in(entry));
        let matching: Vec<Node<'_>> = matching.map(|entry| entry.node).collect();
        let picked = subset::pick(caller, &matching, count);
        picked
            .into_iter()
            .map(|i| matching[i].id.to_owned())
            .collect()
    };
    let mut selected = pick(
        &|e| is_live(e) || is_unknown_in_service(e),
        config.max_entries,
    );
    if selected.is_empty() {
        selected = pick(&|e| e.state == MemberState::Suspect, config.max_entries);
    }
    let local_or_live = pick(&is_local_or_live, entries.len());
    if let Some(best) = local_or_live.first()
        && !selected.iter().any(|id| local_or_live.contains(id))
    {
        selected.pop();
        selected.push(best.clone());
    }
    AddressAnswer {
        entries: selected,
        lifetime: config.lifetime,
    }
}

/// Selects entries that take new work, spread over failure domains.
///
/// `entries` are all known entries, including the answering one, which is live in its own
/// membership while it takes work. Suspect entries are selected only if none is live. The same
/// `caller` (such as a hash of client account and service) gets the same entries as long as these
/// take work.
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
    let mut candidates = in_state(MemberState::Live);
    if candidates.is_empty() {
        candidates = in_state(MemberState::Suspect);
    }
    let picked = subset::pick(caller, &candidates, config.max_entries);
    AddressAnswer {
        entries: picked
            .into_iter()
            .map(|i| candidates[i].id.to_owned())
            .collect(),
        lifetime: config.lifetime,
    }
}
