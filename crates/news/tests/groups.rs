//! Messages among agents name their group; those of the build before are read as ones that name none.

use googletest::prelude::*;
use jj_news::{GroupStatus, MAX_DATAGRAM_BYTES, Message, RankCounts, RankStatus, RankTask};
use jj_policy::{
    group_members::{UNKNOWN_GROUP, group_tag},
    map_switch::{Goal, RankView},
    switch_run::SwitchRoles,
};

fn messages(group: u64) -> Vec<Message> {
    let goal = Goal {
        term: 4_096,
        epoch: 1,
        version: 2,
        pass: None,
    };
    vec![
        Message::RankCounts(RankCounts {
            increments: vec![3, 4],
            group,
        }),
        Message::RankTask(RankTask {
            leader: "10.0.0.1:80".parse().unwrap(),
            number: 1,
            roles: SwitchRoles::unknown(2),
            goal,
            map: None,
            switch_version: 2,
            group,
        }),
        Message::HigherTerm {
            number: 1,
            term: 4_096,
            group,
        },
        Message::AskExperts { group },
    ]
}

#[gtest]
fn group_is_carried() {
    let group = group_tag("g-a");
    for message in messages(group) {
        let bytes = message.encode().unwrap();

        let decoded = Message::decode(&bytes);

        expect_that!(decoded, some(eq(&message)));
        expect_that!(decoded.and_then(|it| it.group()), some(eq(group)));
    }
}

/// Guards against messages of the build before that are dropped, or taken for ones of some group.
#[gtest]
fn messages_of_the_build_before_name_no_group() {
    for message in messages(UNKNOWN_GROUP) {
        let bytes = message.encode().unwrap();
        let without_group = &bytes[..bytes.len() - 1];

        let decoded = Message::decode(without_group);

        expect_that!(decoded, some(eq(&message)));
    }
}

#[gtest]
fn report_of_the_build_before_names_no_group_and_no_servers() {
    let message = Message::GroupStatus(GroupStatus {
        server: "10.0.0.1:80".parse().unwrap(),
        epoch: 3,
        is_open: true,
        slowdown: 1.5,
        group: UNKNOWN_GROUP,
        servers: Vec::new(),
    });
    let bytes = message.encode().unwrap();

    let decoded = Message::decode(&bytes[..bytes.len() - 2]);

    expect_that!(decoded, some(eq(&message)));
}

/// Returns the bytes of a status of a group with a number of servers, all named.
fn status_bytes(servers: u32) -> usize {
    let message = Message::GroupStatus(GroupStatus {
        server: "10.0.0.1:8080".parse().unwrap(),
        epoch: 3,
        is_open: true,
        slowdown: 1.5,
        group: group_tag("g-a"),
        servers: (0..servers).map(|it| u32::MAX - it).collect(),
    });
    message.encode().unwrap().len()
}

/// Guards against a report that no entry reads, since it names more servers than a datagram holds.
#[gtest]
fn servers_of_a_large_group_fit_one_datagram() {
    let sizes = [0, 64, 650].map(status_bytes);

    println!("bytes of a status with 0, 64 and 650 servers: {sizes:?}");
    expect_that!(sizes[2], le(MAX_DATAGRAM_BYTES));
}

/// The name of its group costs a heartbeat of 64 ranks at most ten bytes.
#[gtest]
fn heartbeat_names_its_group_in_few_bytes() {
    let heartbeat = |group| {
        Message::RankStatus(RankStatus {
            incarnation: u64::MAX,
            rank: 63,
            server: "10.0.0.1:8080".parse().unwrap(),
            view: RankView {
                epoch: 3,
                is_open: true,
                pass: 100_000,
                sequence: 300,
                map: 1 << 27,
                loaded: None,
                active: None,
                held: None,
            },
            term: 4_096 * 100,
            switching: false,
            slowdown: 1.0,
            running: 8,
            waiting: 2,
            age_ms: 100,
            group,
        })
    };
    let bytes = |group| heartbeat(group).encode().unwrap().len();

    let (without, with) = (bytes(UNKNOWN_GROUP) - 1, bytes(u64::MAX));

    println!("bytes of a heartbeat before and now: {without}, {with}");
    expect_that!(with - without, le(10));
}
