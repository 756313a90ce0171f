//! Groups of one service as an entry keeps them.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    group_members::{GroupTag, UNKNOWN_GROUP},
    service_groups::ServiceGroups,
};
use jj_utils::clock::Timestamp;

const FIRST: GroupTag = 1;
const SECOND: GroupTag = 2;

fn at(seconds: u64) -> Timestamp {
    Duration::from_secs(seconds)
}

/// Returns a service whose server `a` is in the first group and `b` in the second; the state of each is
/// its tag.
fn two_groups() -> ServiceGroups<GroupTag> {
    let mut groups = ServiceGroups::default();
    *groups.record_report(at(0), "a", FIRST).unwrap() = FIRST;
    *groups.record_report(at(0), "b", SECOND).unwrap() = SECOND;
    groups
}

#[gtest]
fn all_servers_are_of_the_only_group() {
    let mut groups: ServiceGroups<u64> = ServiceGroups::default();
    *groups.of_server_mut("a") = 7;

    let before = groups.group_of("a");
    let kept = groups.record_report(at(0), "a", FIRST).copied();

    expect_that!(before, eq(UNKNOWN_GROUP));
    expect_that!(kept, some(eq(7)));
    expect_that!(groups.group_of("unheard"), eq(FIRST));
}

/// Guards against a state that is kept by service, so that one group's outage is told of another.
#[gtest]
fn servers_are_of_the_group_that_their_agents_name() {
    let mut groups = two_groups();
    groups.record_member(at(1), "c", SECOND);

    expect_that!(*groups.of_server_mut("a"), eq(FIRST));
    expect_that!(*groups.of_server_mut("b"), eq(SECOND));
    expect_that!(*groups.of_server_mut("c"), eq(SECOND));
    expect_that!(groups.group_of("unheard"), eq(UNKNOWN_GROUP));
}

#[gtest]
fn server_that_moves_is_of_its_new_group() {
    let mut groups = two_groups();

    groups.record_member(at(1), "a", SECOND);

    expect_that!(groups.group_of("a"), eq(SECOND));
    expect_that!(groups.is_in_other_group(at(1), "a", FIRST), eq(true));
    expect_that!(groups.is_in_other_group(at(1), "a", SECOND), eq(false));
}

/// An agent of the build before names no group.
#[gtest]
fn report_that_names_no_group_is_on_that_of_its_server() {
    let mut groups = two_groups();

    let known = groups.record_report(at(1), "b", UNKNOWN_GROUP).copied();
    let unheard = groups.record_report(at(1), "unheard", UNKNOWN_GROUP);

    expect_that!(known, some(eq(SECOND)));
    expect_that!(unheard, none());
}

#[gtest]
fn group_that_has_ended_is_dropped() {
    let mut groups = two_groups();

    groups.record_report(at(40), "b", SECOND);

    expect_that!(groups.tags(), elements_are![eq(&SECOND)]);
    expect_that!(groups.group_of("a"), eq(SECOND));
}
