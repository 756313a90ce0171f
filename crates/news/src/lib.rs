//! What the system's processes tell each other in datagrams on the direct way.

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
    load_sums::{InFlightUpdate, ServerTag},
    map_switch::{Goal, MapVersion, RankView},
    server_list::{Revision, ServerIncarnation},
    switch_run::{DeputyState, RankOrderOutcome, SwitchOrder, SwitchRoles},
};
use jj_utils::{
    common_derives,
    ids::{BackendServerId, Incarnation, InstanceId, Rank, Term},
};
use xxhash_rust::xxh3::xxh3_64;

/// Largest datagram read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// The short name of a server or service.
pub fn server_tag(id: &str) -> ServerTag {
    xxh3_64(id.as_bytes()) as ServerTag
}

common_derives! {wire:
    /// What an entry knows of the store.
    #[derive(Copy, Eq, Default)]
    pub struct StoreStatus {
        /// Revision up to which it knows everything.
        pub revision: Revision,
        /// Time since the store was asked for it, in milliseconds.
        pub age_ms: u32,
        /// Digest of what the store says, apart from signs of life.
        pub digest: u64,
    }
}

common_derives! {wire:
    /// Sign of life of an entry.
    pub struct Hello {
        /// Its name.
        pub name: InstanceId,
        /// What it knows of the store.
        pub store: StoreStatus,
        /// Entries that it knows to be alive, itself among them.
        pub members: MemberTable,
    }
}

common_derives! {wire:
    /// What an agent has to know of its service.
    pub struct Roster {
        /// Experts of the service's engines.
        pub experts: ExpertSpec,
        /// Time that a pass takes without any work for tokens.
        pub idle_pass: Duration,
        /// Shortest pause between events that a route to the service aims at.
        pub gap_target: Duration,
        /// Addresses of its servers.
        pub servers: Vec<SocketAddr>,
        /// Entries that may be asked.
        pub entries: Vec<IpAddr>,
    }
}

common_derives! {wire:
    /// What the agent that leads a group tells entries of it.
    #[derive(Copy)]
    pub struct GroupStatus {
        /// Engine beside the agent.
        pub server: SocketAddr,
        /// Formation of the group.
        pub epoch: u64,
        /// Whether the group works.
        pub is_open: bool,
        /// How much slower than usual its slowest engine works.
        pub slowdown: f64,
    }
}

common_derives! {wire:
    /// A server has told an entry that it will end soon.
    #[derive(Eq)]
    pub struct LeaveNotice {
        /// The server.
        pub server: BackendServerId,
        /// Its life when it said so, where that was known.
        pub life: Option<ServerIncarnation>,
    }
}

common_derives! {wire:
    /// Sign of life of an agent, for the other agents of its group.
    pub struct RankStatus {
        /// This life of it.
        pub incarnation: Incarnation,
        /// Position of its engine.
        pub rank: Rank,
        /// Engine beside it.
        pub server: SocketAddr,
        /// What the engine said last.
        pub view: RankView,
        /// Highest fencing number that the agent has seen.
        pub term: Term,
        /// Whether it carries a switch out.
        pub switching: bool,
        /// How much slower than usual the engine works.
        pub slowdown: f64,
        /// Requests that the engine works on.
        pub running: u32,
        /// Requests that wait there.
        pub waiting: u32,
        /// Age of that, in milliseconds.
        pub age_ms: u32,
    }
}

common_derives! {wire:
    /// How often the requests of one rank chose each expert since it told last.
    pub struct RankCounts {
        /// Set after set, expert after expert.
        pub increments: Vec<u32>,
    }
}

common_derives! {wire:
    /// What a leader wants of a rank.
    pub struct RankTask {
        /// Agent that gave it, to which the answer goes.
        pub leader: SocketAddr,
        /// Number of the task, which the answer names.
        pub number: u64,
        /// Who does what.
        pub roles: SwitchRoles,
        /// The goal.
        pub goal: Goal,
        /// The map, while the goal is to load it and the rank has not said that it does.
        pub map: Option<MapDelta>,
    }
}

common_derives! {wire:
    /// An order at the engine of a rank, for another agent to give.
    #[derive(Copy, Eq)]
    pub struct BatchedOrder {
        /// Position of the engine.
        pub rank: Rank,
        /// The engine.
        pub server: SocketAddr,
        /// The order.
        pub order: SwitchOrder,
        /// Orders that the engine has to have accepted so far.
        pub sequence: u64,
    }
}

common_derives! {wire:
    /// Orders that an agent gives for the one that carries a switch out.
    #[derive(Eq)]
    pub struct OrderBatch {
        /// Agent that carries the switch out.
        pub leader: SocketAddr,
        /// Number of the batch, which the answer names.
        pub number: u64,
        /// For what, and by whom.
        pub goal: Goal,
        /// The orders.
        pub orders: Vec<BatchedOrder>,
    }
}

common_derives! {wire:
    /// What became of an order.
    #[derive(Copy, Eq)]
    pub struct OrderResult {
        /// Position of the engine.
        pub rank: Rank,
        /// What became of it.
        pub outcome: RankOrderOutcome,
    }
}

common_derives! {wire:
    /// One datagram.
    pub enum Message {
        /// Sign of life.
        Hello(Hello),
        /// Requests in flight.
        Use {
            /// The requests.
            uses: InFlightUpdate,
            /// What the entry that tells this knows of the store.
            store: StoreStatus,
        },
        /// An agent asks an entry for the roster of its service.
        AskRoster {
            /// Engine beside the agent.
            server: SocketAddr,
        },
        /// The answer.
        Roster(Roster),
        /// State of a group, for entries.
        GroupStatus(GroupStatus),
        /// A server has said that it leaves.
        ServerLeaves(LeaveNotice),
        /// Sign of life of an agent.
        RankStatus(RankStatus),
        /// Counts for the agent that leads.
        RankCounts(RankCounts),
        /// A leader's task for a rank.
        RankTask(RankTask),
        /// A leader's task for several ranks, which the agent that gets it passes on.
        TaskBatch {
            /// Agents, each with the number of its task.
            to: Vec<(SocketAddr, u64)>,
            /// The task; its number is that of the agent.
            task: RankTask,
        },
        /// Orders for an agent to give.
        OrderBatch(OrderBatch),
        /// The answer.
        OrderResults {
            /// Number of the batch.
            number: u64,
            /// What became of each order.
            results: Vec<OrderResult>,
        },
        /// A leader asks its deputy to hold a pass at the gate, and to activate a map at the leader's
        /// engine.
        DelegateActivation {
            /// Number of the request, which the answer names.
            number: u64,
            /// What to activate, from which pass on, and for whom.
            goal: Goal,
            /// The gate's engine.
            gate: SocketAddr,
            /// Orders that the gate has accepted.
            gate_sequence: u64,
            /// The leader's engine.
            server: SocketAddr,
            /// Orders that the leader's engine has accepted.
            leader_sequence: u64,
        },
        /// An agent does not do what it was asked, since it has obeyed a leader under a higher fencing number.
        HigherTerm {
            /// Number of the question.
            number: u64,
            /// The higher number.
            term: Term,
        },
        /// An agent that finishes a switch asks the deputy what it knows of the leader's engine.
        AskDeputy {
            /// Number of the question.
            number: u64,
            /// Fencing number of the one who asks; the deputy obeys no lower one from then on.
            term: Term,
        },
        /// The answer of a deputy.
        DeputyReply {
            /// Number of the request or question.
            number: u64,
            /// What it knows.
            state: DeputyState,
            /// An engine refused one of its orders, since it has seen a higher fencing number.
            is_fenced: bool,
        },
        /// A leader asks for the experts of a rank under the map in force.
        AskExperts,
        /// The answer.
        RankExperts {
            /// Position of the engine.
            rank: Rank,
            /// The map.
            version: MapVersion,
            /// Experts by set.
            sets: Vec<Vec<u32>>,
        },
        /// The answer to a task.
        RankReply {
            /// Number of the task.
            number: u64,
            /// Position of the engine.
            rank: Rank,
            /// What the engine said after the task had come.
            view: RankView,
            /// The map of the task.
            version: MapVersion,
            /// What became of the order for the task; none where none was given.
            outcome: Option<RankOrderOutcome>,
        },
    }
}

impl Message {
    /// The bytes to send; none where the message can't be written.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Reads a datagram; none where it isn't one of these, or says what can't be.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let message: Self = postcard::from_bytes(bytes).ok()?;
        message.is_plausible().then_some(message)
    }
}
