//! Datagrams that the processes of the system exchange: heartbeats, load reports, and the messages
//! by which the agents of a group switch its expert map. They are encoded with postcard, by position; a
//! build adds variants and fields at the end only, so that messages of other builds can be read.

#![warn(clippy::unwrap_used)]

mod map_delta;
mod member_table;
mod plausible;

pub use map_delta::MapDelta;
pub use member_table::MemberTable;

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jj_policy::{
    catalog::ExpertSpec,
    crash_reports::{LostReport, SuspectNews},
    group_members::{GroupTag, UNKNOWN_GROUP},
    load_sums::{InFlightUpdate, ServerTag},
    map_switch::{Goal, MapVersion, RankView},
    rate_limits::RateStatement,
    server_list::{Era, Revision, ServerIncarnation, StorePosition},
    switch_run::{DeputyState, RankOrderOutcome, SwitchOrder, SwitchRoles},
};
use jj_utils::{
    common_derives,
    ids::{BackendServerId, Incarnation, InstanceId, Rank, Term},
    wire,
};
use xxhash_rust::xxh3::xxh3_64;

/// Largest datagram that is read.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Maximum number of servers whose rates stand in one datagram.
pub const MAX_RATES: usize = 64;

/// Returns the 32-bit tag that stands for the name of a server or service in messages.
pub fn server_tag(id: &str) -> ServerTag {
    xxh3_64(id.as_bytes()) as ServerTag
}

common_derives! {wire:
    /// How far an entry has read the store.
    #[derive(Copy, Eq, Default)]
    pub struct StoreStatus {
        /// Revision up to which it has read all changes.
        pub revision: Revision,
        /// Time since it read the store, in milliseconds.
        pub age_ms: u32,
        /// Digest of the store's content except heartbeats.
        pub digest: u64,
    }
}

impl StoreStatus {
    /// Returns the position in the store, which is in an era.
    pub fn position(&self, era: Era) -> StorePosition {
        StorePosition {
            era,
            revision: self.revision,
        }
    }
}

common_derives! {wire:
    /// Heartbeat of an entry.
    pub struct Hello {
        /// Name of the entry's instance.
        pub name: InstanceId,
        /// How far it has read the store.
        pub store: StoreStatus,
        /// Entries that it considers alive, itself included.
        pub members: MemberTable,
        /// Era of the store that `store` is of.
        pub era: Era,
    }
}

common_derives! {wire:
    /// Servers and parameters of a service, which its agents request from entries.
    pub struct Roster {
        /// Experts of the service's engines.
        pub experts: ExpertSpec,
        /// Duration of a forward pass that processes no tokens.
        pub idle_pass: Duration,
        /// Smallest target gap between stream events among the routes to the service.
        pub gap_target: Duration,
        /// Addresses of the service's servers, in an order that is the same at all entries.
        pub servers: Vec<SocketAddr>,
        /// Entries that accept requests and reports of agents.
        pub entries: Vec<IpAddr>,
        /// Maximum age of the reports that engines tell other instances, in milliseconds.
        pub report_lag_ms: u32,
    }
}

common_derives! {wire:
    /// State of a group, which an agent reports to entries.
    pub struct GroupStatus {
        /// The agent's engine.
        pub server: SocketAddr,
        /// Epoch of the group, which changes each time the group forms.
        pub epoch: u64,
        /// Whether the group serves requests.
        pub is_open: bool,
        /// Slowdown of its slowest engine: 1 is the usual speed, 2 is half of it.
        pub slowdown: f64,
        /// The group.
        pub group: GroupTag,
        /// Tags of the addresses of its servers, as far as the agent knows them; none in most
        /// reports, since they seldom change.
        pub servers: Vec<ServerTag>,
    }
}

common_derives! {wire:
    /// Notice that a server is about to shut down.
    #[derive(Eq)]
    pub struct LeaveNotice {
        /// The server.
        pub server: BackendServerId,
        /// Incarnation of the server process that gave notice, if it is known.
        pub incarnation: Option<ServerIncarnation>,
    }
}

common_derives! {wire:
    /// Heartbeat of an agent to the other agents of its group.
    pub struct RankStatus {
        /// The agent's process.
        pub incarnation: Incarnation,
        /// Rank of its engine.
        pub rank: Rank,
        /// Its engine.
        pub server: SocketAddr,
        /// State that the engine reported last.
        pub view: RankView,
        /// Highest term (fencing number) that the agent has seen.
        pub term: Term,
        /// Whether the agent is running a switch.
        pub switching: bool,
        /// Slowdown of the engine: 1 is its usual speed, 2 is half of it.
        pub slowdown: f64,
        /// Requests that the engine is processing.
        pub running: u32,
        /// Requests that wait in its queue.
        pub waiting: u32,
        /// Age of the engine's report, in milliseconds.
        pub age_ms: u32,
        /// Group of the engine.
        pub group: GroupTag,
    }
}

common_derives! {wire:
    /// How often the requests of one rank selected each expert since its last report.
    pub struct RankCounts {
        /// Counts of all experts of the first set, then of the second, and so on.
        pub increments: Vec<u32>,
        /// Group of the rank.
        pub group: GroupTag,
    }
}

common_derives! {wire:
    /// Task of a leader for the agent of one rank: bring its engine to a goal.
    pub struct RankTask {
        /// Agent that sent the task and receives the reply.
        pub leader: SocketAddr,
        /// Number of the task, repeated in the reply.
        pub number: u64,
        /// Ranks with a part in the switch.
        pub roles: SwitchRoles,
        /// State that the engine has to reach.
        pub goal: Goal,
        /// The map, while the rank has to load it and has not acknowledged it.
        pub map: Option<MapDelta>,
        /// Version of the switch's map, also once it need not be loaded; 0 if the sender doesn't
        /// know it.
        pub switch_version: MapVersion,
        /// Group that switches.
        pub group: GroupTag,
    }
}

common_derives! {wire:
    /// Order that an agent sends to the engine of another rank on the leader's behalf.
    #[derive(Copy, Eq)]
    pub struct BatchedOrder {
        /// Rank of the engine.
        pub rank: Rank,
        /// Address of the engine.
        pub server: SocketAddr,
        /// The order.
        pub order: SwitchOrder,
        /// Number of orders that the engine must have accepted before; otherwise the order is void.
        pub sequence: u64,
    }
}

common_derives! {wire:
    /// Orders of a switch that an agent sends to engines on the leader's behalf.
    #[derive(Eq)]
    pub struct OrderBatch {
        /// Agent that runs the switch and receives the results.
        pub leader: SocketAddr,
        /// Number of the batch, repeated with the results.
        pub number: u64,
        /// Goal of the switch, with the leader's term.
        pub goal: Goal,
        /// The orders.
        pub orders: Vec<BatchedOrder>,
        /// Group that switches.
        pub group: GroupTag,
    }
}

common_derives! {wire:
    /// Outcome of one order of a batch.
    #[derive(Copy, Eq)]
    pub struct OrderResult {
        /// Rank of the engine.
        pub rank: Rank,
        /// Outcome of the order.
        pub outcome: RankOrderOutcome,
    }
}

common_derives! {wire:
    /// What an entry knows of crashes of servers and the parts of prompts involved.
    #[derive(Eq, Default)]
    pub struct SuspectExchange {
        /// Crashes, and parts that were served.
        pub news: SuspectNews,
        /// Whether the entry has just started and has not heard from others yet.
        pub is_starting: bool,
        /// Requests that were lost in crashes. Builds before the last one lack it.
        pub lost: Vec<LostReport>,
    }
}

impl SuspectExchange {
    /// Returns whether it tells of no crash.
    pub fn is_empty(&self) -> bool {
        self.news.crashes.is_empty() && self.lost.is_empty()
    }
}

common_derives! {wire:
    /// Content of one datagram.
    pub enum Message {
        /// Heartbeat of an entry.
        Hello(Hello),
        /// Requests in flight and prompt tokens sent, from an entry or an aggregator.
        InFlight {
            /// The load.
            uses: InFlightUpdate,
            /// How far the sending entry has read the store.
            store: StoreStatus,
            /// Era of the store that `store` is of.
            era: Era,
        },
        /// Request of an agent to an entry for the roster of its service.
        AskRoster {
            /// The agent's engine.
            server: SocketAddr,
            /// Group of that engine; [`UNKNOWN_GROUP`] before it has named one.
            group: GroupTag,
        },
        /// Reply to [`Message::AskRoster`].
        Roster(Roster),
        /// State of a group, for entries.
        GroupStatus(GroupStatus),
        /// Notice that a server shuts down, passed on among entries.
        ServerLeaves(LeaveNotice),
        /// Heartbeat of an agent.
        RankStatus(RankStatus),
        /// Expert counts of a rank, for the leader.
        RankCounts(RankCounts),
        /// A leader's task for a rank.
        RankTask(RankTask),
        /// A leader's task for several ranks; the receiving agent forwards it to the others.
        TaskBatch {
            /// Addresses of the agents, each with the number of its task.
            to: Vec<(SocketAddr, u64)>,
            /// The task; each agent's number replaces the one in it.
            task: RankTask,
        },
        /// Orders that the receiving agent sends to engines for the leader.
        OrderBatch(OrderBatch),
        /// Reply to [`Message::OrderBatch`].
        OrderResults {
            /// Number of the batch.
            number: u64,
            /// Outcome of each order.
            results: Vec<OrderResult>,
            /// Group of the sender.
            group: GroupTag,
        },
        /// Request of a leader to its deputy to hold a pass at the gate and to activate a map at the
        /// leader's engine.
        DelegateActivation {
            /// Number of the request, repeated in the reply.
            number: u64,
            /// Map, first pass that uses it, and the leader's term.
            goal: Goal,
            /// The gate's engine.
            gate: SocketAddr,
            /// Number of orders that the gate has accepted.
            gate_sequence: u64,
            /// The leader's engine.
            server: SocketAddr,
            /// Number of orders that the leader's engine has accepted.
            leader_sequence: u64,
            /// Process of the deputy to which the request goes.
            deputy: Incarnation,
            /// Group of the sender.
            group: GroupTag,
        },
        /// Rejection of a request whose term is lower than one that the agent has accepted.
        HigherTerm {
            /// Number of the rejected request.
            number: u64,
            /// Highest term that the agent has accepted.
            term: Term,
            /// Group of the sender.
            group: GroupTag,
        },
        /// Query to the deputy for its state, sent by an agent that takes a switch over.
        AskDeputy {
            /// Number of the query.
            number: u64,
            /// Term of the sender; from then on the deputy accepts no lower one.
            term: Term,
            /// Group of the sender.
            group: GroupTag,
        },
        /// Reply to [`Message::DelegateActivation`] or [`Message::AskDeputy`].
        DeputyReply {
            /// Number of the request or query.
            number: u64,
            /// What the deputy has ordered at the leader's engine, and with which result.
            state: DeputyState,
            /// Whether an engine refused the deputy's last order because it has seen a higher term.
            is_fenced: bool,
            /// Version of the map of the switch that `state` is about; 0 if the deputy has no
            /// record of any switch.
            version: MapVersion,
            /// Group of the sender.
            group: GroupTag,
        },
        /// Request of a leader for the experts of a rank under the map in force.
        AskExperts {
            /// Group of the sender.
            group: GroupTag,
        },
        /// Reply to [`Message::AskExperts`].
        RankExperts {
            /// Rank of the engine.
            rank: Rank,
            /// Version of the map in force.
            version: MapVersion,
            /// Experts that the rank holds, by set.
            sets: Vec<Vec<u32>>,
            /// Group of the sender.
            group: GroupTag,
        },
        /// Reply to [`Message::RankTask`].
        RankReply {
            /// Number of the task.
            number: u64,
            /// Rank of the engine.
            rank: Rank,
            /// State of the engine, read after the task was received.
            view: RankView,
            /// Version of the task's map.
            version: MapVersion,
            /// Outcome of the order that the agent sent for the task; none if it sent none.
            outcome: Option<RankOrderOutcome>,
            /// Group of the sender.
            group: GroupTag,
        },
        /// Crashes of servers and the prompt parts involved, exchanged among entries.
        Suspects(SuspectExchange),
        /// Rates that servers accept, exchanged among entries.
        ServerRates(Vec<RateStatement>),
    }
}

impl Message {
    /// Encodes the message; returns none if it can't be serialized.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Returns the group that a message among agents is about; `None` for messages of entries and to
    /// them, which are about no group or tell of one.
    pub fn group(&self) -> Option<GroupTag> {
        match self {
            Self::RankStatus(status) => Some(status.group),
            Self::RankCounts(counts) => Some(counts.group),
            Self::RankTask(task) | Self::TaskBatch { task, .. } => Some(task.group),
            Self::OrderBatch(batch) => Some(batch.group),
            Self::OrderResults { group, .. }
            | Self::DelegateActivation { group, .. }
            | Self::HigherTerm { group, .. }
            | Self::AskDeputy { group, .. }
            | Self::DeputyReply { group, .. }
            | Self::AskExperts { group }
            | Self::RankExperts { group, .. }
            | Self::RankReply { group, .. } => Some(*group),
            Self::Hello(_)
            | Self::InFlight { .. }
            | Self::AskRoster { .. }
            | Self::Roster(_)
            | Self::GroupStatus(_)
            | Self::ServerLeaves(_)
            | Self::Suspects(_)
            | Self::ServerRates(_) => None,
        }
    }

    /// Decodes a message of a build before the last one, which lacks the fields that were added at
    /// the end of its kind since.
    fn decode_shorter(bytes: &[u8]) -> Option<Self> {
        let message: Self = wire::decode_any_build(bytes).ok()?;
        let is_extended_kind = matches!(
            message,
            Self::Hello(_)
                | Self::InFlight { .. }
                | Self::Roster(_)
                | Self::Suspects(_)
                | Self::AskRoster { .. }
                | Self::GroupStatus(_)
        );
        let names_no_group = message.group() == Some(UNKNOWN_GROUP);
        let was_extended = is_extended_kind || names_no_group;
        was_extended.then_some(message)
    }

    /// Decodes a datagram; returns none if it is malformed or holds implausible values.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let decoded = postcard::from_bytes(bytes).ok();
        let message: Self = decoded.or_else(|| Self::decode_shorter(bytes))?;
        message.is_plausible().then_some(message)
    }
}
