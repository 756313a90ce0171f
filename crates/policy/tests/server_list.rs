//! Listed servers while the platform works, is disturbed, and has recovered.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::server_list::{ServerList, ServerRecord, ServerState};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(id: &str) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        service: "desk".to_owned(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 6,
        state: ServerState::Serving,
        cold_remaining: Duration::ZERO,
        incarnation: Some(7),
    }
}

fn list(ids: &[&str]) -> ServerList {
    let mut list = ServerList::default();
    for id in ids {
        list.put(at(100), record(id));
    }
    list
}

fn serving(list: &ServerList) -> Vec<&str> {
    let mut ids: Vec<&str> = list.serving().map(|it| it.record.id.as_str()).collect();
    ids.sort_unstable();
    ids
}

#[gtest]
fn leaving_server_is_listed_but_not_serving() {
    let mut list = list(&["s1", "s2"]);

    let has_changed = list.put(
        at(200),
        ServerRecord {
            state: ServerState::Leaving,
            ..record("s1")
        },
    );

    expect_that!(has_changed, eq(true));
    expect_that!(serving(&list), elements_are![eq(&"s2")]);
    expect_that!(list.get("s1"), some(anything()));
}

#[gtest]
fn renewed_record_is_no_change() {
    let mut list = list(&["s1"]);

    expect_that!(list.put(at(200), record("s1")), eq(false));
}

#[gtest]
fn missing_record_without_platform_errors_counts_at_once() {
    let mut list = list(&["s1", "s2"]);

    list.mark_missing(at(5_000), "s1");
    list.drop_gone(at(5_000));

    expect_that!(serving(&list), elements_are![eq(&"s2")]);
}

#[gtest]
fn records_that_expire_in_an_outage_count_as_gone_two_seconds_after_it() {
    let mut list = list(&["s1", "s2", "s3"]);
    list.record_platform_error(at(10_000));

    // The first response after the outage lacks two servers; one of them comes back.
    list.replace_all(at(10_100), vec![record("s1")]);
    list.drop_gone(at(10_100));
    let at_once = serving(&list).len();
    list.put(at(11_000), record("s2"));
    list.drop_gone(at(11_900));
    let before = serving(&list).len();
    list.drop_gone(at(12_000));

    expect_that!(at_once, eq(3));
    expect_that!(before, eq(3));
    expect_that!(serving(&list), elements_are![eq(&"s1"), eq(&"s2")]);
}

#[gtest]
fn missing_record_well_after_an_outage_counts_at_once() {
    let mut list = list(&["s1"]);
    list.record_platform_error(at(10_000));

    list.mark_missing(at(12_500), "s1");
    list.drop_gone(at(12_500));

    expect_that!(serving(&list), is_empty());
}

#[gtest]
fn further_outage_restarts_the_waiting_time() {
    let mut list = list(&["s1"]);
    list.record_platform_error(at(10_000));
    list.mark_missing(at(10_100), "s1");

    list.record_platform_error(at(11_500));
    list.drop_gone(at(12_500));
    let within = serving(&list).len();
    list.drop_gone(at(13_500));

    expect_that!(within, eq(1));
    expect_that!(serving(&list), is_empty());
}
