//! Requests in flight of all entries, summed up on their way to each of them.
//!
//! In a small fleet each entry tells all others what it has in flight. In a larger one the first entry
//! of each failure domain, its aggregator, sums up what the entries there report, tells the aggregators
//! of the other domains, and tells the sum over all to those who report to it. So each entry hears one
//! other, and an aggregator its domain and a few more. Messages carry what has changed, as whole
//! numbers, and everything now and then, so that lost ones do no lasting harm.
//!
//! Load pattern: hundreds of requests begin and end each second over a hundred entries and more, of
//! which any may vanish, an aggregator as well.

use std::{collections::VecDeque, net::IpAddr, time::Duration};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

use crate::gossip::{Gossip, IncarnationTag};

/// Short name of a backend server or service: part of the hash of its name.
pub type ServerTag = u32;

common_derives! {wire:
    /// Requests at one server, and whether it is kept away from.
    #[derive(Copy, Eq)]
    pub struct ServerInFlight {
        /// The server.
        pub server: ServerTag,
        /// Requests in flight.
        pub requests: u32,
        /// Milliseconds for which no new ones are sent there.
        pub avoid_ms: u32,
        /// Pauses of this kind that were made in a row.
        pub pauses: u32,
    }
}

common_derives! {wire:
    /// Prompt tokens that were sent to the servers of a service.
    #[derive(Copy, Eq)]
    pub struct TokensSent {
        /// The service.
        pub service: ServerTag,
        /// Tokens since the one that tells this has started.
        pub total: u64,
    }
}

common_derives! {wire:
    /// Whose requests a message is about.
    #[derive(Copy, Eq)]
    pub enum LoadScope {
        /// Those of the entry that tells them, for its aggregator.
        Own,
        /// Those of the entries that report to the one that tells them, its own among them.
        Domain,
        /// Those of all entries, for one that reports.
        Fleet {
            /// Number of the last report of that entry which the sums contain.
            acked_sequence: u64,
        },
    }
}

common_derives! {wire:
    /// Requests in flight, and tokens sent.
    #[derive(Eq)]
    pub struct InFlightUpdate {
        /// Life of the entry that tells this.
        pub incarnation: IncarnationTag,
        /// Rises with each message of that life.
        pub sequence: u64,
        /// Whose requests these are.
        pub scope: LoadScope,
        /// Whether servers that are not named have none; else only changes are named.
        pub is_full: bool,
        /// Requests by server.
        pub servers: Vec<ServerInFlight>,
        /// Prompt tokens by service.
        pub tokens: Vec<TokensSent>,
    }
}

common_derives! {value:
    /// What one entry has in flight itself.
    #[derive(Default)]
    pub struct LocalInFlight {
        /// Requests by server.
        pub servers: Vec<ServerInFlight>,
        /// Prompt tokens by service.
        pub tokens: Vec<TokensSent>,
    }
}

common_derives! {value:
    /// Tunables of telling.
    pub struct LoadSumsConfig {
        /// Shortest time between two reports of an entry.
        pub min_report_interval: Duration,
        /// Shortest time between two messages of an aggregator to the same entry.
        pub min_update_interval: Duration,
        /// The same for each entry that it tells, where these are many.
        pub update_interval_per_member: Duration,
        /// Longest time between two messages.
        pub max_interval: Duration,
        /// Time between two messages that name all servers.
        pub full_update_interval: Duration,
        /// Servers up to which all are named each time.
        pub always_full_servers: usize,
        /// Silence after which what an entry has told is dropped.
        pub source_timeout: Duration,
        /// Silence of an aggregator after which its entries report to the next one.
        pub aggregator_timeout: Duration,
        /// Time for which an aggregator that was silent is passed over.
        pub skip_duration: Duration,
        /// Age up to which the sums of a former aggregator are used.
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
    /// What an entry does for the sums.
    pub enum Role {
        /// It tells its own requests and those reported to it to others.
        Aggregator,
        /// It reports to an aggregator.
        Member(IpAddr),
    }
}

/// A message, and whom it is for.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingUpdate {
    /// Entries to tell, each with the number of its last report.
    pub recipients: Vec<(IpAddr, u64)>,
    /// The message; its echo is that of the entry told.
    pub update: InFlightUpdate,
}

/// A server that others keep away from.
#[derive(Debug, Clone, Copy, Default)]
struct Avoided {
    until: Timestamp,
    pauses: u32,
    /// When this was last heard to begin anew.
    changed: Timestamp,
}

/// What one entry has told.
#[derive(Debug, Clone, Default)]
struct Source {
    life: IncarnationTag,
    number: u64,
    heard: Timestamp,
    counts: FastMap<ServerTag, u32>,
    tokens: FastMap<ServerTag, u64>,
}

/// What several entries have told, and the sums.
#[derive(Debug, Clone, Default)]
struct Sources {
    by_ip: FastMap<IpAddr, Source>,
    counts: FastMap<ServerTag, u32>,
    /// Tokens by service since this entry started.
    tokens: FastMap<ServerTag, u64>,
    avoided: FastMap<ServerTag, Avoided>,
}

/// The part of a remaining pause by which it has to grow to count as a new one.
const NEW_PAUSE: Duration = Duration::from_millis(50);

impl Sources {
    /// Takes in a message; the tokens sent since the one before it, or none where it is out of order.
    fn take(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        news: &InFlightUpdate,
    ) -> Option<Vec<TokensSent>> {
        let is_known = self
            .by_ip
            .get(&from)
            .is_some_and(|it| it.life == news.incarnation);
        if !is_known {
            self.drop_source(from);
        }
        let source = self.by_ip.entry(from).or_default();
        if is_known && news.sequence <= source.number {
            return None;
        }
        source.life = news.incarnation;
        source.number = news.sequence;
        source.heard = now;
        update_counts(source, news, &mut self.counts);
        self.take_avoided(now, &news.servers);
        let source = self.by_ip.get_mut(&from)?;
        let mut grown = Vec::new();
        for told in &news.tokens {
            let before = source.tokens.insert(told.service, told.total);
            let new = told.total.saturating_sub(before.unwrap_or(told.total));
            *self.tokens.entry(told.service).or_default() += new;
            grown.push(TokensSent {
                service: told.service,
                total: new,
            });
        }
        Some(grown)
    }

    fn take_avoided(&mut self, now: Timestamp, uses: &[ServerInFlight]) {
        for told in uses.iter().filter(|it| it.avoid_ms > 0) {
            let until = now + Duration::from_millis(u64::from(told.avoid_ms));
            let avoided = self.avoided.entry(told.server).or_default();
            if until > avoided.until + NEW_PAUSE {
                avoided.changed = now;
            }
            avoided.until = avoided.until.max(until);
            avoided.pauses = avoided.pauses.max(told.pauses);
        }
    }

    fn drop_source(&mut self, ip: IpAddr) {
        let Some(source) = self.by_ip.remove(&ip) else {
            return;
        };
        for (server, count) in source.counts {
            change(&mut self.counts, server, count, 0);
        }
    }

    /// Drops what entries have told that are silent; true where there were any.
    fn expire(&mut self, since: Timestamp, kept: impl Fn(&Avoided) -> bool) -> bool {
        let silent = self.by_ip.iter().filter(|(_, it)| it.heard < since);
        let silent: Vec<IpAddr> = silent.map(|(ip, _)| *ip).collect();
        for ip in &silent {
            self.drop_source(*ip);
        }
        self.avoided.retain(|_, it| kept(it));
        !silent.is_empty()
    }

    fn count(&self, server: ServerTag) -> u32 {
        self.counts.get(&server).copied().unwrap_or_default()
    }
}

/// Takes the counts of a message over, and into the sums.
fn update_counts(source: &mut Source, news: &InFlightUpdate, sums: &mut FastMap<ServerTag, u32>) {
    if news.is_full {
        let named = |server: ServerTag| news.servers.iter().any(|it| it.server == server);
        let gone = source.counts.keys().copied().filter(|it| !named(*it));
        let gone: Vec<ServerTag> = gone.collect();
        for server in gone {
            let before = source.counts.remove(&server).unwrap_or_default();
            change(sums, server, before, 0);
        }
    }
    for told in &news.servers {
        let before = match told.requests {
            0 => source.counts.remove(&told.server),
            requests => source.counts.insert(told.server, requests),
        };
        change(sums, told.server, before.unwrap_or_default(), told.requests);
    }
}

fn change(sums: &mut FastMap<ServerTag, u32>, server: ServerTag, before: u32, after: u32) {
    let sum = sums.entry(server).or_default();
    *sum = sum.saturating_sub(before) + after;
    if *sum == 0 {
        sums.remove(&server);
    }
}

/// What a message of one scope has said last.
#[derive(Debug, Clone, Default)]
struct Told {
    counts: FastMap<ServerTag, u32>,
    at: Timestamp,
    whole_at: Option<Timestamp>,
}

/// All that one entry knows of the requests in flight of the others.
#[derive(Debug)]
pub struct LoadSums {
    config: LoadSumsConfig,
    life: IncarnationTag,
    role: Role,
    /// Since when it has this role.
    role_since: Timestamp,
    /// Entries that an aggregator tells, beside those that tell it.
    targets: Vec<IpAddr>,
    number: u64,
    /// Own requests as they were reported, by the number of the report.
    reports: VecDeque<(u64, LocalInFlight)>,
    /// Entries that report to this one.
    near: Sources,
    /// Other aggregators.
    far: Sources,
    /// The sums of its aggregator, and this entry's own part of them.
    upper: Sources,
    upper_from: Option<IpAddr>,
    own_part: LocalInFlight,
    passed_over: FastMap<IpAddr, Timestamp>,
    told_domain: Told,
    told_fleet: Told,
    told_at: Timestamp,
    has_changed: bool,
}

/// Reports whose content is kept until they are echoed.
const REPORTS_KEPT: usize = 64;

impl LoadSums {
    /// Knows of nobody.
    pub fn new(config: LoadSumsConfig, life: IncarnationTag) -> Self {
        Self {
            config,
            life,
            role: Role::Aggregator,
            role_since: Timestamp::ZERO,
            targets: Vec::new(),
            number: 0,
            reports: VecDeque::new(),
            near: Sources::default(),
            far: Sources::default(),
            upper: Sources::default(),
            upper_from: None,
            own_part: LocalInFlight::default(),
            passed_over: FastMap::default(),
            told_domain: Told::default(),
            told_fleet: Told::default(),
            told_at: Timestamp::ZERO,
            has_changed: false,
        }
    }

    /// What this entry does for the sums.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Entries that report to this one.
    pub fn members(&self) -> impl Iterator<Item = IpAddr> {
        self.near.by_ip.keys().copied()
    }

    /// Other aggregators that are heard.
    pub fn aggregators(&self) -> impl Iterator<Item = IpAddr> {
        self.far.by_ip.keys().copied()
    }

    /// Entries that are to hear in each round who is alive: an aggregator knows it of its domain, and
    /// those who report to it hear it from there.
    pub fn gossip_targets(&self) -> Vec<IpAddr> {
        match self.role {
            Role::Member(aggregator) => vec![aggregator],
            Role::Aggregator => self.members().chain(self.aggregators()).collect(),
        }
    }

    /// Drops what is old, and takes up the role that follows from who is alive; true where the role is
    /// another one than before.
    pub fn update_role(&mut self, now: Timestamp, gossip: &Gossip) -> bool {
        self.expire(now);
        let before = self.role;
        if gossip.is_full_mesh() {
            self.role = Role::Aggregator;
            self.retarget(gossip.alive_members(now).map(|it| it.status.ip).collect());
        } else {
            self.assign_by_domain(now, gossip);
        }
        let is_new = self.role != before;
        if is_new {
            self.role_since = now;
            self.has_changed = true;
        }
        is_new
    }

    fn assign_by_domain(&mut self, now: Timestamp, gossip: &Gossip) {
        let domains = gossip.staying_by_domain(now);
        let own = gossip.ip();
        let is_open = |ip: &IpAddr| *ip == own || !self.passed_over.contains_key(ip);
        let near = domains.get(gossip.domain()).into_iter().flatten();
        let chosen = near.copied().find(is_open).unwrap_or(own);
        let firsts = domains.values().filter_map(|ips| ips.first().copied());
        let targets = firsts.filter(|ip| *ip != own).collect();
        self.role = match chosen == own {
            true => Role::Aggregator,
            false => Role::Member(chosen),
        };
        self.retarget(targets);
    }

    fn retarget(&mut self, mut targets: Vec<IpAddr>) {
        targets.sort_unstable();
        if targets.iter().any(|it| !self.targets.contains(it)) {
            self.told_domain.whole_at = None;
        }
        self.targets = targets;
    }

    fn expire(&mut self, now: Timestamp) {
        let since = now.saturating_sub(self.config.source_timeout);
        let is_kept = |it: &Avoided| now < it.until;
        let mut has_changed = self.near.expire(since, is_kept);
        has_changed |= self.far.expire(since, is_kept);
        let usable = now.saturating_sub(self.config.aggregator_sums_max_age);
        self.upper.expire(usable, is_kept);
        self.passed_over.retain(|_, until| now < *until);
        self.has_changed |= has_changed;
        if let Role::Member(ip) = self.role {
            let heard = self.upper.by_ip.get(&ip).map(|it| it.heard);
            let last = heard.unwrap_or_default().max(self.role_since);
            if last + self.config.aggregator_timeout < now {
                let until = now + self.config.skip_duration;
                self.passed_over.insert(ip, until);
            }
        }
    }

    /// Takes in a message; the prompt tokens that others have sent since the one before it.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        news: &InFlightUpdate,
    ) -> Vec<TokensSent> {
        let is_member = matches!(self.role, Role::Member(_));
        match news.scope {
            LoadScope::Own => {
                if !self.near.by_ip.contains_key(&from) {
                    self.told_fleet.whole_at = None;
                }
                let grown = self.near.take(now, from, news);
                self.has_changed = true;
                grown.filter(|_| !is_member).unwrap_or_default()
            }
            LoadScope::Domain => {
                let grown = self.far.take(now, from, news);
                self.has_changed |= self.is_serving();
                grown.filter(|_| !is_member).unwrap_or_default()
            }
            LoadScope::Fleet {
                acked_sequence: echo,
            } if self.role == Role::Member(from) => self.take_fleet(now, from, news, echo),
            LoadScope::Fleet { .. } => Vec::new(),
        }
    }

    fn take_fleet(
        &mut self,
        now: Timestamp,
        from: IpAddr,
        news: &InFlightUpdate,
        echo: u64,
    ) -> Vec<TokensSent> {
        if self.upper_from != Some(from) {
            self.upper = Sources::default();
            self.upper_from = Some(from);
        }
        let Some(mut grown) = self.upper.take(now, from, news) else {
            return Vec::new();
        };
        while self
            .reports
            .front()
            .is_some_and(|(number, _)| *number < echo)
        {
            self.reports.pop_front();
        }
        let part = self.reports.front().filter(|(number, _)| *number == echo);
        let part = part.map(|(_, own)| own.clone()).unwrap_or_default();
        for sent in &mut grown {
            let own = tokens_of(&part, sent.service);
            let before = tokens_of(&self.own_part, sent.service);
            sent.total = sent.total.saturating_sub(own.saturating_sub(before));
        }
        self.own_part = part;
        grown
    }

    /// Requests of the other entries at a server.
    pub fn remote_requests(&self, server: ServerTag) -> u32 {
        let heard = self.near.count(server) + self.far.count(server);
        let told = self.upper.count(server);
        let uses = self.own_part.servers.iter();
        let mut own = uses.filter(|it| it.server == server);
        let told = told.saturating_sub(own.next().map_or(0, |it| it.requests));
        match self.role {
            Role::Member(_) => told,
            // One that has just become an aggregator has not heard everybody yet.
            Role::Aggregator => heard.max(told),
        }
    }

    /// Until when others keep away from a server, and the pauses in a row that one of them has made.
    pub fn remote_avoidance(&self, server: ServerTag) -> Option<(Timestamp, u32)> {
        let all = [&self.near, &self.far, &self.upper];
        let told = all.iter().filter_map(|it| it.avoided.get(&server));
        let told = told.map(|it| (it.until, it.pauses));
        told.reduce(|a, b| (a.0.max(b.0), a.1.max(b.1)))
    }

    /// Notes that own requests have changed.
    pub fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// When the next messages are due.
    pub fn next_send_at(&self) -> Timestamp {
        let pause = match (self.has_changed, self.is_serving()) {
            (false, _) => self.config.max_interval,
            (true, true) => self.sum_pause(),
            (true, false) => self.config.min_report_interval,
        };
        self.told_at + pause
    }

    /// Time between two messages of this aggregator to the same entry.
    fn sum_pause(&self) -> Duration {
        let members = u32::try_from(self.near.by_ip.len()).unwrap_or(u32::MAX);
        let share = self
            .config
            .update_interval_per_member
            .saturating_mul(members);
        self.config.min_update_interval.max(share)
    }

    /// Whether others report to this entry.
    fn is_serving(&self) -> bool {
        !self.near.by_ip.is_empty()
    }

    /// The messages to send now.
    pub fn prepare_updates(&mut self, now: Timestamp, own: LocalInFlight) -> Vec<OutgoingUpdate> {
        self.told_at = now;
        self.has_changed = false;
        let mut tellings = Vec::new();
        if let Role::Member(aggregator) = self.role {
            tellings.push(self.report(aggregator, &own));
        }
        // What is reported is in the sums of another one.
        let part = match self.role {
            Role::Aggregator => own,
            Role::Member(_) => LocalInFlight::default(),
        };
        if self.role == Role::Aggregator || self.is_serving() {
            tellings.extend(self.tell_domain(now, &part));
        }
        if self.is_serving() {
            tellings.push(self.tell_fleet(now, &part));
        }
        tellings
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn report(&mut self, aggregator: IpAddr, own: &LocalInFlight) -> OutgoingUpdate {
        let number = self.next_number();
        self.reports.push_back((number, own.clone()));
        while self.reports.len() > REPORTS_KEPT {
            self.reports.pop_front();
        }
        OutgoingUpdate {
            recipients: vec![(aggregator, 0)],
            update: InFlightUpdate {
                incarnation: self.life,
                sequence: number,
                scope: LoadScope::Own,
                is_full: true,
                servers: own.servers.clone(),
                tokens: own.tokens.clone(),
            },
        }
    }

    /// What an aggregator tells the others.
    fn tell_domain(&mut self, now: Timestamp, own: &LocalInFlight) -> Option<OutgoingUpdate> {
        let heard = self.far.by_ip.keys().copied();
        let mut to: Vec<IpAddr> = heard.chain(self.targets.iter().copied()).collect();
        to.sort_unstable();
        to.dedup();
        if to.is_empty() {
            return None;
        }
        let mut told = std::mem::take(&mut self.told_domain);
        let news = self.compose(now, &mut told, LoadScope::Domain, own, &[&self.near]);
        self.told_domain = told;
        let number = self.next_number();
        Some(OutgoingUpdate {
            recipients: to.into_iter().map(|ip| (ip, 0)).collect(),
            update: InFlightUpdate {
                sequence: number,
                ..news
            },
        })
    }

    /// What an aggregator tells those who report to it.
    fn tell_fleet(&mut self, now: Timestamp, own: &LocalInFlight) -> OutgoingUpdate {
        let mut told = std::mem::take(&mut self.told_fleet);
        let scope = LoadScope::Fleet { acked_sequence: 0 };
        let sources = [&self.near, &self.far];
        let news = self.compose(now, &mut told, scope, own, &sources);
        self.told_fleet = told;
        let number = self.next_number();
        let members = self.near.by_ip.iter();
        OutgoingUpdate {
            recipients: members.map(|(ip, it)| (*ip, it.number)).collect(),
            update: InFlightUpdate {
                sequence: number,
                ..news
            },
        }
    }

    /// A message on the sums of what some have told and of own requests.
    fn compose(
        &self,
        now: Timestamp,
        told: &mut Told,
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
        let is_due = told
            .whole_at
            .is_none_or(|at| now >= at + self.config.full_update_interval);
        let is_whole = is_due || counts.len() <= self.config.always_full_servers;
        let mut uses = match is_whole {
            true => counts
                .iter()
                .map(|(server, it)| plain_use(*server, *it))
                .collect(),
            false => changes(&told.counts, &counts),
        };
        let since = if is_whole { Timestamp::ZERO } else { told.at };
        add_avoided(&mut uses, &counts, avoided_since(now, since, own, sources));
        if is_whole {
            told.whole_at = Some(now);
        }
        told.at = now;
        told.counts = counts;
        let tokens = tokens.into_iter();
        InFlightUpdate {
            incarnation: self.life,
            sequence: 0,
            scope,
            is_full: is_whole,
            servers: uses,
            tokens: tokens
                .map(|(service, total)| TokensSent { service, total })
                .collect(),
        }
    }
}

fn tokens_of(own: &LocalInFlight, service: ServerTag) -> u64 {
    let mut sent = own.tokens.iter().filter(|it| it.service == service);
    sent.next().map_or(0, |it| it.total)
}

fn plain_use(server: ServerTag, requests: u32) -> ServerInFlight {
    ServerInFlight {
        server,
        requests,
        avoid_ms: 0,
        pauses: 0,
    }
}

/// Servers whose numbers differ.
fn changes(
    before: &FastMap<ServerTag, u32>,
    after: &FastMap<ServerTag, u32>,
) -> Vec<ServerInFlight> {
    let gone = before.keys().filter(|server| !after.contains_key(server));
    let gone = gone.map(|server| plain_use(*server, 0));
    let changed = after
        .iter()
        .filter(|(server, count)| before.get(server) != Some(count));
    let changed = changed.map(|(server, count)| plain_use(*server, *count));
    gone.chain(changed).collect()
}

/// A server that is kept away from, for how long, and the pauses in a row.
type AvoidedNow = (ServerTag, u32, u32);

/// Servers that are kept away from, where that has begun since a time.
fn avoided_since(
    now: Timestamp,
    since: Timestamp,
    own: &LocalInFlight,
    sources: &[&Sources],
) -> Vec<AvoidedNow> {
    let own = own.servers.iter().filter(|it| it.avoid_ms > 0);
    let own = own.map(|it| (it.server, it.avoid_ms, it.pauses));
    let told = sources.iter().flat_map(|it| &it.avoided);
    let told = told.filter(|(_, it)| it.until > now && it.changed >= since);
    let told = told.map(|(server, it)| {
        let left = it.until.saturating_sub(now);
        (*server, left.as_millis() as u32, it.pauses)
    });
    own.chain(told).collect()
}

/// Adds servers that are kept away from to those that are named.
fn add_avoided(
    uses: &mut Vec<ServerInFlight>,
    counts: &FastMap<ServerTag, u32>,
    avoided: Vec<AvoidedNow>,
) {
    for (server, avoid_ms, pauses) in avoided {
        let named = uses.iter_mut().find(|it| it.server == server);
        match named {
            Some(it) => {
                it.avoid_ms = it.avoid_ms.max(avoid_ms);
                it.pauses = it.pauses.max(pauses);
            }
            None => uses.push(ServerInFlight {
                server,
                requests: counts.get(&server).copied().unwrap_or_default(),
                avoid_ms,
                pauses,
            }),
        }
    }
}
