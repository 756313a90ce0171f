//! Which connection is closed for a new one.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::connection_limit::{
    ConnectionId, ConnectionState,
    ConnectionUse::{self, Busy, Closing, Transferring, Waiting},
    choose_closed,
};

const NOW: Duration = Duration::from_secs(100);

/// Returns a connection that does something since a number of milliseconds.
fn connection(
    id: ConnectionId,
    current: ConnectionUse,
    millis: u64,
) -> (ConnectionId, ConnectionState) {
    let since = NOW - Duration::from_millis(millis);
    (id, ConnectionState { current, since })
}

#[gtest]
fn closes_what_ends_anyway_then_what_waited_longest_then_what_stalls() {
    let mut connections = vec![
        connection(1, Busy, 9_000),
        connection(2, Transferring, 800),
        connection(3, Transferring, 900),
        connection(4, Transferring, 400),
        connection(5, Waiting, 10),
        connection(6, Waiting, 3_000),
        connection(7, Closing, 0),
    ];

    let mut closed = Vec::new();
    while let Some(id) = choose_closed(NOW, connections.iter().copied()) {
        connections.retain(|(it, _)| *it != id);
        closed.push(id);
    }

    // One whose body arrives, and one whose request is handled, go on.
    expect_that!(closed, eq(&vec![7, 6, 5, 3, 2]));
    expect_that!(connections.len(), eq(2));
}

/// A caller that uses its connection again is younger than those that send nothing.
#[gtest]
fn crowd_that_sends_nothing_displaces_itself() {
    const LIMIT: usize = 50;
    let mut connections = vec![connection(0, Waiting, 5_000)];

    for id in 1..1_000 {
        let now = NOW + Duration::from_millis(id * 10);
        // The caller sends a request every 200 ms.
        if id % 20 == 0
            && let Some((_, state)) = connections.iter_mut().find(|(it, _)| *it == 0)
        {
            state.since = now;
        }
        if connections.len() >= LIMIT {
            let closed = choose_closed(now, connections.iter().copied());
            connections.retain(|(it, _)| Some(*it) != closed);
        }
        let since = now;
        let current = Waiting;
        connections.push((id, ConnectionState { current, since }));
    }

    expect_that!(connections.iter().any(|(id, _)| *id == 0), eq(true));
}
