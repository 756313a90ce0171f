//! Requests in flight at each backend server, of this process and of the others.

use std::time::Duration;

use jj_news::{ServerTag, ServerUse, TokensSent, server_tag};
use jj_policy::{
    cold_rate::ColdAllowance,
    outage::{Outage, OutageConfig, Outlook},
    pass_model::{Forecast, PassConfig, PassModel, PassSpec, PauseMeter},
    server_health::{HealthConfig, ServerHealth, Sign},
};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    events,
    ids::{BackendServerId, InstanceId, ServiceId},
    log_event,
};

/// What this process knows of one server's load.
#[derive(Debug, Clone, Default)]
struct ServerLoad {
    /// Requests of this process.
    own: u32,
    /// Judgement by its answers.
    health: ServerHealth,
}

/// What other processes say of a server that they keep away from.
#[derive(Debug, Clone, Copy, Default)]
struct Avoided {
    /// Until when.
    until: Timestamp,
    /// Pauses in a row that one of them has made.
    pauses: u32,
}

/// Passes of the group that the servers of a service form.
#[derive(Debug, Default)]
struct GroupLoad {
    meter: PauseMeter,
    model: PassModel,
    outage: Outage,
    /// Streams of this process that have had an event.
    streams: u32,
    /// Prompt tokens that this process has sent.
    sent: u64,
}

/// Loads of all servers.
#[derive(Debug, Default)]
pub struct Loads {
    servers: FastMap<BackendServerId, ServerLoad>,
    peers: FastMap<InstanceId, Vec<ServerUse>>,
    /// Requests of all other processes by server.
    others: FastMap<ServerTag, u32>,
    groups: FastMap<ServiceId, GroupLoad>,
    /// Requests that may still be sent to each cold server.
    cold: FastMap<BackendServerId, ColdAllowance>,
    /// Servers that others keep away from.
    avoided: FastMap<ServerTag, Avoided>,
    /// Prompt tokens that others have sent, as they told last.
    told: FastMap<(InstanceId, ServerTag), u64>,
    health: HealthConfig,
    passes: PassConfig,
    outages: OutageConfig,
}

impl Loads {
    /// Requests that this process may send to a cold server now, at so many a second; `draw` is a
    /// random number.
    pub fn cold_room(&mut self, now: Timestamp, server: &str, rate: f64, draw: u64) -> u32 {
        let cold = self.cold.entry(server.to_owned());
        let allowance = cold.or_insert_with(|| ColdAllowance::new(now, draw));
        allowance.room(rate, now)
    }

    /// Forgets that a server was cold.
    pub fn warm(&mut self, server: &str) {
        self.cold.remove(server);
    }

    /// Counts a request that is sent to a server.
    pub fn start(&mut self, server: &str) {
        if let Some(allowance) = self.cold.get_mut(server) {
            allowance.take();
        }
        self.servers.entry(server.to_owned()).or_default().own += 1;
    }

    /// Counts a request that has ended.
    pub fn end(&mut self, server: &str) {
        if let Some(load) = self.servers.get_mut(server) {
            load.own = load.own.saturating_sub(1);
        }
    }

    /// Takes in how an attempt ended.
    pub fn observe(&mut self, now: Timestamp, server: &str, sign: Sign) {
        let told = self.avoided.get(&server_tag(server));
        let load = self.servers.entry(server.to_owned()).or_default();
        if let Some(told) = told {
            load.health.learn(told.pauses);
        }
        load.health.observe(&self.health, now, sign);
    }

    /// Requests of this process at a server.
    pub fn own(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |it| it.own)
    }

    /// Requests of the others at a server.
    pub fn others(&self, server: &str) -> u32 {
        self.others
            .get(&server_tag(server))
            .copied()
            .unwrap_or_default()
    }

    /// Whether new requests should keep away from a server.
    pub fn is_avoided(&self, now: Timestamp, server: &str) -> bool {
        let load = self.servers.get(server);
        if load.is_some_and(|it| it.health.is_avoided(now)) {
            return true;
        }
        let is_fresh = load.is_some_and(|it| it.health.is_fresh(&self.health, now));
        let told = self.avoided.get(&server_tag(server));
        !is_fresh && told.is_some_and(|it| now < it.until)
    }

    /// Whether a server could not be reached when it was last tried.
    pub fn is_unreachable(&self, server: &str) -> bool {
        let load = self.servers.get(server);
        load.is_some_and(|it| it.health.is_unreachable())
    }

    /// All requests of this process, and the servers that it keeps away from, for the others.
    pub fn uses(&self, now: Timestamp) -> Vec<ServerUse> {
        let uses = self.servers.iter().map(|(id, load)| ServerUse {
            server: server_tag(id),
            requests: load.own,
            avoid_ms: load.health.pause_told(now).as_millis() as u32,
            pauses: load.health.pauses(),
        });
        uses.filter(|it| it.requests > 0 || it.avoid_ms > 0)
            .collect()
    }

    /// Takes in all requests of another process, and the prompt tokens that it has sent.
    pub fn take_uses(
        &mut self,
        now: Timestamp,
        peer: &str,
        uses: Vec<ServerUse>,
        tokens: &[TokensSent],
    ) {
        self.take_avoided(now, &uses);
        self.peers.insert(peer.to_owned(), uses);
        self.sum_up();
        for told in tokens {
            let before = self
                .told
                .insert((peer.to_owned(), told.service), told.total);
            let new = told.total.saturating_sub(before.unwrap_or(told.total));
            let groups = self.groups.iter_mut();
            let group = groups
                .into_iter()
                .find(|(id, _)| server_tag(id) == told.service);
            if let (Some((_, group)), true) = (group, new > 0) {
                group
                    .model
                    .sent(now, u32::try_from(new).unwrap_or(u32::MAX));
            }
        }
    }

    /// Takes in which servers another process keeps away from.
    fn take_avoided(&mut self, now: Timestamp, uses: &[ServerUse]) {
        let longest = self.health.longest;
        self.avoided.retain(|_, it| now < it.until + longest);
        for told in uses.iter().filter(|it| it.avoid_ms > 0) {
            let left = Duration::from_millis(u64::from(told.avoid_ms));
            let avoided = self.avoided.entry(told.server).or_default();
            avoided.until = avoided.until.max(now + left.min(longest));
            avoided.pauses = avoided.pauses.max(told.pauses);
        }
    }

    /// Prompt tokens that this process has sent, for the others.
    pub fn tokens_sent(&self) -> Vec<TokensSent> {
        let groups = self.groups.iter();
        groups
            .map(|(service, group)| TokensSent {
                service: server_tag(service),
                total: group.sent,
            })
            .collect()
    }

    /// Drops the requests of a process that is gone.
    pub fn forget(&mut self, peer: &str) {
        self.peers.remove(peer);
        self.sum_up();
    }

    fn sum_up(&mut self) {
        self.others.clear();
        for it in self.peers.values().flatten() {
            *self.others.entry(it.server).or_default() += it.requests;
        }
    }

    /// Notes that a request with a prompt is sent to a group.
    pub fn send_prompt(&mut self, now: Timestamp, service: &str, tokens: u32) {
        let group = self.groups.entry(service.to_owned()).or_default();
        group.sent += u64::from(tokens);
        group.model.sent(now, tokens);
    }

    /// Takes in the pause before an event of a stream, while the group had so many requests; true
    /// when it told the length of a pass.
    pub fn take_pause(
        &mut self,
        now: Timestamp,
        service: &str,
        spec: &PassSpec,
        pause: Duration,
        requests: u32,
    ) -> bool {
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        let Some(pass) = group.meter.observe(now, pause) else {
            return false;
        };
        // A group that stands still says nothing about its load.
        if pass > spec.gap * 3 {
            return false;
        }
        group.model.observe(&self.passes, spec, now, pass, requests);
        let imbalance = group.model.imbalance();
        let worst = group.model.worst(&self.passes, now);
        log_event!(
            events::PASS_SEEN,
            pass_ms = pass.as_millis() as u64, requests = requests,
            imbalance = imbalance, worst = worst;
            "length of a pass"
        );
        true
    }

    /// Time that an answer of so many tokens takes at the group of a service as it is now.
    pub fn answer_time(&self, service: &str, spec: &PassSpec, tokens: u32) -> Duration {
        let group = self.groups.get(service);
        group.map_or(Duration::ZERO, |it| it.model.answer_time(spec, tokens))
    }

    /// Takes in an event of a stream, whatever the pause before it.
    pub fn take_event(&mut self, now: Timestamp, service: &str) {
        if let Some(group) = self.groups.get_mut(service) {
            group.outage.event(now);
        }
    }

    /// Counts a stream that has had its first event, or one that has ended.
    pub fn count_stream(&mut self, service: &str, has_begun: bool) {
        if let Some(group) = self.groups.get_mut(service) {
            match has_begun {
                true => group.streams += 1,
                false => group.streams = group.streams.saturating_sub(1),
            }
        }
    }

    /// Takes in what an agent says of the group of a service.
    pub fn take_word(&mut self, now: Timestamp, service: &str, works: bool) {
        let group = self.groups.entry(service.to_owned()).or_default();
        group.outage.word(now, works);
    }

    /// Takes in that a server refused a request since its group does not work.
    pub fn take_refusal(&mut self, now: Timestamp, service: &str) {
        if let Some(group) = self.groups.get_mut(service) {
            group.outage.refused(now);
        }
    }

    /// How the outage of a service's group stands; none where it works.
    pub fn outage(&mut self, now: Timestamp, service: &str) -> Option<Outlook> {
        let group = self.groups.get_mut(service)?;
        let is_out = group.outage.is_out(&self.outages, now, group.streams);
        is_out.then(|| group.outage.outlook(&self.outages, now))
    }

    /// What one more request would do to the group of a service; none where nothing is known of it.
    pub fn forecast(
        &self,
        now: Timestamp,
        service: &str,
        spec: &PassSpec,
        requests: u32,
        prompt: u32,
    ) -> Option<Forecast> {
        let group = self.groups.get(service)?;
        let model = &group.model;
        Some(model.forecast(&self.passes, spec, now, requests, prompt))
    }
}
