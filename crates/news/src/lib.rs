//! What the system's processes tell each other in datagrams on the direct way.

#![warn(clippy::unwrap_used)]

mod member_table;

pub use member_table::MemberTable;

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jj_policy::{
    catalog::ExpertSpec,
    load_sums::{ServerTag, UseNews},
    map_switch::{Goal, MapVersion, RankView, SetMap},
    server_list::Revision,
    switch_run::{DeputyState, SwitchRoles},
};
use jj_utils::{
    common_derives,
    ids::{Incarnation, InstanceId, Rank, Term},
};
use xxhash_rust::xxh3::xxh3_64;

/// Largest datagram read, in bytes.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// The short name of a server or service.
pub fn server_tag(id: &str) -> ServerTag {
    xxh3_64(id.as_bytes()) as ServerTag
}

common_derives! {wire:
    /// What an entry knows of the store.
    #[derive(Copy, Eq, Default)]
    pub struct StoreNews {
        /// Revision up to which it knows everything.
        pub at: Revision,
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
        pub store: StoreNews,
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
        pub gap: Duration,
        /// Addresses of its servers.
        pub servers: Vec<SocketAddr>,
        /// Entries that may be asked.
        pub entries: Vec<IpAddr>,
    }
}

common_derives! {wire:
    /// What the agent that leads a group tells entries of it.
    #[derive(Copy, Eq)]
    pub struct GroupNews {
        /// Engine beside the agent.
        pub server: SocketAddr,
        /// Formation of the group.
        pub epoch: u64,
        /// Whether the group works.
        pub works: bool,
    }
}

common_derives! {wire:
    /// Sign of life of an agent, for the other agents of its group.
    pub struct RankStatus {
        /// This life of it.
        pub life: Incarnation,
        /// Position of its engine.
        pub rank: Rank,
        /// Engine beside it.
        pub server: SocketAddr,
        /// What the engine said last.
        pub view: RankView,
        /// How much slower than usual the engine works.
        pub pace: f64,
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
        pub grown: Vec<u32>,
    }
}

common_derives! {wire:
    /// Experts of one rank in a set.
    #[derive(Eq)]
    pub struct RankChange {
        /// The set.
        pub set: u16,
        /// The rank.
        pub rank: u16,
        /// Its experts.
        pub experts: Vec<u16>,
    }
}

common_derives! {wire:
    /// A map that ranks are to load: where it differs from the one in force, which all agents know
    /// unless they have just started.
    #[derive(Eq)]
    pub struct MapNews {
        /// The other map.
        pub base: MapVersion,
        /// Ranks with other experts.
        pub changes: Vec<RankChange>,
    }
}

impl MapNews {
    /// What leads from one map to another.
    pub fn changes(base: MapVersion, from: &[SetMap], to: &[SetMap]) -> Self {
        let sets = from.iter().zip(to).enumerate();
        let changes = sets.flat_map(|(set, (from, to))| {
            let ranks = from.iter().zip(to).enumerate();
            let changed = ranks.filter(|(_, (from, to))| from != to);
            changed.map(move |(rank, (_, to))| RankChange {
                set: set as u16,
                rank: rank as u16,
                experts: to.iter().map(|it| *it as u16).collect(),
            })
        });
        Self {
            base,
            changes: changes.collect(),
        }
    }

    /// The map; `known` gives the content of other maps. None where it is of an unknown one.
    pub fn map(&self, known: impl Fn(MapVersion) -> Option<Vec<SetMap>>) -> Option<Vec<SetMap>> {
        let mut map = known(self.base)?;
        for change in &self.changes {
            let set = map.get_mut(usize::from(change.set))?;
            let rank = set.get_mut(usize::from(change.rank))?;
            *rank = change.experts.iter().map(|it| u32::from(*it)).collect();
        }
        Some(map)
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
        pub map: Option<MapNews>,
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
            uses: UseNews,
            /// What the entry that tells this knows of the store.
            store: StoreNews,
        },
        /// An agent asks an entry for the roster of its service.
        AskRoster {
            /// Engine beside the agent.
            server: SocketAddr,
        },
        /// The answer.
        Roster(Roster),
        /// State of a group, for entries.
        GroupNews(GroupNews),
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
        /// A leader asks its deputy to hold a pass at the gate, and to activate a map at the leader's
        /// engine.
        Deputise {
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
            sequence: u64,
        },
        /// An agent that finishes a switch asks the deputy what it knows of the leader's engine.
        AskDeputy {
            /// Number of the question.
            number: u64,
            /// Fencing number of the one who asks; the deputy obeys no lower one from then on.
            term: Term,
        },
        /// The answer of a deputy.
        Deputy {
            /// Number of the request or question.
            number: u64,
            /// What it knows.
            state: DeputyState,
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
            /// An order for the task had no answer: it may be carried out later.
            unanswered: bool,
        },
    }
}

impl Message {
    /// The bytes to send; none where the message can't be written.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Reads a datagram; none where it isn't one of these.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
