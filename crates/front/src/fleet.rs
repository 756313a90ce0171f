//! Requests in flight at each backend server, of this process and of the others.

use std::{net::IpAddr, time::Duration};

use jj_news::server_tag;
use jj_policy::{
    cold_rate::ColdAllowance,
    gossip::IncarnationTag,
    load_sums::{
        InFlightUpdate, LoadSums, LoadSumsConfig, LocalInFlight, OutgoingUpdate, ServerInFlight,
        TokensSent,
    },
    outage::{Outage, OutageConfig, OutageForecast},
    pass_model::{PassConfig, PassForecast, PassModel, PassSpec, StreamPassEstimator},
    server_health::{AttemptOutcome, HealthConfig, ServerHealth},
    server_notices::ServerNotices,
};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    events,
    ids::{BackendServerId, ServiceId},
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

/// Passes of the group that the servers of a service form.
#[derive(Debug, Default)]
struct GroupLoad {
    meter: StreamPassEstimator,
    model: PassModel,
    outage: Outage,
    /// Formation in which it was last said to work.
    epoch: Option<u64>,
    /// How much slower than usual its slowest server works, and when an agent said so.
    pace: Option<(Timestamp, f64)>,
    /// Streams of this process that have had an event.
    streams: u32,
    /// Prompt tokens that this process has sent.
    sent: u64,
}

/// Time for which the word of an agent on the pace of its group counts.
const PACE_LIFE: Duration = Duration::from_millis(1_200);

impl GroupLoad {
    /// A group that works again after an outage has formed anew.
    fn notice_formation(&mut self, now: Timestamp) {
        if self.outage.take_ended() {
            self.model.record_formation(now);
        }
    }
}

/// Loads of all servers.
#[derive(Debug)]
pub struct Loads {
    servers: FastMap<BackendServerId, ServerLoad>,
    /// Requests of all other processes.
    pub sums: LoadSums,
    /// What servers have said of themselves.
    pub notices: ServerNotices,
    groups: FastMap<ServiceId, GroupLoad>,
    /// Requests that may still be sent to each cold server.
    cold: FastMap<BackendServerId, ColdAllowance>,
    health: HealthConfig,
    passes: PassConfig,
    outages: OutageConfig,
}

impl Loads {
    /// Nothing is known.
    pub fn new(life: IncarnationTag) -> Self {
        Self {
            servers: FastMap::default(),
            sums: LoadSums::new(LoadSumsConfig::default(), life),
            notices: ServerNotices::default(),
            groups: FastMap::default(),
            cold: FastMap::default(),
            health: HealthConfig::default(),
            passes: PassConfig::default(),
            outages: OutageConfig::default(),
        }
    }

    /// Requests that this process may send to a cold server now, at so many a second; `draw` is a
    /// random number.
    pub fn cold_room(&mut self, now: Timestamp, server: &str, rate: f64, draw: u64) -> u32 {
        let cold = self.cold.entry(server.to_owned());
        let allowance = cold.or_insert_with(|| ColdAllowance::new(now, draw));
        allowance.available(rate, now)
    }

    /// Forgets that a server was cold.
    pub fn warm(&mut self, server: &str) {
        self.cold.remove(server);
    }

    /// Counts a request that is sent to a server.
    pub fn start(&mut self, server: &str) {
        if let Some(allowance) = self.cold.get_mut(server) {
            allowance.consume();
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
    pub fn observe(&mut self, now: Timestamp, server: &str, sign: AttemptOutcome) {
        let told = self.sums.remote_avoidance(server_tag(server));
        let load = self.servers.entry(server.to_owned()).or_default();
        if let Some((_, pauses)) = told {
            load.health.raise_consecutive_pauses(pauses);
        }
        load.health.record_attempt(&self.health, now, sign);
    }

    /// Requests of this process at a server.
    pub fn own(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |it| it.own)
    }

    /// Requests of the others at a server.
    pub fn others(&self, server: &str) -> u32 {
        self.sums.remote_requests(server_tag(server))
    }

    /// Whether new requests should keep away from a server.
    pub fn is_avoided(&self, now: Timestamp, server: &str) -> bool {
        let load = self.servers.get(server);
        if load.is_some_and(|it| it.health.is_avoided(now)) {
            return true;
        }
        let is_fresh = load.is_some_and(|it| it.health.has_recent_success(&self.health, now));
        let told = self.sums.remote_avoidance(server_tag(server));
        !is_fresh && told.is_some_and(|(until, _)| now < until)
    }

    /// Whether a server could not be reached when it was last tried.
    pub fn is_unreachable(&self, server: &str) -> bool {
        let load = self.servers.get(server);
        load.is_some_and(|it| it.health.is_unreachable())
    }

    /// The messages on requests in flight that are due.
    pub fn tell(&mut self, now: Timestamp) -> Vec<OutgoingUpdate> {
        let own = LocalInFlight {
            servers: self.own_uses(now),
            tokens: self.own_tokens(),
        };
        self.sums.prepare_updates(now, own)
    }

    /// All requests of this process, and the servers that it keeps away from.
    fn own_uses(&self, now: Timestamp) -> Vec<ServerInFlight> {
        let uses = self.servers.iter().map(|(id, load)| ServerInFlight {
            server: server_tag(id),
            requests: load.own,
            avoid_ms: load.health.pause_to_share(now).as_millis() as u32,
            pauses: load.health.consecutive_pauses(),
        });
        uses.filter(|it| it.requests > 0 || it.avoid_ms > 0)
            .collect()
    }

    /// Prompt tokens that this process has sent.
    fn own_tokens(&self) -> Vec<TokensSent> {
        let groups = self.groups.iter();
        groups
            .map(|(service, group)| TokensSent {
                service: server_tag(service),
                total: group.sent,
            })
            .collect()
    }

    /// Takes in a message on requests in flight.
    pub fn take_use(&mut self, now: Timestamp, from: IpAddr, news: &InFlightUpdate) {
        for sent in self.sums.receive(now, from, news) {
            let mut groups = self.groups.iter_mut();
            let group = groups.find(|(id, _)| server_tag(id) == sent.service);
            if let (Some((_, group)), true) = (group, sent.total > 0) {
                let tokens = u32::try_from(sent.total).unwrap_or(u32::MAX);
                group.model.record_prompt(now, tokens);
            }
        }
    }

    /// Notes that a request with a prompt is sent to a group.
    pub fn send_prompt(&mut self, now: Timestamp, service: &str, tokens: u32) {
        let group = self.groups.entry(service.to_owned()).or_default();
        group.sent += u64::from(tokens);
        group.model.record_prompt(now, tokens);
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
        let Some(pass) = group.meter.record_gap(now, pause) else {
            return false;
        };
        if !group.meter.is_representative(spec, now, pass) {
            return false;
        }
        if group.model.has_no_passes() {
            // It may have formed just before this process began to look.
            group.model.record_formation(now);
        }
        group
            .model
            .record_pass(&self.passes, spec, now, pass, requests);
        let imbalance = group.model.imbalance();
        let worst = group.model.peak_imbalance(&self.passes, now);
        log_event!(
            events::PASS_SEEN,
            pass_ms = pass.as_millis() as u64, requests = requests,
            imbalance = imbalance, worst = worst;
            "length of a pass"
        );
        true
    }

    /// How much slower than usual the slowest server of a group works, as far as it was said lately.
    pub fn pace(&self, now: Timestamp, service: &str) -> f64 {
        let said = self.groups.get(service).and_then(|it| it.pace);
        let fresh = said.filter(|(at, _)| *at + PACE_LIFE >= now);
        fresh.map_or(1.0, |(_, pace)| pace)
    }

    /// Time that an answer of so many tokens takes at the group of a service as it is now.
    pub fn answer_time(&self, service: &str, spec: &PassSpec, tokens: u32) -> Duration {
        let group = self.groups.get(service);
        group.map_or(Duration::ZERO, |it| {
            it.model.estimated_response_time(spec, tokens)
        })
    }

    /// Takes in an event of a stream, whatever the pause before it.
    pub fn take_event(&mut self, now: Timestamp, service: &str) {
        if let Some(group) = self.groups.get_mut(service) {
            group.outage.record_event(now);
            group.notice_formation(now);
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
    pub fn take_word(&mut self, now: Timestamp, service: &str, epoch: u64, works: bool, pace: f64) {
        let group = self.groups.entry(service.to_owned()).or_default();
        group.pace = Some((now, pace));
        group.outage.record_agent_report(now, works);
        group.notice_formation(now);
        if works && group.epoch != Some(epoch) {
            let is_another = group.epoch.replace(epoch).is_some();
            if is_another {
                group.model.record_formation(now);
            }
        }
    }

    /// Takes in that a server refused a request since its group does not work.
    pub fn take_refusal(&mut self, now: Timestamp, service: &str) {
        if let Some(group) = self.groups.get_mut(service) {
            group.outage.record_refusal(now);
        }
    }

    /// How the outage of a service's group stands; none where it works.
    pub fn outage(&mut self, now: Timestamp, service: &str) -> Option<OutageForecast> {
        let group = self.groups.get_mut(service)?;
        let is_out = group.outage.is_down(&self.outages, now, group.streams);
        group.notice_formation(now);
        is_out.then(|| group.outage.forecast(&self.outages, now))
    }

    /// What one more request would do to the group of a service; none where nothing is known of it.
    pub fn forecast(
        &self,
        now: Timestamp,
        service: &str,
        spec: &PassSpec,
        requests: u32,
        prompt: u32,
    ) -> Option<PassForecast> {
        let group = self.groups.get(service)?;
        let model = &group.model;
        Some(model.forecast(&self.passes, spec, now, requests, prompt))
    }
}
