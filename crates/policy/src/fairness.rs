//! Bounded queue of one agent, weighted fair between client accounts.
//!
//! Start-time fair queueing: each account has a start tag in virtual time, the lowest tag goes
//! next, and a dequeued request moves its account's tag on by cost over weight. A large account
//! therefore waits behind its own backlog only. When the queue is full, the account that holds
//! most of it for its weight gives up its newest request.

use std::collections::{BTreeMap, VecDeque};

use jj_utils::{clock::Timestamp, common_derives, ids::ClientAccountId};

/// Names one admission; unique within the life of an agent.
pub type Ticket = u64;

/// Virtual time that one unit of cost takes at weight 1.
const COST_UNIT: u64 = 1 << 20;

common_derives! {value:
    /// Bounds of the queue, in requests.
    #[derive(Copy)]
    pub struct FairnessConfig {
        /// Most requests that wait in all.
        pub queue_limit: u32,
        /// Most requests that wait for one client account.
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
        /// Its name in the agent.
        pub ticket: Ticket,
        /// Whose share it uses.
        pub account: ClientAccountId,
        /// Share of the account under contention; 0 counts as 1.
        pub weight: u32,
        /// When its answer is worth nothing any more.
        pub deadline: Timestamp,
        /// Relative work: 1 for a plain call, tokens over some unit for an engine.
        pub cost: u32,
        /// Tokens that it takes in the engine's memory, at most; 0 for a plain call.
        pub tokens: u32,
    }
}

common_derives! {value:
    /// What came of a push.
    pub enum PushOutcome {
        /// The request waits.
        Queued,
        /// The request waits in place of another, which has to be refused.
        Displaced(AdmissionRequest),
        /// The account has its bound of requests waiting.
        AccountFull,
        /// The queue is full and no account holds more of it for its weight.
        QueueFull,
    }
}

/// Backlog of one client account.
#[derive(Debug, Clone, Default)]
struct Backlog {
    entries: VecDeque<AdmissionRequest>,
    weight: u32,
    start_tag: u64,
}

impl Backlog {
    fn len(&self) -> u64 {
        self.entries.len() as u64
    }
}

/// Queue of requests, fair between client accounts.
#[derive(Debug, Clone)]
pub struct FairQueue {
    config: FairnessConfig,
    accounts: BTreeMap<ClientAccountId, Backlog>,
    virtual_time: u64,
    len: u32,
}

impl FairQueue {
    /// An empty queue.
    pub fn new(config: FairnessConfig) -> Self {
        Self {
            config,
            accounts: BTreeMap::new(),
            virtual_time: 0,
            len: 0,
        }
    }

    /// Changes the bounds; what waits already stays.
    pub fn configure(&mut self, config: FairnessConfig) {
        self.config = config;
    }

    /// Number of requests that wait.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of requests that wait for one account.
    pub fn account_len(&self, account: &str) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |backlog| backlog.entries.len() as u32)
    }

    /// Upper bound of the requests that go before a new one of this account.
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

    /// Adds a request, within the bounds of its account and of the queue.
    pub fn push(&mut self, waiting: AdmissionRequest) -> PushOutcome {
        if self.account_len(&waiting.account) >= self.config.account_limit {
            return PushOutcome::AccountFull;
        }
        if self.len < self.config.queue_limit {
            self.insert(waiting);
            return PushOutcome::Queued;
        }
        match self.displace_for(&waiting) {
            Some(displaced) => {
                self.insert(waiting);
                PushOutcome::Displaced(displaced)
            }
            None => PushOutcome::QueueFull,
        }
    }

    /// The request whose turn it is.
    pub fn peek(&self) -> Option<&AdmissionRequest> {
        let backlog = self.accounts.get(self.next_account()?)?;
        backlog.entries.front()
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<AdmissionRequest> {
        let account = self.next_account().cloned()?;
        let backlog = self.accounts.get_mut(&account)?;
        let waiting = backlog.entries.pop_front()?;
        self.virtual_time = self.virtual_time.max(backlog.start_tag);
        backlog.start_tag += virtual_cost(&waiting);
        self.forget(1);
        Some(waiting)
    }

    /// Removes one request, for example because its caller has gone.
    pub fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let found = self.remove_matching(|waiting| waiting.ticket == ticket);
        found.into_iter().next()
    }

    /// Removes each request that matches, in the order of accounts and arrival.
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
        self.forget(taken.len());
        taken
    }

    fn next_account(&self) -> Option<&ClientAccountId> {
        let backlogged = self.accounts.iter().filter(|(_, b)| !b.entries.is_empty());
        let next = backlogged.min_by_key(|(_, backlog)| backlog.start_tag);
        next.map(|(name, _)| name)
    }

    fn insert(&mut self, waiting: AdmissionRequest) {
        let virtual_time = self.virtual_time;
        let backlog = self.accounts.entry(waiting.account.clone()).or_default();
        if backlog.entries.is_empty() {
            backlog.start_tag = backlog.start_tag.max(virtual_time);
        }
        backlog.weight = waiting.weight.max(1);
        backlog.entries.push_back(waiting);
        self.len += 1;
    }

    /// Takes the newest request of the account with the longest backlog for its weight, if that
    /// is longer than the backlog of the newcomer's account would be.
    fn displace_for(&mut self, waiting: &AdmissionRequest) -> Option<AdmissionRequest> {
        let own = u64::from(self.account_len(&waiting.account)) + 1;
        let weight = u64::from(waiting.weight.max(1));
        let longest = self.accounts.values_mut().reduce(|best, next| {
            let best_share = best.len() * u64::from(next.weight);
            let next_share = next.len() * u64::from(best.weight);
            if next_share > best_share { next } else { best }
        })?;
        if longest.len() * weight <= own * u64::from(longest.weight) {
            return None;
        }
        let displaced = longest.entries.pop_back();
        self.forget(usize::from(displaced.is_some()));
        displaced
    }

    /// Counts removed requests out, and drops the accounts that no tag has to be kept for.
    fn forget(&mut self, removed: usize) {
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

fn virtual_cost(waiting: &AdmissionRequest) -> u64 {
    u64::from(waiting.cost.max(1)) * COST_UNIT / u64::from(waiting.weight.max(1))
}
