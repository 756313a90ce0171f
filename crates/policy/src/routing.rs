//! Chooses the backend server for one attempt.
//!
//! Compares two random candidates, the home of the request's prefix (first in its rendezvous
//! ranking) and the server that most probably holds the prefix by their expected time to the first
//! token. Load reports are stale, so each is corrected by this process's requests since and, as it
//! ages, moved towards the mean of all reports. Otherwise a stale report of an idle server would
//! attract the requests of all entries at once.
//!
//! Each client account has a shard of the servers (shuffle sharding). An account that floods,
//! measured by its share of this process's requests in flight, may fill its shard, but outside of
//! it may use only servers with low utilisation, so that other accounts keep capacity there.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

pub use crate::candidate::{Candidate, LoadReport, RoutingConfig};
use crate::{
    load_estimate::{FleetMean, LoadEstimate},
    membership::MemberState,
    rendezvous,
    subset::{self, Node},
};

/// Hash of a prompt's prefix.
pub type PrefixHash = u64;

/// Requests that are always allowed at a prefix's home, whatever the mean load is.
const MIN_HOME_BOUND: f64 = 1.0;

/// Requests that are always allowed at a prefix's holder, whatever the mean load is. The load
/// report with its last answer still counts the request of that answer, which has ended since.
const MIN_HOLDER_BOUND: f64 = 2.0;

/// Properties of a request that the choice depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestFacts<'a> {
    /// Hash of the prompt's prefix, if the request has one.
    pub prefix: Option<PrefixHash>,
    /// Hash of the client account's name.
    pub account_hash: u64,
    /// Weight of the account over the sum of all weights; 1 to ignore accounts.
    pub account_share: f64,
    /// Share of the account in this process's requests in flight for the service.
    pub account_in_flight_share: f64,
    /// Prefill time that a cached prefix saves.
    pub prefill_time: Duration,
    /// Time after which the response is useless.
    pub deadline: Timestamp,
    /// Servers that an earlier attempt of this request was sent to.
    pub tried_servers: &'a [&'a str],
}

common_derives! {copy:
    /// Why a candidate was chosen.
    pub enum ChoiceReason {
        /// It was the better one of two random candidates.
        RandomDraw,
        /// It probably holds the request's prefix.
        PrefixHolder,
        /// It is the home of the request's prefix.
        PrefixHome,
        /// The other choices would miss the deadline, so all candidates were compared.
        Deadline,
    }
}

common_derives! {copy:
    /// The chosen candidate.
    pub struct Choice {
        /// Index in the slice of candidates.
        pub index: usize,
        /// Expected time to the first token.
        pub expected_first_token: Duration,
        /// Why it was chosen.
        pub reason: ChoiceReason,
    }
}

common_derives! {copy:
    /// No candidate accepts the request now.
    #[derive(thiserror::Error)]
    #[error("no backend server takes new work; retry after {} ms", retry_after.as_millis())]
    pub struct NoServerAvailable {
        /// Time until the first candidate may accept requests again.
        pub retry_after: Duration,
    }
}

/// Chooses a backend server; `draws` are two independent random numbers.
///
/// # Errors
/// [`NoServerAvailable`] if membership, earlier refusals or earlier attempts exclude all
/// candidates.
pub fn choose_backend(
    config: &RoutingConfig,
    candidates: &[Candidate<'_>],
    request: &RequestFacts<'_>,
    now: Timestamp,
    draws: [u64; 2],
) -> Result<Choice, NoServerAvailable> {
    let eligible = eligible_by_membership(candidates);
    let reports = eligible.iter().filter_map(|&i| candidates[i].report);
    let decision = Decision {
        config,
        candidates,
        request,
        now,
        fleet: FleetMean::of(config, reports),
    };
    let open = decision.open_servers(&eligible);
    if open.is_empty() {
        let retry_after = decision.first_opening(&eligible);
        return Err(NoServerAvailable { retry_after });
    }
    Ok(decision.pick_fastest(&open, draws))
}

/// Returns the indices of the candidates that are eligible by membership: the live ones, or if
/// there are none, the suspect ones.
fn eligible_by_membership(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let in_state = |state: MemberState| -> Vec<usize> {
        let all = 0..candidates.len();
        all.filter(|&i| candidates[i].state == state).collect()
    };
    let live = in_state(MemberState::Live);
    if live.is_empty() {
        return in_state(MemberState::Suspect);
    }
    live
}

/// Input of one choice.
struct Decision<'a> {
    config: &'a RoutingConfig,
    candidates: &'a [Candidate<'a>],
    request: &'a RequestFacts<'a>,
    now: Timestamp,
    fleet: FleetMean,
}

impl Decision<'_> {
    /// Returns the servers that may take the request: neither closed nor tried, and if the account
    /// floods, in its shard or with low utilisation.
    fn open_servers(&self, eligible: &[usize]) -> Vec<usize> {
        let is_open = |&index: &usize| {
            let server = &self.candidates[index];
            server.closed_until <= self.now && !self.request.tried_servers.contains(&server.id)
        };
        let has_low_utilisation = |index: usize| {
            let estimate = self.estimate(index);
            estimate.load + 1.0 <= self.config.max_spill_utilisation * estimate.limit
        };
        let open = eligible.iter().copied().filter(is_open);
        if self.request.account_in_flight_share
            <= self.config.flood_factor * self.request.account_share
        {
            return open.collect();
        }
        let shard = self.shard(eligible);
        let allowed = |&index: &usize| shard.contains(&index) || has_low_utilisation(index);
        open.filter(allowed).collect()
    }

    /// Returns the servers of the account's shard, spread over failure domains.
    fn shard(&self, eligible: &[usize]) -> Vec<usize> {
        let part = (self.config.shard_factor * self.request.account_share).clamp(0.0, 1.0);
        let size = (part * eligible.len() as f64).ceil() as usize;
        let size = size.max(self.config.min_shard_servers);
        if size >= eligible.len() {
            return eligible.to_vec();
        }
        let node = |&index: &usize| Node {
            id: self.candidates[index].id,
            domain: self.candidates[index].domain,
        };
        let nodes: Vec<Node<'_>> = eligible.iter().map(node).collect();
        let picked = subset::pick(self.request.account_hash, &nodes, size);
        picked.into_iter().map(|at| eligible[at]).collect()
    }

    /// Returns the time until the first untried server accepts requests again.
    fn first_opening(&self, eligible: &[usize]) -> Duration {
        let servers = eligible.iter().map(|&index| &self.candidates[index]);
        let untried = servers.filter(|c| !self.request.tried_servers.contains(&c.id));
        let waits = untried.map(|c| c.closed_until.saturating_sub(self.now));
        let soonest = waits.filter(|wait| !wait.is_zero()).min();
        soonest.unwrap_or(self.config.default_retry_after)
    }

    /// Returns the fastest of two random servers, the prefix's home and its holder; if that would
    /// miss the deadline, the fastest of all.
    fn pick_fastest(&self, open: &[usize], draws: [u64; 2]) -> Choice {
        let [first, second] = pick_two(open, draws);
        let mut best = self.choice(first, ChoiceReason::RandomDraw);
        best = faster(best, self.choice(second, ChoiceReason::RandomDraw));
        if let Some(home) = self.prefix_home(open) {
            best = faster(best, home);
        }
        if let Some(holder) = self.prefix_holder(open) {
            best = faster(best, holder);
        }
        if self.now + best.expected_first_token < self.request.deadline {
            return best;
        }
        let others = open.iter().map(|&i| self.choice(i, ChoiceReason::Deadline));
        others.fold(best, faster)
    }

    fn choice(&self, index: usize, reason: ChoiceReason) -> Choice {
        Choice {
            index,
            expected_first_token: self
                .time_to_first_token(index, self.candidates[index].prefix_hit_probability),
            reason,
        }
    }

    /// Returns the first server in the prefix's rendezvous ranking whose load is within the bound.
    fn prefix_home(&self, open: &[usize]) -> Option<Choice> {
        let hash = self.request.prefix?;
        let names = open.iter().map(|&index| self.candidates[index].id);
        let ranking = rendezvous::ranking(hash, names);
        let mut ranked = ranking.into_iter().map(|at| open[at]);
        let index = ranked.find(|&index| self.is_within_bound(index, MIN_HOME_BOUND))?;
        let hit = self.candidates[index]
            .prefix_hit_probability
            .max(self.config.home_hit_probability);
        Some(Choice {
            index,
            expected_first_token: self.time_to_first_token(index, hit),
            reason: ChoiceReason::PrefixHome,
        })
    }

    /// Returns the server that most probably holds the prefix, of those whose load is within the
    /// bound.
    fn prefix_holder(&self, open: &[usize]) -> Option<Choice> {
        let hit = |index: usize| self.candidates[index].prefix_hit_probability;
        let holders = open.iter().copied().filter(|&index| hit(index) > 0.0);
        let within = holders.filter(|&index| self.is_within_bound(index, MIN_HOLDER_BOUND));
        let best = within.max_by(|&a, &b| hit(a).total_cmp(&hit(b)))?;
        Some(self.choice(best, ChoiceReason::PrefixHolder))
    }

    /// Returns whether one more request keeps a server's load within the bound; `min_bound`
    /// requests are always allowed.
    fn is_within_bound(&self, index: usize, min_bound: f64) -> bool {
        let estimate = self.estimate(index);
        let bound = self.config.load_bound * self.fleet.utilisation * estimate.limit;
        estimate.load + 1.0 <= bound.max(min_bound).ceil()
    }

    fn estimate(&self, index: usize) -> LoadEstimate {
        LoadEstimate::of(self.config, &self.candidates[index], &self.fleet, self.now)
    }

    /// Returns the expected time to the first token at a server that holds the prefix with
    /// probability `hit`.
    fn time_to_first_token(&self, index: usize, hit: f64) -> Duration {
        let delay = self.estimate(index).delay(self.config.contention_share);
        let miss = 1.0 - hit.clamp(0.0, 1.0);
        let prefill = self.request.prefill_time.as_secs_f64() * miss;
        self.candidates[index].one_way_delay * 2 + Duration::from_secs_f64(delay + prefill)
    }
}

/// Picks two elements of `open`, distinct if there are at least two.
fn pick_two(open: &[usize], draws: [u64; 2]) -> [usize; 2] {
    let len = open.len() as u64;
    let first = draws[0] % len;
    if len == 1 {
        return [open[0], open[0]];
    }
    let step = 1 + draws[1] % (len - 1);
    let second = (first + step) % len;
    [open[first as usize], open[second as usize]]
}

fn faster(best: Choice, other: Choice) -> Choice {
    if other.expected_first_token < best.expected_first_token {
        other
    } else {
        best
    }
}
