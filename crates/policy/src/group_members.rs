//! Members of a lock-step group, as one agent knows them: which server is which rank.
//!
//! The servers of one service may form several groups, whose ranks, epochs, terms and orders are
//! numbered alike. So a rank means something within one group only. The identity of a group is what
//! its servers report of it; each message among agents names it, and a heartbeat of another group
//! shows that its server is no member here. A server that no heartbeat has named is no member
//! either: nothing is ordered at it.
//!
//! Load pattern: several groups of one service, servers that come back in another group under the
//! same address, and agents that start in any order.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::Rank};
use xxhash_rust::xxh3::xxh3_64;

/// Identifier of a group: the hash of its name; [`UNKNOWN_GROUP`] in messages of processes that
/// name none.
pub type GroupTag = u64;

/// Tag of messages that name no group.
pub const UNKNOWN_GROUP: GroupTag = 0;

/// Returns the tag of the group with a name.
pub fn group_tag(name: &str) -> GroupTag {
    xxh3_64(name.as_bytes()).max(1)
}

/// Time for which a server counts as one of another group after a message of its agent.
const OUTSIDER_LIFETIME: Duration = Duration::from_secs(60);

common_derives! {copy:
    /// Sender of a heartbeat of this group.
    pub struct Sender {
        /// Engine beside the sender.
        pub server: SocketAddr,
        /// Rank of that engine in its group.
        pub rank: Rank,
    }
}

/// Member of a group and its last heartbeat.
#[derive(Debug, Clone)]
pub struct Member<T> {
    /// Its engine.
    pub server: SocketAddr,
    /// Content of the last heartbeat.
    pub status: T,
    /// Time at which that was received.
    pub last_seen: Timestamp,
}

/// Other members of the group of one agent.
#[derive(Debug, Clone)]
pub struct GroupMembers<T> {
    group: GroupTag,
    members: FastMap<Rank, Member<T>>,
    /// Instances whose agents have named another group, and when.
    outsiders: FastMap<IpAddr, Timestamp>,
}

impl<T> Default for GroupMembers<T> {
    fn default() -> Self {
        Self {
            group: UNKNOWN_GROUP,
            members: FastMap::default(),
            outsiders: FastMap::default(),
        }
    }
}

impl<T> GroupMembers<T> {
    /// Returns the group; [`UNKNOWN_GROUP`] before the agent's engine has named it.
    pub fn group(&self) -> GroupTag {
        self.group
    }

    /// Begins to keep the members of a group, without those of the group before it.
    pub fn join(&mut self, group: GroupTag) {
        self.group = group;
        self.members.clear();
        self.outsiders.clear();
    }

    /// Returns whether a message with the tag of a group, from the agent on an instance, is of this
    /// agent's group. One that names no group is, if the service can have no other (`is_alone`).
    pub fn is_own(&self, now: Timestamp, group: GroupTag, from: IpAddr, is_alone: bool) -> bool {
        match group {
            _ if self.group == UNKNOWN_GROUP => false,
            UNKNOWN_GROUP => is_alone && !self.is_outsider(now, from),
            _ => group == self.group,
        }
    }

    /// Records the heartbeat of an agent of this group. `status` returns its content, given what was
    /// known of the same server.
    pub fn record(
        &mut self,
        now: Timestamp,
        sender: Sender,
        status: impl FnOnce(Option<&Member<T>>) -> T,
    ) {
        let Sender { server, rank, .. } = sender;
        self.outsiders.remove(&server.ip());
        let known = self.members.get(&rank).filter(|it| it.server == server);
        let status = status(known);
        // A server has one rank.
        self.members
            .retain(|other, it| it.server != server || *other == rank);
        let member = Member {
            server,
            status,
            last_seen: now,
        };
        self.members.insert(rank, member);
    }

    /// Records that the agent or the engine on an instance has named another group; returns whether it
    /// was a member.
    pub fn record_outsider(&mut self, now: Timestamp, instance: IpAddr) -> bool {
        self.outsiders.insert(instance, now);
        self.outsiders
            .retain(|_, at| *at + OUTSIDER_LIFETIME >= now);
        let before = self.members.len();
        self.members.retain(|_, it| it.server.ip() != instance);
        self.members.len() < before
    }

    /// Returns whether the server of an instance was recently in another group.
    pub fn is_outsider(&self, now: Timestamp, instance: IpAddr) -> bool {
        let seen = self.outsiders.get(&instance);
        seen.is_some_and(|at| *at + OUTSIDER_LIFETIME >= now)
    }

    /// Returns the member with a rank.
    pub fn get(&self, rank: Rank) -> Option<&Member<T>> {
        self.members.get(&rank)
    }

    /// Returns the engine with a rank.
    pub fn server(&self, rank: Rank) -> Option<SocketAddr> {
        self.get(rank).map(|it| it.server)
    }

    /// Returns the members with their ranks, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Rank, &Member<T>)> {
        self.members.iter().map(|(rank, it)| (*rank, it))
    }

    /// Returns the members, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Member<T>> {
        self.members.values_mut()
    }
}
