//! Sums of the in-flight requests of all entries, aggregated by failure domain.
//!
//! In a small fleet each entry sends its own counts to all others. In a larger fleet the first
//! entry of each failure domain is its aggregator: it sums the reports of the domain's entries,
//! sends that sum to the aggregators of the other domains, and sends the fleet-wide sum back to its
//! members. So a member receives updates from one entry, and an aggregator from its domain and the
//! other aggregators. Updates contain only changed servers, as absolute counts, and periodically
//! all of them, so that a lost message has no lasting effect.
//!
//! Load pattern: hundreds of requests begin and end each second over a hundred entries and more.
//! Any entry may fail, including an aggregator.

use std::{collections::VecDeque, net::IpAddr, time::Duration};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

use crate::gossip::{Gossip, IncarnationTag};

/// Short identifier of a backend server or service: part of the hash of its name.
pub type ServerTag = u32;

common_derives! {wire:
    /// Requests in flight at one server, and whether it is avoided.
    #[derive(Copy, Eq)]
    pub struct ServerInFlight {
        /// Server that the counts are for.
        pub server: ServerTag,
        /// Requests in flight.
        pub requests: u32,
        /// Remaining time in milliseconds during which no new requests are sent to the server.
        pub avoid_ms: u32,
        /// Consecutive pauses of the server so far.
        pub pauses: u32,
    }
}

common_derives! {wire:
    /// Prompt tokens that were sent to the servers of a service.
    #[derive(Copy, Eq)]
    pub struct TokensSent {
        /// Service that the tokens were sent to.
        pub service: ServerTag,
        /// Tokens since the sender of the update started; in the result of [`LoadSums::receive`],
        /// since its previous update.
        pub total: u64,
    }
}

common_derives! {wire:
    /// Entries whose requests an update contains.
    #[derive(Copy, Eq)]
    pub enum LoadScope {
        /// Those of the sender alone; sent to its aggregator.
        Own,
        /// Those of the sender and of its members; sent to other aggregators.
        Domain,
        /// Those of all entries; sent to a member.
        Fleet {
            /// Sequence number of the recipient's last report that the sums include.
            acked_sequence: u64,
        },
    }
}

common_derives! {wire:
    /// Message with requests in flight and tokens sent.
    #[derive(Eq)]
    pub struct InFlightUpdate {
        /// Incarnation of the sender.
        pub incarnation: IncarnationTag,
        /// Increases with each update of that incarnation.
        pub sequence: u64,
        /// Entries whose requests are counted.
        pub scope: LoadScope,
        /// Whether servers that are not listed have no requests; otherwise only changed servers are
        /// listed.
        pub is_full: bool,
        /// Requests by server.
        pub servers: Vec<ServerInFlight>,
        /// Prompt tokens by service.
        pub tokens: Vec<TokensSent>,
    }
}

common_derives! {value:
    /// Requests in flight and tokens sent of this entry alone.
    #[derive(Default)]
    pub struct LocalInFlight {
        /// Requests by server.
        pub servers: Vec<ServerInFlight>,
        /// Prompt tokens by service.
        pub tokens: Vec<TokensSent>,
    }
}

common_derives! {value:
    /// Intervals and timeouts of the exchange of in-flight counts.
    pub struct LoadSumsConfig {
        /// Minimum time between two reports of an entry.
        pub min_report_interval: Duration,
        /// Minimum time between two updates of an aggregator to the same entry.
        pub min_update_interval: Duration,
        /// Minimum of that time per member of the aggregator; applies when there are many.
        pub update_interval_per_member: Duration,
        /// Maximum time between two updates.
        pub max_interval: Duration,
        /// Time between two updates that list all servers.
        pub full_update_interval: Duration,
        /// Number of servers up to which every update lists all of them.
        pub always_full_servers: usize,
        /// Time without an update after which the counts of a source are removed.
        pub source_timeout: Duration,
        /// Time without an update of an aggregator after which its members report to the next
        /// entry.
        pub aggregator_timeout: Duration,
        /// Time for which an aggregator that timed out is not chosen again.
        pub skip_duration: Duration,
        /// Maximum age at which the sums of a former aggregator are still used.
        pub aggregator_sums_max_age: Duration,
    }
}

impl Default for LoadSumsConfig {
    fn default() -> Self {
        Self {
            min_report_interval: Duration::from_millis(8),
            min_update_interval: Duration::from_millis(16),
            update_interval_per_member: Duration::from_micros(600),
            max_interval: Duration::from_millis(150),
            full_update_interval: Duration::from_millis(300),
            always_full_servers: 24,
            source_timeout: Duration::from_millis(900),
            aggregator_timeout: Duration::from_millis(400),
            skip_duration: Duration::from_secs(2),
            aggregator_sums_max_age: Duration::from_millis(1_500),
        }
    }
}

common_derives! {copy:
    /// Role of an entry in the aggregation.
    pub enum Role {
        /// Sends its own requests and those of its members to other entries.
        Aggregator,
        /// Reports to the aggregator with this address.
        Member(IpAddr),
    }
}

/// Update together with its recipients.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingUpdate {
    /// Entries to send to, each with the sequence number of its last report.
    pub recipients: Vec<(IpAddr, u64)>,
    /// The update; the sender sets `acked_sequence` for each recipient.
    pub update: InFlightUpdate,
}

/// Server that other entries avoid.
#[derive(Debug, Clone, Copy, Default)]
struct Avoidance {
    until: Timestamp,
    pauses: u32,
    /// Receipt of the update that began the current pause.
    started: Timestamp,
}

/// Last known counts of one entry.
#[derive(Debug, Clone, Default)]
struct Source {
    incarnation: IncarnationTag,
    sequence: u64,
    last_update: Timestamp,
    counts: FastMap<ServerTag, u32>,
    tokens: FastMap<ServerTag, u64>,
}

/// Last known counts of several entries, and their sums.
#[derive(Debug, Clone, Default)]
struct Sources {
    by_ip: FastMap<IpAddr, Source>,
    counts: FastMap<ServerTag, u32>,
    /// Tokens by service that were reported since this entry started.
    tokens: FastMap<ServerTag, u64>,
    avoided: FastMap<ServerTag, Avoidance>,
}

/// Extension of a pause from which it counts as a new pause.
const NEW_PAUSE_MARGIN: Duration = Duration::from_millis(50);

impl Sources {
    /// Applies an update and returns the tokens sent since the previous one, or `None` when the
    /// update is out of order.
    fn apply(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        update: &InFlightUpdate,
    ) -> Option<Vec<TokensSent>> {
        let is_known = self
            .by_ip
            .get(&from)
            .is_some_and(|it| it.incarnation == update.incarnation);
        if !is_known {
            self.remove_source(from);
        }
        let source = self.by_ip.entry(from).or_default();
        if is_known && update.sequence <= source.sequence {
            return None;
        }
        source.incarnation = update.incarnation;
        source.sequence = update.sequence;
        source.last_update = now;
        update_counts(source, update, &mut self.counts);
        self.record_avoidances(now, &update.servers);
        let source = self.by_ip.get_mut(&from)?;
        let mut new_tokens = Vec::new();
        for reported in &update.tokens {
            let before = source.tokens.insert(reported.service, reported.total);
            let new = reported
                .total
                .saturating_sub(before.unwrap_or(reported.total));
            *self.tokens.entry(reported.service).or_default() += new;
            new_tokens.push(TokensSent {
                service: reported.service,
                total: new,
            });
        }
        Some(new_tokens)
    }

    /// Records the servers that the sender of an update avoids.
    fn record_avoidances(&mut self, now: Timestamp, servers: &[ServerInFlight]) {
        for reported in servers.iter().filter(|it| it.avoid_ms > 0) {
            let until = now + Duration::from_millis(u64::from(reported.avoid_ms));
            let avoided = self.avoided.entry(reported.server).or_default();
            if until > avoided.until + NEW_PAUSE_MARGIN {
                avoided.started = now;
            }
            avoided.until = avoided.until.max(until);
            avoided.pauses = avoided.pauses.max(reported.pauses);
        }
    }

    /// Removes a source and subtracts its counts from the sums.
    fn remove_source(&mut self, ip: IpAddr) {
        let Some(source) = self.by_ip.remove(&ip) else {
            return;
        };
        for (server, count) in source.counts {
            adjust_sum(&mut self.counts, server, count, 0);
        }
    }

    /// Removes sources without an update since `since`; returns whether there were any.
    fn expire(&mut self, since: Timestamp, kept: impl Fn(&Avoidance) -> bool) -> bool {
        let silent = self.by_ip.iter().filter(|(_, it)| it.last_update < since);
        let silent: Vec<IpAddr> = silent.map(|(ip, _)| *ip).collect();
        for ip in &silent {
            self.remove_source(*ip);
        }
        self.avoided.retain(|_, it| kept(it));
        !silent.is_empty()
    }

    fn count(&self, server: ServerTag) -> u32 {
        self.counts.get(&server).copied().unwrap_or_default()
    }
}

/// Replaces the counts of a source with those of an update, and adjusts the sums.
fn update_counts(source: &mut Source, update: &InFlightUpdate, sums: &mut FastMap<ServerTag, u32>) {
    if update.is_full {
        let is_listed = |server: ServerTag| update.servers.iter().any(|it| it.server == server);
        let removed = source.counts.keys().copied().filter(|it| !is_listed(*it));
        let removed: Vec<ServerTag> = removed.collect();
        for server in removed {
            let before = source.counts.remove(&server).unwrap_or_default();
            adjust_sum(sums, server, before, 0);
        }
    }
    for reported in &update.servers {
        let before = match reported.requests {
            0 => source.counts.remove(&reported.server),
            requests => source.counts.insert(reported.server, requests),
        };
        adjust_sum(
            sums,
            reported.server,
            before.unwrap_or_default(),
            reported.requests,
        );
    }
}

/// Replaces a count by another one in the sum of its server.
fn adjust_sum(sums: &mut FastMap<ServerTag, u32>, server: ServerTag, before: u32, after: u32) {
    let sum = sums.entry(server).or_default();
    *sum = sum.saturating_sub(before) + after;
    if *sum == 0 {
        sums.remove(&server);
    }
}

/// Content and time of the last update of one scope.
#[derive(Debug, Clone, Default)]
struct SentUpdate {
    counts: FastMap<ServerTag, u32>,
    sent_at: Timestamp,
    full_sent_at: Option<Timestamp>,
}

/// In-flight requests of all other entries, as known to this one.
#[derive(Debug)]
pub struct LoadSums {
    config: LoadSumsConfig,
    incarnation: IncarnationTag,
    role: Role,
    /// Time of the last change of role.
    role_since: Timestamp,
    /// Entries that an aggregator sends to, beside those that send to it.
    targets: Vec<IpAddr>,
    sequence: u64,
    /// Sequence numbers and contents of reports that are not acknowledged yet.
    reports: VecDeque<(u64, LocalInFlight)>,
    /// Counts of the entries that report to this one.
    member_sources: Sources,
    /// Counts of other aggregators.
    aggregator_sources: Sources,
    /// Sums received from the aggregator, and this entry's own part of them.
    fleet_sums: Sources,
    fleet_sums_from: Option<IpAddr>,
    own_in_fleet_sums: LocalInFlight,
    skipped_aggregators: FastMap<IpAddr, Timestamp>,
    sent_to_aggregators: SentUpdate,
    sent_to_members: SentUpdate,
    last_sent: Timestamp,
    has_changed: bool,
}

/// Maximum number of reports kept until they are acknowledged.
const MAX_UNACKED_REPORTS: usize = 64;

impl LoadSums {
    /// Returns sums without any source.
    pub fn new(config: LoadSumsConfig, incarnation: IncarnationTag) -> Self {
        Self {
            config,
            incarnation,
            role: Role::Aggregator,
            role_since: Timestamp::ZERO,
            targets: Vec::new(),
            sequence: 0,
            reports: VecDeque::new(),
            member_sources: Sources::default(),
            aggregator_sources: Sources::default(),
            fleet_sums: Sources::default(),
            fleet_sums_from: None,
            own_in_fleet_sums: LocalInFlight::default(),
            skipped_aggregators: FastMap::default(),
            sent_to_aggregators: SentUpdate::default(),
            sent_to_members: SentUpdate::default(),
            last_sent: Timestamp::ZERO,
            has_changed: false,
        }
    }

    /// Returns the role of this entry.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the entries that report to this one.
    pub fn members(&self) -> impl Iterator<Item = IpAddr> {
        self.member_sources.by_ip.keys().copied()
    }

    /// Returns the other aggregators that this entry has counts of.
    pub fn aggregators(&self) -> impl Iterator<Item = IpAddr> {
        self.aggregator_sources.by_ip.keys().copied()
    }

    /// Returns the entries to gossip with in each round: an aggregator collects the state of its
    /// domain, and its members receive the state of the fleet from it.
    pub fn gossip_targets(&self) -> Vec<IpAddr> {
        match self.role {
            Role::Member(aggregator) => vec![aggregator],
            Role::Aggregator => self.members().chain(self.aggregators()).collect(),
        }
    }

    /// Removes expired sources and derives the role from the live entries; returns whether it
    /// changed.
    pub fn update_role(&mut self, now: Timestamp, gossip: &Gossip) -> bool {
        self.expire(now);
        let before = self.role;
        if gossip.is_full_mesh() {
            self.role = Role::Aggregator;
            self.set_targets(gossip.alive_members(now).map(|it| it.status.ip).collect());
        } else {
            self.update_role_by_domain(now, gossip);
        }
        let is_new = self.role != before;
        if is_new {
            self.role_since = now;
            self.has_changed = true;
        }
        is_new
    }

    /// Derives the role in a large fleet: the first available entry of a failure domain is its
    /// aggregator.
    fn update_role_by_domain(&mut self, now: Timestamp, gossip: &Gossip) {
        let domains = gossip.staying_by_domain(now);
        let own = gossip.ip();
        let is_available = |ip: &IpAddr| *ip == own || !self.skipped_aggregators.contains_key(ip);
        let same_domain = domains.get(gossip.domain()).into_iter().flatten();
        let chosen = same_domain.copied().find(is_available).unwrap_or(own);
        let first_entries = domains.values().filter_map(|ips| ips.first().copied());
        let targets = first_entries.filter(|ip| *ip != own).collect();
        self.role = match chosen == own {
            true => Role::Aggregator,
            false => Role::Member(chosen),
        };
        self.set_targets(targets);
    }

    /// Sets the entries to send to; new ones need a full update.
    fn set_targets(&mut self, mut targets: Vec<IpAddr>) {
        targets.sort_unstable();
        if targets.iter().any(|it| !self.targets.contains(it)) {
            self.sent_to_aggregators.full_sent_at = None;
        }
        self.targets = targets;
    }

    /// Removes expired sources, and skips the aggregator of this entry if it timed out.
    fn expire(&mut self, now: Timestamp) {
        let since = now.saturating_sub(self.config.source_timeout);
        let is_kept = |it: &Avoidance| now < it.until;
        let mut has_changed = self.member_sources.expire(since, is_kept);
        has_changed |= self.aggregator_sources.expire(since, is_kept);
        let since_sums = now.saturating_sub(self.config.aggregator_sums_max_age);
        self.fleet_sums.expire(since_sums, is_kept);
        self.skipped_aggregators.retain(|_, until| now < *until);
        self.has_changed |= has_changed;
        if let Role::Member(ip) = self.role {
            let last_update = self.fleet_sums.by_ip.get(&ip).map(|it| it.last_update);
            let last = last_update.unwrap_or_default().max(self.role_since);
            if last + self.config.aggregator_timeout < now {
                let until = now + self.config.skip_duration;
                self.skipped_aggregators.insert(ip, until);
            }
        }
    }

    /// Applies an update and returns the prompt tokens that others have sent since the previous
    /// one.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        update: &InFlightUpdate,
    ) -> Vec<TokensSent> {
        let is_member = matches!(self.role, Role::Member(_));
        match update.scope {
            LoadScope::Own => {
                if !self.member_sources.by_ip.contains_key(&from) {
                    self.sent_to_members.full_sent_at = None;
                }
                let new_tokens = self.member_sources.apply(now, from, update);
                self.has_changed = true;
                new_tokens.filter(|_| !is_member).unwrap_or_default()
            }
            LoadScope::Domain => {
                let new_tokens = self.aggregator_sources.apply(now, from, update);
                self.has_changed |= self.has_members();
                new_tokens.filter(|_| !is_member).unwrap_or_default()
            }
            LoadScope::Fleet { acked_sequence } if self.role == Role::Member(from) => {
                self.receive_fleet_sums(now, from, update, acked_sequence)
            }
            LoadScope::Fleet { .. } => Vec::new(),
        }
    }

    /// Applies the sums of this entry's aggregator. The entry's own part of them is known from the
    /// acknowledged report, and is subtracted.
    fn receive_fleet_sums(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        update: &InFlightUpdate,
        acked_sequence: u64,
    ) -> Vec<TokensSent> {
        if self.fleet_sums_from != Some(from) {
            self.fleet_sums = Sources::default();
            self.fleet_sums_from = Some(from);
        }
        let Some(mut new_tokens) = self.fleet_sums.apply(now, from, update) else {
            return Vec::new();
        };
        while self
            .reports
            .front()
            .is_some_and(|(sequence, _)| *sequence < acked_sequence)
        {
            self.reports.pop_front();
        }
        let acked_report = self
            .reports
            .front()
            .filter(|(sequence, _)| *sequence == acked_sequence);
        let acked_report = acked_report.map(|(_, own)| own.clone()).unwrap_or_default();
        for sent in &mut new_tokens {
            let own = total_tokens(&acked_report, sent.service);
            let before = total_tokens(&self.own_in_fleet_sums, sent.service);
            sent.total = sent.total.saturating_sub(own.saturating_sub(before));
        }
        self.own_in_fleet_sums = acked_report;
        new_tokens
    }

    /// Returns the requests of the other entries at a server.
    pub fn remote_requests(&self, server: ServerTag) -> u32 {
        let received = self.member_sources.count(server) + self.aggregator_sources.count(server);
        let fleet = self.fleet_sums.count(server);
        let servers = self.own_in_fleet_sums.servers.iter();
        let mut own = servers.filter(|it| it.server == server);
        let fleet = fleet.saturating_sub(own.next().map_or(0, |it| it.requests));
        match self.role {
            Role::Member(_) => fleet,
            // An aggregator that was a member until now has not received all reports yet.
            Role::Aggregator => received.max(fleet),
        }
    }

    /// Returns until when other entries avoid a server, and the highest number of consecutive
    /// pauses.
    pub fn remote_avoidance(&self, server: ServerTag) -> Option<(Timestamp, u32)> {
        let all = [
            &self.member_sources,
            &self.aggregator_sources,
            &self.fleet_sums,
        ];
        let avoidances = all.iter().filter_map(|it| it.avoided.get(&server));
        let avoidances = avoidances.map(|it| (it.until, it.pauses));
        avoidances.reduce(|a, b| (a.0.max(b.0), a.1.max(b.1)))
    }

    /// Records that the requests of this entry have changed.
    pub fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Returns the time at which the next updates are due.
    pub fn next_send_at(&self) -> Timestamp {
        let pause = match (self.has_changed, self.has_members()) {
            (false, _) => self.config.max_interval,
            (true, true) => self.update_interval(),
            (true, false) => self.config.min_report_interval,
        };
        self.last_sent + pause
    }

    /// Returns the time between two updates of this aggregator to the same entry.
    fn update_interval(&self) -> Duration {
        let members = u32::try_from(self.member_sources.by_ip.len()).unwrap_or(u32::MAX);
        let share = self
            .config
            .update_interval_per_member
            .saturating_mul(members);
        self.config.min_update_interval.max(share)
    }

    /// Returns whether other entries report to this one.
    fn has_members(&self) -> bool {
        !self.member_sources.by_ip.is_empty()
    }

    /// Returns the updates to send now.
    pub fn prepare_updates(&mut self, now: Timestamp, own: LocalInFlight) -> Vec<OutgoingUpdate> {
        self.last_sent = now;
        self.has_changed = false;
        let mut updates = Vec::new();
        if let Role::Member(aggregator) = self.role {
            updates.push(self.prepare_report(aggregator, &own));
        }
        // Requests that are reported to an aggregator are part of that aggregator's sums.
        let unreported = match self.role {
            Role::Aggregator => own,
            Role::Member(_) => LocalInFlight::default(),
        };
        if self.role == Role::Aggregator || self.has_members() {
            updates.extend(self.prepare_aggregator_update(now, &unreported));
        }
        if self.has_members() {
            updates.push(self.prepare_member_update(now, &unreported));
        }
        updates
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Builds the report to the aggregator, and keeps it until it is acknowledged.
    fn prepare_report(&mut self, aggregator: IpAddr, own: &LocalInFlight) -> OutgoingUpdate {
        let sequence = self.next_sequence();
        self.reports.push_back((sequence, own.clone()));
        while self.reports.len() > MAX_UNACKED_REPORTS {
            self.reports.pop_front();
        }
        OutgoingUpdate {
            recipients: vec![(aggregator, 0)],
            update: InFlightUpdate {
                incarnation: self.incarnation,
                sequence,
                scope: LoadScope::Own,
                is_full: true,
                servers: own.servers.clone(),
                tokens: own.tokens.clone(),
            },
        }
    }

    /// Builds the update for the other aggregators.
    fn prepare_aggregator_update(
        &mut self,
        now: Timestamp,
        own: &LocalInFlight,
    ) -> Option<OutgoingUpdate> {
        let known = self.aggregator_sources.by_ip.keys().copied();
        let mut recipients: Vec<IpAddr> = known.chain(self.targets.iter().copied()).collect();
        recipients.sort_unstable();
        recipients.dedup();
        if recipients.is_empty() {
            return None;
        }
        let mut sent = std::mem::take(&mut self.sent_to_aggregators);
        let update = self.build_update(
            now,
            &mut sent,
            LoadScope::Domain,
            own,
            &[&self.member_sources],
        );
        self.sent_to_aggregators = sent;
        let sequence = self.next_sequence();
        Some(OutgoingUpdate {
            recipients: recipients.into_iter().map(|ip| (ip, 0)).collect(),
            update: InFlightUpdate { sequence, ..update },
        })
    }

    /// Builds the update for the members of this aggregator.
    fn prepare_member_update(&mut self, now: Timestamp, own: &LocalInFlight) -> OutgoingUpdate {
        let mut sent = std::mem::take(&mut self.sent_to_members);
        let scope = LoadScope::Fleet { acked_sequence: 0 };
        let sources = [&self.member_sources, &self.aggregator_sources];
        let update = self.build_update(now, &mut sent, scope, own, &sources);
        self.sent_to_members = sent;
        let sequence = self.next_sequence();
        let members = self.member_sources.by_ip.iter();
        OutgoingUpdate {
            recipients: members.map(|(ip, it)| (*ip, it.sequence)).collect(),
            update: InFlightUpdate { sequence, ..update },
        }
    }

    /// Builds an update with the sums of `sources` and the requests of this entry.
    fn build_update(
        &self,
        now: Timestamp,
        sent: &mut SentUpdate,
        scope: LoadScope,
        own: &LocalInFlight,
        sources: &[&Sources],
    ) -> InFlightUpdate {
        let mut counts: FastMap<ServerTag, u32> = FastMap::default();
        let mut tokens: FastMap<ServerTag, u64> = FastMap::default();
        for source in sources {
            for (server, count) in &source.counts {
                *counts.entry(*server).or_default() += count;
            }
            for (service, total) in &source.tokens {
                *tokens.entry(*service).or_default() += total;
            }
        }
        for it in own.servers.iter().filter(|it| it.requests > 0) {
            *counts.entry(it.server).or_default() += it.requests;
        }
        for it in &own.tokens {
            *tokens.entry(it.service).or_default() += it.total;
        }
        let is_due = sent
            .full_sent_at
            .is_none_or(|at| now >= at + self.config.full_update_interval);
        let is_full = is_due || counts.len() <= self.config.always_full_servers;
        let mut servers = match is_full {
            true => counts
                .iter()
                .map(|(server, it)| server_requests(*server, *it))
                .collect(),
            false => changed_counts(&sent.counts, &counts),
        };
        let since = if is_full {
            Timestamp::ZERO
        } else {
            sent.sent_at
        };
        merge_avoided(
            &mut servers,
            &counts,
            avoided_since(now, since, own, sources),
        );
        if is_full {
            sent.full_sent_at = Some(now);
        }
        sent.sent_at = now;
        sent.counts = counts;
        let tokens = tokens.into_iter();
        InFlightUpdate {
            incarnation: self.incarnation,
            sequence: 0,
            scope,
            is_full,
            servers,
            tokens: tokens
                .map(|(service, total)| TokensSent { service, total })
                .collect(),
        }
    }
}

/// Returns the tokens that were sent to a service.
fn total_tokens(own: &LocalInFlight, service: ServerTag) -> u64 {
    let mut sent = own.tokens.iter().filter(|it| it.service == service);
    sent.next().map_or(0, |it| it.total)
}

/// Returns the requests at a server that is not avoided.
fn server_requests(server: ServerTag, requests: u32) -> ServerInFlight {
    ServerInFlight {
        server,
        requests,
        avoid_ms: 0,
        pauses: 0,
    }
}

/// Returns the servers whose counts differ.
fn changed_counts(
    before: &FastMap<ServerTag, u32>,
    after: &FastMap<ServerTag, u32>,
) -> Vec<ServerInFlight> {
    let removed = before.keys().filter(|server| !after.contains_key(server));
    let removed = removed.map(|server| server_requests(*server, 0));
    let changed = after
        .iter()
        .filter(|(server, count)| before.get(server) != Some(count));
    let changed = changed.map(|(server, count)| server_requests(*server, *count));
    removed.chain(changed).collect()
}

/// Avoided server, remaining time in milliseconds, and consecutive pauses.
type AvoidedServer = (ServerTag, u32, u32);

/// Returns the avoided servers whose pause began at `since` or later.
fn avoided_since(
    now: Timestamp,
    since: Timestamp,
    own: &LocalInFlight,
    sources: &[&Sources],
) -> Vec<AvoidedServer> {
    let own = own.servers.iter().filter(|it| it.avoid_ms > 0);
    let own = own.map(|it| (it.server, it.avoid_ms, it.pauses));
    let remote = sources.iter().flat_map(|it| &it.avoided);
    let remote = remote.filter(|(_, it)| it.until > now && it.started >= since);
    let remote = remote.map(|(server, it)| {
        let remaining = it.until.saturating_sub(now);
        (*server, remaining.as_millis() as u32, it.pauses)
    });
    own.chain(remote).collect()
}

/// Adds the avoided servers to those of an update.
fn merge_avoided(
    servers: &mut Vec<ServerInFlight>,
    counts: &FastMap<ServerTag, u32>,
    avoided: Vec<AvoidedServer>,
) {
    for (server, avoid_ms, pauses) in avoided {
        let listed = servers.iter_mut().find(|it| it.server == server);
        match listed {
            Some(it) => {
                it.avoid_ms = it.avoid_ms.max(avoid_ms);
                it.pauses = it.pauses.max(pauses);
            }
            None => servers.push(ServerInFlight {
                server,
                requests: counts.get(&server).copied().unwrap_or_default(),
                avoid_ms,
                pauses,
            }),
        }
    }
}
