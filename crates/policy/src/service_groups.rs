//! Groups that the servers of one service form, as an entry knows them from the reports of agents.
//!
//! One group may be out while another one works, and their passes differ, so what an entry knows of
//! a group is kept for each of them. Until agents have reported a second group, all servers of the
//! service count as one group.
//!
//! Load pattern: a service with several groups, one of which loses a rank; groups that open one
//! after the other, end, or come back under another name; servers that move to another group.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, ids::BackendServerId};

use crate::group_members::{GroupTag, UNKNOWN_GROUP};

/// Time without a report after which a group is dropped, if the service has others.
const GROUP_LIFETIME: Duration = Duration::from_secs(30);

/// Time for which a server counts as one of a group for the rosters of other groups after a report.
const MEMBERSHIP_LIFETIME: Duration = Duration::from_secs(60);

/// Group of a service.
#[derive(Debug, Default)]
struct KnownGroup<T> {
    state: T,
    last_report: Timestamp,
}

/// Groups of one service, each with a state of type `T`.
#[derive(Debug)]
pub struct ServiceGroups<T> {
    groups: FastMap<GroupTag, KnownGroup<T>>,
    /// Group of each server, and when it was last reported.
    members: FastMap<BackendServerId, (GroupTag, Timestamp)>,
}

impl<T> Default for ServiceGroups<T> {
    fn default() -> Self {
        Self {
            groups: FastMap::default(),
            members: FastMap::default(),
        }
    }
}

impl<T: Default> ServiceGroups<T> {
    /// Records that a server is in a group, by the word of its agent.
    pub fn record_member(&mut self, now: Timestamp, server: &str, group: GroupTag) {
        if group != UNKNOWN_GROUP {
            self.members.insert(server.to_owned(), (group, now));
        }
    }

    /// Records a report on a group and returns the group's state. A report that names no group is on
    /// that of the server beside the reporting agent; `None` if that one is not known.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        server: &str,
        group: GroupTag,
    ) -> Option<&mut T> {
        let group = match group {
            UNKNOWN_GROUP => self.group_of(server),
            named => named,
        };
        if group != UNKNOWN_GROUP {
            self.record_member(now, server, group);
            self.name_single_group(group);
            self.drop_unreported(now, group);
        } else if self.has_several() {
            return None;
        }
        let known = self.groups.entry(group).or_default();
        known.last_report = now;
        Some(&mut known.state)
    }

    /// Takes what is known of the service as a whole for what is known of its first named group.
    fn name_single_group(&mut self, group: GroupTag) {
        if self.groups.len() == 1
            && let Some(known) = self.groups.remove(&UNKNOWN_GROUP)
        {
            self.groups.insert(group, known);
        }
    }

    /// Drops the groups other than `reported` that have not been reported for long.
    fn drop_unreported(&mut self, now: Timestamp, reported: GroupTag) {
        self.groups
            .retain(|tag, it| *tag == reported || it.last_report + GROUP_LIFETIME >= now);
    }

    /// Returns the tag of the group of a server: the only one of the service, or else the reported
    /// one; [`UNKNOWN_GROUP`] if none is known.
    pub fn group_of(&self, server: &str) -> GroupTag {
        if !self.has_several() {
            return self.groups.keys().next().copied().unwrap_or(UNKNOWN_GROUP);
        }
        let reported = self.members.get(server).map(|(group, _)| *group);
        let known = reported.filter(|it| self.groups.contains_key(it));
        known.unwrap_or(UNKNOWN_GROUP)
    }

    /// Returns whether the agent of a server is known to have named a group other than `group` lately.
    pub fn is_in_other_group(&self, now: Timestamp, server: &str, group: GroupTag) -> bool {
        let reported = self.members.get(server);
        group != UNKNOWN_GROUP
            && reported
                .is_some_and(|(other, at)| *other != group && *at + MEMBERSHIP_LIFETIME >= now)
    }

    /// Returns whether the service has more than one group.
    pub fn has_several(&self) -> bool {
        self.groups.len() > 1
    }

    /// Returns the tags of the groups, in no order.
    pub fn tags(&self) -> Vec<GroupTag> {
        self.groups.keys().copied().collect()
    }

    /// Returns the state of a group.
    pub fn get(&self, group: GroupTag) -> Option<&T> {
        self.groups.get(&group).map(|it| &it.state)
    }

    /// Returns the state of a group, to be changed.
    pub fn get_mut(&mut self, group: GroupTag) -> Option<&mut T> {
        self.groups.get_mut(&group).map(|it| &mut it.state)
    }

    /// Returns the state of the group of a server, which begins empty.
    pub fn of_server_mut(&mut self, server: &str) -> &mut T {
        let group = self.group_of(server);
        &mut self.groups.entry(group).or_default().state
    }
}
