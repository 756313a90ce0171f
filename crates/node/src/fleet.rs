//! Tracks the state of the other processes and whether this one may take new work. The live list,
//! heartbeats and the configuration are the inputs of the membership and authority decisions.

use std::{sync::Arc, time::Duration};

use jj_operator::{audit::AuditTrail, documents::DomainState, published::Published};
use jj_peer::control::Heartbeat;
use jj_platform::{config_reader::ConfigView, live_list::LiveList, wire::InstanceList};
use jj_policy::{
    authority::{Authority, AuthorityConfig, AuthorityState, PeerAnswer, WorkPermit},
    membership::{self, ListedInstance, MemberState, Membership},
    witnesses,
};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    ids::{FailureDomainId, Incarnation, InstanceId},
};
use jsonrpsee::server::ServerHandle;
use tokio::{
    sync::watch,
    time::{Interval, MissedTickBehavior},
};

pub use crate::fleet_config::{FleetConfig, LocalProcess, OpenContext};
use crate::{
    control_port::{self, ControlPort},
    fleet_audit::FleetAudit,
    fleet_config::membership_config,
    follower::{self, FollowContext, Follower},
    heartbeats::{Answer, GroupQuestion, Heartbeats, Received},
    peers::{EntryCoverage, Peer, PeerSelector, Peers},
};

/// Opens the control port and starts following the platform, on the current runtime. The port
/// closes when its handle is dropped.
///
/// # Errors
/// If the port can't be bound.
pub async fn open(
    context: OpenContext,
    own: LocalProcess,
) -> anyhow::Result<(Fleet, ServerHandle)> {
    let follower = follower::start(FollowContext {
        platform: context.platform,
        instance: own.instance.clone(),
        clock: Arc::clone(&context.clock),
        seed: own.incarnation,
        token: context.token,
    })?;
    let port = ControlPort {
        config: follower.config.clone(),
        group: own.group.clone(),
    };
    let clock = Arc::clone(&context.clock);
    let port = control_port::serve(context.control_addr, clock, &context.limits, port)?;
    let clock = Arc::clone(&context.clock);
    let heartbeats = Heartbeats::bind(context.control_addr, clock, own.incarnation)?;
    let config = FleetConfig::default();
    let fleet = Fleet::new(
        config,
        own,
        context.clock,
        follower,
        heartbeats,
        context.audit,
    );
    Ok((fleet, port))
}

/// This process's view of the other processes and of its own authority to take work.
pub struct Fleet {
    config: FleetConfig,
    own: LocalProcess,
    clock: SharedClock,
    follower: Follower,
    heartbeats: Heartbeats,
    membership: Membership,
    authority: Authority,
    audit: FleetAudit,
    last_heartbeats: FastMap<InstanceId, LastHeartbeat>,
    selector: PeerSelector,
    /// Processes that receive heartbeats; recomputed only when the live list changes.
    peers: Peers,
    withdrawn: Vec<FailureDomainId>,
    tick: Interval,
    early_tick: Interval,
    /// Early heartbeats still to be sent since the live list changed; `None` before the first list.
    early_heartbeats_left: Option<u32>,
    peers_polled: bool,
}

/// The last heartbeat of one process.
#[derive(Debug, Clone)]
pub struct LastHeartbeat {
    /// Content of the heartbeat.
    pub heartbeat: Heartbeat,
    /// When it was requested.
    pub requested_at: Timestamp,
    /// When the answer was received.
    pub received_at: Timestamp,
}

impl Fleet {
    /// Creates the state of an unknown fleet.
    fn new(
        config: FleetConfig,
        own: LocalProcess,
        clock: SharedClock,
        follower: Follower,
        heartbeats: Heartbeats,
        audit: Arc<AuditTrail>,
    ) -> Self {
        let mut tick = tokio::time::interval(config.heartbeat_interval);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut early_tick = tokio::time::interval(config.early_interval);
        early_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let authority = Authority::new(AuthorityConfig::default(), own.domain.clone());
        let membership = Membership::new(membership_config(&config));
        let selector = PeerSelector {
            instance: own.instance.clone(),
            domain: own.domain.clone(),
            role: own.role,
            witnesses: config.witnesses,
            coverage: config.coverage.clone(),
        };
        Self {
            config,
            own,
            clock,
            follower,
            heartbeats,
            membership,
            authority,
            audit: FleetAudit::new(audit),
            last_heartbeats: FastMap::default(),
            selector,
            peers: Peers::default(),
            withdrawn: Vec::new(),
            tick,
            early_tick,
            early_heartbeats_left: None,
            peers_polled: false,
        }
    }

    /// Waits for the next event and handles it; cancel-safe.
    pub async fn step(&mut self) {
        tokio::select! {
            _ = self.tick.tick() => self.poll_peers(),
            _ = self.early_tick.tick(), if self.early_heartbeats_left > Some(0) => {
                self.poll_silent_peers()
            }
            Ok(()) = self.follower.config.changed() => self.handle_config(),
            Ok(()) = self.follower.list.changed() => self.handle_list(),
            received = self.heartbeats.receive() => self.handle_datagram(received),
        }
    }

    /// Returns the configuration in force, if any.
    pub fn published(&self) -> Option<Arc<Published>> {
        self.follower.config.borrow().published.clone()
    }

    /// Returns a receiver of the configuration, for other threads.
    pub fn config(&self) -> watch::Receiver<ConfigView> {
        self.follower.config.clone()
    }

    /// Returns a receiver of the live list, for other tasks.
    pub fn watch_list(&self) -> watch::Receiver<LiveList> {
        self.follower.list.clone()
    }

    /// Returns the live list as last read.
    pub fn list(&self) -> Arc<InstanceList> {
        Arc::clone(&self.follower.list.borrow().list)
    }

    /// Returns the services covered by each listed entry.
    pub fn coverage(&self) -> Arc<EntryCoverage> {
        self.peers.coverage()
    }

    /// Returns the failure domains withdrawn by the configuration in force.
    pub fn withdrawn(&self) -> &[FailureDomainId] {
        &self.withdrawn
    }

    /// Returns the membership state of an instance.
    pub fn state(&self, id: &str) -> MemberState {
        self.membership.state(id, self.clock.now())
    }

    /// Returns the last heartbeat received from an instance.
    pub fn last_heartbeat(&self, id: &str) -> Option<&LastHeartbeat> {
        self.last_heartbeats.get(id)
    }

    /// Returns the membership, for decisions over all instances.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns a permit to take new work while the configuration is known to be fresh.
    pub fn work_permit(&self) -> Option<WorkPermit> {
        self.authority.work_permit(self.clock.now())
    }

    /// Returns whether this process may take new work, and the reason.
    pub fn authority_state(&self) -> AuthorityState {
        self.authority.state(self.clock.now())
    }

    /// Returns whether the configuration withdraws this process's failure domain.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.contains(&self.own.domain)
    }

    /// Records that no connection to an instance could be opened.
    pub fn record_connect_failure(&mut self, id: &str, incarnation: Incarnation) {
        self.membership
            .record_failure(id, incarnation, self.clock.now());
    }

    /// Sends a heartbeat question to each peer and updates time-dependent state.
    fn poll_peers(&mut self) {
        self.heartbeats.prune();
        self.forget_expired_peers();
        self.membership.prune(self.clock.now());
        self.record_own_heartbeat();
        self.audit
            .members(&self.membership.states(self.clock.now()));
        self.audit.authority(self.authority_state());
        let index = self.follower.config.borrow().index();
        let list = self.list();
        let spare: &[Peer] = match self.needs_spare_witnesses() {
            true => self.peers.spare_witnesses(),
            false => {
                self.forget_spare_witnesses();
                &[]
            }
        };
        for peer in self.peers.polled().iter().chain(spare) {
            self.heartbeats.send_question(&peer.id, peer.control, index);
        }
        self.last_heartbeats
            .retain(|id, _| list.instances.iter().any(|i| i.id == *id));
    }

    /// Sends early heartbeat questions to peers that have never answered: they may not have been
    /// listening when the first arrived.
    fn poll_silent_peers(&mut self) {
        self.early_heartbeats_left = self
            .early_heartbeats_left
            .map(|left| left.saturating_sub(1));
        let index = self.follower.config.borrow().index();
        let polled = self.peers.polled().iter();
        for peer in polled.filter(|peer| !self.last_heartbeats.contains_key(&peer.id)) {
            self.heartbeats.send_question(&peer.id, peer.control, index);
        }
    }

    /// Returns whether every listed peer has once answered, or the early heartbeats have all been
    /// sent; stays true from then on.
    pub fn has_polled_peers(&mut self) -> bool {
        let mut polled = self.peers.polled().iter();
        let mut all_heard = || polled.all(|it| self.last_heartbeats.contains_key(&it.id));
        let has_now = match self.early_heartbeats_left {
            None => false,
            Some(0) => true,
            Some(_) => all_heard(),
        };
        self.peers_polled |= has_now;
        self.peers_polled
    }

    /// Forgets the answers of spare witnesses while they are not polled.
    fn forget_spare_witnesses(&mut self) {
        for peer in self.peers.spare_witnesses() {
            if self.last_heartbeats.remove(&peer.id).is_some() {
                self.membership.stop_polling(&peer.id);
            }
        }
    }

    fn needs_spare_witnesses(&self) -> bool {
        let witnesses = self.peers.witnesses().iter();
        let answered =
            witnesses.map(|id| self.last_heartbeats.get(id).map(|last| last.requested_at));
        witnesses::needs_spares(answered, self.tick.period(), self.clock.now())
    }

    /// Forgets the answers of instances no longer polled: their silence is no evidence.
    fn forget_expired_peers(&mut self) {
        for id in self.peers.take_expired(self.clock.now()) {
            self.last_heartbeats.remove(&id);
            self.membership.stop_polling(&id);
        }
    }

    fn own_heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let config = self.follower.config.borrow();
        Heartbeat {
            instance: self.own.instance.clone(),
            incarnation: self.own.incarnation,
            domain: self.own.domain.clone(),
            index: config.index(),
            platform_age: self.authority.service_evidence_age(now).map(millis),
            clock: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
            draining: (self.own.draining)(),
            load: (self.own.load)(),
        }
    }

    fn record_own_heartbeat(&mut self) {
        let heartbeat = membership::Heartbeat {
            id: self.own.instance.clone(),
            domain: self.own.domain.clone(),
            incarnation: self.own.incarnation,
            leaving: (self.own.draining)(),
            requested_at: self.clock.now(),
        };
        self.membership.record_heartbeat(&heartbeat);
    }

    fn handle_datagram(&mut self, received: Received) {
        match received {
            Received::Question(question) => {
                self.follower.record_peer_index(question.index);
                self.heartbeats.send_answer(&question, self.own_heartbeat());
            }
            Received::Answer(answer) => self.handle_answer(answer),
            Received::Group(question) => self.forward_group_request(question),
        }
    }

    /// Passes a group leader's request to this rank's handler and sends its reply.
    fn forward_group_request(&self, question: GroupQuestion) {
        let Some(handle) = self.own.group.clone() else {
            return;
        };
        tokio::spawn(async move {
            if let Some(reply) = handle(question.request.clone()).await {
                question.reply(reply);
            }
        });
    }

    fn handle_answer(&mut self, answer: Answer) {
        let Answer {
            peer,
            requested_at,
            heartbeat,
        } = answer;
        self.follower.record_peer_index(heartbeat.index);
        self.membership.record_heartbeat(&membership::Heartbeat {
            id: peer.clone(),
            domain: heartbeat.domain.clone(),
            incarnation: heartbeat.incarnation,
            leaving: heartbeat.draining,
            requested_at,
        });
        self.authority.record_peer_answer(&PeerAnswer {
            peer: peer.clone(),
            domain: heartbeat.domain.clone(),
            index: heartbeat.index,
            service_evidence_age: heartbeat.platform_age.map(Duration::from_millis),
            requested_at,
        });
        self.last_heartbeats.insert(
            peer,
            LastHeartbeat {
                heartbeat,
                requested_at,
                received_at: self.clock.now(),
            },
        );
    }

    fn handle_config(&mut self) {
        let view = self.follower.config.borrow_and_update().clone();
        self.audit.config(&view);
        if let Some(published) = &view.published {
            let domains = || published.fleet.domains.iter();
            let in_service = domains().filter(|(_, state)| **state == DomainState::InService);
            let in_service = in_service.map(|(id, _)| id.clone());
            self.authority.set_in_force(published.index, in_service);
            let withdrawn = domains().filter(|(_, state)| **state == DomainState::Withdrawn);
            let withdrawn: Vec<_> = withdrawn.map(|(id, _)| id.clone()).collect();
            self.membership
                .set_withdrawn_domains(withdrawn.iter().cloned());
            self.audit.domains(&withdrawn);
            self.withdrawn = withdrawn;
        }
        if let Some(confirmed_at) = view.confirmed_at {
            self.authority
                .record_service_read(view.index(), confirmed_at);
        }
    }

    fn handle_list(&mut self) {
        let list = Arc::clone(&self.follower.list.borrow_and_update().list);
        let listed = list.instances.iter().map(|i| ListedInstance {
            id: i.id.clone(),
            domain: i.domain.clone(),
            leaving: i.leaving,
        });
        self.membership
            .record_live_list(&listed.collect::<Vec<_>>());
        let now = self.clock.now();
        self.peers.update(&self.selector, &list, now);
        self.early_heartbeats_left = Some(self.config.early_heartbeats);
        self.early_tick.reset();
        self.poll_peers();
    }
}

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
