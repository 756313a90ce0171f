//! Chooses the backend server for a request among those of its service.
//!
//! Load pattern: steady traffic through several entries. Each knows its own requests at once and
//! those of the others a few milliseconds later.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives, ids::BackendServerId};

common_derives! {value:
    /// Load and state of one server, as known to this process.
    pub struct ServerCandidate {
        /// Identifier of the server.
        pub id: BackendServerId,
        /// Whether it is in the failure domain of this process.
        pub is_same_domain: bool,
        /// Requests that it works on at once.
        pub slots: u32,
        /// Requests that this process has at the server.
        pub local_requests: u32,
        /// Requests that the other processes have there.
        pub remote_requests: u32,
        /// Whether new requests should go elsewhere for now; see [`crate::server_health`].
        pub is_avoided: bool,
        /// Part of its recent attempts from this process that failed.
        pub failed_part: f64,
        /// Requests that this process may send now; `None` if the server accepts any rate. See
        /// [`crate::rate_share`].
        pub allowance: Option<u32>,
        /// Whether this request was already sent there.
        pub was_tried: bool,
    }
}

impl ServerCandidate {
    /// Returns the ratio of requests at the server to its slots.
    fn load(&self) -> f64 {
        f64::from(self.local_requests + self.remote_requests) / f64::from(self.slots.max(1))
    }

    /// Returns whether the server can take this request at a maximum load.
    fn has_room(&self, max_load: f64) -> bool {
        self.load() < max_load && self.allowance != Some(0) && !self.was_tried
    }
}

/// Limits for the choice of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementConfig {
    /// Load (requests per slot) from which a server has no room.
    pub max_load: f64,
    /// Added to the load (requests per slot) of a server in another failure domain.
    pub other_domain_penalty: f64,
    /// Added to the load (requests per slot) of a server whose attempts all failed, for others in
    /// proportion.
    pub failure_penalty: f64,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            max_load: 1.0,
            other_domain_penalty: 0.10,
            failure_penalty: 1.0,
        }
    }
}

impl PlacementConfig {
    /// Returns the load of a server plus its penalties.
    fn cost(&self, candidate: &ServerCandidate) -> f64 {
        let domain = match candidate.is_same_domain {
            true => 0.0,
            false => self.other_domain_penalty,
        };
        candidate.load() + domain + self.failure_penalty * candidate.failed_part
    }
}

/// Returns the server with room that has the lowest load with penalties, avoided servers last.
/// `draw` is a random number that decides between equal ones.
pub fn choose_server<'a>(
    config: &PlacementConfig,
    candidates: &'a [ServerCandidate],
    draw: u64,
) -> Option<&'a ServerCandidate> {
    let least_loaded = |is_avoided: bool| {
        let open = candidates
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_avoided == is_avoided && it.has_room(config.max_load));
        let keyed = open.map(|(index, it)| {
            let tie_break = (index as u64).wrapping_add(draw) % candidates.len() as u64;
            (config.cost(it), tie_break, it)
        });
        let least = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, _, it)| it)
    };
    least_loaded(false).or_else(|| least_loaded(true))
}

common_derives! {copy:
    /// Times that limit how long a request may be queued.
    pub struct WaitLimit {
        /// Arrival of the request.
        pub arrived: Timestamp,
        /// Time within which a response is on time.
        pub target_latency: Duration,
        /// Time after which a response is worthless.
        pub deadline: Timestamp,
    }
}

/// Part of the target latency that a request may be queued; the rest is for the server.
const MAX_WAIT_PART: f64 = 0.45;

impl WaitLimit {
    /// Returns the time at which a request that is still queued is rejected: later, its response
    /// would hardly be on time, while now the caller can still retry.
    pub fn reject_at(&self) -> Timestamp {
        (self.arrived + self.target_latency.mul_f64(MAX_WAIT_PART)).min(self.deadline)
    }
}
