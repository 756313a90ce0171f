//! Bounded queue of one agent with weighted fair queueing between client accounts.
//!
//! Start-time fair queueing: each account has a start tag in virtual time, the account with the
//! lowest tag is served next, and a dequeued request advances its account's tag by cost over
//! weight. A large backlog of one account therefore delays only that account. When the queue is
//! full, the newest request of the account with the longest backlog for its weight is displaced.

use std::collections::{BTreeMap, VecDeque};

use jj_utils::{clock::Timestamp, common_derives, ids::ClientAccountId};

/// Identifies an admission request; unique within an incarnation of an agent.
pub type Ticket = u64;

/// Virtual time that one unit of cost takes at weight 1.
const COST_UNIT: u64 = 1 << 20;

common_derives! {value:
    /// Limits of the queue, in requests.
    #[derive(Copy)]
    pub struct FairnessConfig {
        /// Maximum number of queued requests.
        pub queue_limit: u32,
        /// Maximum number of queued requests per client account.
        pub account_limit: u32,
    }
}

impl Default for FairnessConfig {
    fn default() -> Self {
        Self {
            queue_limit: 64,
            account_limit: 32,
        }
    }
}

common_derives! {value:
    /// A request that asks for admission.
    pub struct AdmissionRequest {
        /// Identifies the request within the agent.
        pub ticket: Ticket,
        /// Client account that sent the request.
        pub account: ClientAccountId,
        /// Weight of the account under contention; 0 counts as 1.
        pub weight: u32,
        /// Time after which the response is useless.
        pub deadline: Timestamp,
        /// Relative work: 1 for a plain call, a multiple of its tokens for an engine.
        pub cost: u32,
        /// Maximum number of tokens that it takes in the engine's KV cache; 0 for a plain call.
        pub tokens: u32,
    }
}

common_derives! {value:
    /// Outcome of adding a request to the queue.
    pub enum PushOutcome {
        /// The request was queued.
        Queued,
        /// The request was queued in place of this one, which has to be refused.
        Displaced(AdmissionRequest),
        /// The account has reached its limit of queued requests.
        AccountFull,
        /// The queue is full, and no account has a longer backlog for its weight.
        QueueFull,
    }
}

/// Queued requests of one client account.
#[derive(Debug, Clone, Default)]
struct AccountQueue {
    entries: VecDeque<AdmissionRequest>,
    weight: u32,
    start_tag: u64,
}

impl AccountQueue {
    fn len(&self) -> u64 {
        self.entries.len() as u64
    }
}

/// Queue of requests, fair between client accounts.
#[derive(Debug, Clone)]
pub struct FairQueue {
    config: FairnessConfig,
    accounts: BTreeMap<ClientAccountId, AccountQueue>,
    virtual_time: u64,
    len: u32,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(config: FairnessConfig) -> Self {
        Self {
            config,
            accounts: BTreeMap::new(),
            virtual_time: 0,
            len: 0,
        }
    }

    /// Applies new limits; requests already queued stay.
    pub fn configure(&mut self, config: FairnessConfig) {
        self.config = config;
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of queued requests of one account.
    pub fn account_len(&self, account: &str) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |backlog| backlog.entries.len() as u32)
    }

    /// Returns an upper bound on the requests that are served before a new one of this account.
    pub fn max_requests_ahead(&self, account: &str, weight: u32) -> u32 {
        let own = u64::from(self.account_len(account));
        let weight = u64::from(weight.max(1));
        let others = self.accounts.iter().filter(|(name, _)| *name != account);
        let ahead = others.map(|(_, other)| {
            let turns = ((own + 1) * u64::from(other.weight)).div_ceil(weight);
            other.len().min(turns)
        });
        u32::try_from(own + ahead.sum::<u64>()).unwrap_or(u32::MAX)
    }

    /// Adds a request within the limits of its account and of the queue.
    pub fn push(&mut self, request: AdmissionRequest) -> PushOutcome {
        if self.account_len(&request.account) >= self.config.account_limit {
            return PushOutcome::AccountFull;
        }
        if self.len < self.config.queue_limit {
            self.insert(request);
            return PushOutcome::Queued;
        }
        match self.displace_for(&request) {
            Some(displaced) => {
                self.insert(request);
                PushOutcome::Displaced(displaced)
            }
            None => PushOutcome::QueueFull,
        }
    }

    /// Returns the request that is served next.
    pub fn peek(&self) -> Option<&AdmissionRequest> {
        let backlog = self.accounts.get(self.next_account()?)?;
        backlog.entries.front()
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<AdmissionRequest> {
        let account = self.next_account().cloned()?;
        let backlog = self.accounts.get_mut(&account)?;
        let request = backlog.entries.pop_front()?;
        self.virtual_time = self.virtual_time.max(backlog.start_tag);
        backlog.start_tag += virtual_cost(&request);
        self.finish_removal(1);
        Some(request)
    }

    /// Removes one request, for example because its caller has disconnected.
    pub fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let found = self.remove_matching(|request| request.ticket == ticket);
        found.into_iter().next()
    }

    /// Removes all requests that match, ordered by account and arrival.
    pub fn remove_matching(
        &mut self,
        matches: impl Fn(&AdmissionRequest) -> bool,
    ) -> Vec<AdmissionRequest> {
        let mut taken = Vec::new();
        for backlog in self.accounts.values_mut() {
            let (out, kept) = backlog.entries.drain(..).partition(&matches);
            backlog.entries = kept;
            let out: VecDeque<AdmissionRequest> = out;
            taken.extend(out);
        }
        self.finish_removal(taken.len());
        taken
    }

    fn next_account(&self) -> Option<&ClientAccountId> {
        let backlogged = self.accounts.iter().filter(|(_, b)| !b.entries.is_empty());
        let next = backlogged.min_by_key(|(_, backlog)| backlog.start_tag);
        next.map(|(name, _)| name)
    }

    fn insert(&mut self, request: AdmissionRequest) {
        let virtual_time = self.virtual_time;
        let backlog = self.accounts.entry(request.account.clone()).or_default();
        if backlog.entries.is_empty() {
            backlog.start_tag = backlog.start_tag.max(virtual_time);
        }
        backlog.weight = request.weight.max(1);
        backlog.entries.push_back(request);
        self.len += 1;
    }

    /// Removes the newest request of the account with the longest backlog for its weight, if that
    /// is longer than the backlog of the new request's account would be.
    fn displace_for(&mut self, request: &AdmissionRequest) -> Option<AdmissionRequest> {
        let own = u64::from(self.account_len(&request.account)) + 1;
        let weight = u64::from(request.weight.max(1));
        let longest = self.accounts.values_mut().reduce(|best, next| {
            let best_share = best.len() * u64::from(next.weight);
            let next_share = next.len() * u64::from(best.weight);
            if next_share > best_share { next } else { best }
        })?;
        if longest.len() * weight <= own * u64::from(longest.weight) {
            return None;
        }
        let displaced = longest.entries.pop_back();
        self.finish_removal(usize::from(displaced.is_some()));
        displaced
    }

    /// Updates the length after removals, and drops empty accounts whose start tag is not ahead of
    /// the virtual time.
    fn finish_removal(&mut self, removed: usize) {
        self.len -= removed as u32;
        if self.len == 0 {
            self.accounts.clear();
            self.virtual_time = 0;
            return;
        }
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, b| !b.entries.is_empty() || b.start_tag > virtual_time);
    }
}

fn virtual_cost(request: &AdmissionRequest) -> u64 {
    u64::from(request.cost.max(1)) * COST_UNIT / u64::from(request.weight.max(1))
}
