//! Chooses the backend server of a request among those of its service.
//!
//! Load pattern: steady traffic through several entries, each of which knows its own requests at
//! once and those of the others a few milliseconds later.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives, ids::BackendServerId};

common_derives! {value:
    /// What is known of one server.
    pub struct ServerCandidate {
        /// Its id.
        pub id: BackendServerId,
        /// Whether it is in this process's failure domain.
        pub is_same_domain: bool,
        /// Requests that it works on at once.
        pub slots: u32,
        /// Requests of this process at the server.
        pub local_requests: u32,
        /// Requests of the other processes there.
        pub remote_requests: u32,
        /// Whether new requests should go elsewhere for now; see [`crate::server_health`].
        pub is_avoided: bool,
        /// Requests that this process may still send there in this second, while it is cold.
        pub cold_allowance: Option<u32>,
        /// Whether this request was sent there already.
        pub was_tried: bool,
    }
}

impl ServerCandidate {
    /// Requests at the server over its slots.
    fn load(&self) -> f64 {
        f64::from(self.local_requests + self.remote_requests) / f64::from(self.slots.max(1))
    }

    fn has_room(&self, depth: f64) -> bool {
        self.load() < depth && self.cold_allowance != Some(0) && !self.was_tried
    }
}

/// Tunables of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementConfig {
    /// Requests at a server, over its slots, from which it has no room.
    pub max_load: f64,
    /// Load that a server in another failure domain has to be lower by, over its slots.
    pub other_domain_penalty: f64,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            max_load: 1.0,
            other_domain_penalty: 0.10,
        }
    }
}

/// The server with room that has the least load; `draw` is a random number that decides between
/// equal ones.
pub fn choose_server<'a>(
    config: &PlacementConfig,
    candidates: &'a [ServerCandidate],
    draw: u64,
) -> Option<&'a ServerCandidate> {
    let best = |avoid: bool| {
        let open = candidates
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_avoided == avoid && it.has_room(config.max_load));
        let keyed = open.map(|(index, it)| {
            let far = if it.is_same_domain {
                0.0
            } else {
                config.other_domain_penalty
            };
            let turn = (index as u64).wrapping_add(draw) % candidates.len() as u64;
            (it.load() + far, turn, it)
        });
        let least = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, _, it)| it)
    };
    best(false).or_else(|| best(true))
}

common_derives! {copy:
    /// How long a request may wait for room.
    pub struct WaitLimit {
        /// When it arrived.
        pub arrived: Timestamp,
        /// Time within which its answer is on time.
        pub target_latency: Duration,
        /// When its answer is worth nothing any more.
        pub deadline: Timestamp,
    }
}

/// Part of its aim that a request may wait; the rest is what a server needs.
const WAIT_PART: f64 = 0.45;

impl WaitLimit {
    /// The moment at which a request that still has no server is rejected: later than that, its
    /// answer is hardly on time, while the caller can still come back.
    pub fn reject_at(&self) -> Timestamp {
        (self.arrived + self.target_latency.mul_f64(WAIT_PART)).min(self.deadline)
    }
}
