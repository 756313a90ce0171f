//! How memory and descriptors of a process are divided.

use googletest::prelude::*;
use jj_policy::process_limits::{
    MIN_DESCRIPTORS, MIN_MEMORY_BYTES, ProcessLimits, RECEIVE_WINDOW_BYTES,
};

/// Ports of an entry besides the one for callers' requests.
const OTHER_PORTS: usize = 5;

/// Sockets for the store, other entries, listening and signals.
const OTHER_SOCKETS: usize = 12;

/// Returns the machines of the users' deployments, the default and the smallest ones that are allowed.
fn machines() -> [ProcessLimits; 5] {
    let machine = |memory_bytes, descriptors| ProcessLimits {
        memory_bytes,
        descriptors,
    };
    [
        machine(260_000_000, 4_200),
        machine(260_000_000, 4_100),
        machine(128_000_000, 2_048),
        ProcessLimits::default(),
        machine(MIN_MEMORY_BYTES, MIN_DESCRIPTORS),
    ]
}

#[gtest]
fn all_shares_together_fit_the_machine() {
    for limits in machines() {
        let connections =
            limits.traffic_connections() + OTHER_PORTS * limits.auxiliary_connections();

        let sockets = connections + limits.server_connections() + OTHER_SOCKETS;
        let windows = connections * RECEIVE_WINDOW_BYTES;
        let bytes = limits.body_bytes() + limits.response_bytes() + windows;

        expect_that!(sockets, le(limits.descriptors - 200), "{limits:?}");
        expect_that!(bytes, lt(limits.memory_bytes), "{limits:?}");
        expect_that!(limits.auxiliary_connections(), ge(2), "{limits:?}");
    }
}
