//! How memory and descriptors of a process are divided.

use googletest::prelude::*;
use jj_policy::{
    body_memory::{BodyMemory, BodyMemoryConfig},
    process_limits::{MIN_DESCRIPTORS, MIN_MEMORY_BYTES, ProcessLimits, RECEIVE_WINDOW_BYTES},
};

/// Ports of an entry besides those for callers' requests and for the system's other processes.
const OTHER_PORTS: usize = 4;

/// Sockets for the store, other entries, listening and signals.
const OTHER_SOCKETS: usize = 12;

/// Largest body of a request on the users' pages, in bytes.
const FULL_BODY: usize = 4 << 20;

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
        let connections = limits.traffic_connections()
            + limits.control_connections()
            + OTHER_PORTS * limits.auxiliary_connections();

        let sockets = connections + limits.server_connections() + OTHER_SOCKETS;
        let windows = connections * RECEIVE_WINDOW_BYTES;
        let bytes = limits.body_bytes() + limits.response_bytes() + windows;

        expect_that!(sockets, le(limits.descriptors - 200), "{limits:?}");
        expect_that!(bytes, lt(limits.memory_bytes), "{limits:?}");
        expect_that!(limits.auxiliary_connections(), ge(2), "{limits:?}");
    }
}

#[gtest]
fn single_body_of_the_full_size_fits_each_machine() {
    for limits in machines() {
        let config = BodyMemoryConfig {
            capacity: limits.body_bytes(),
            ..BodyMemoryConfig::default()
        };
        let mut memory = BodyMemory::new(config);
        let now = std::time::Duration::ZERO;
        let id = memory.begin(now, 1);

        let grown = memory.grow(now, id, FULL_BODY + FULL_BODY / 64);

        expect_that!(grown, ok(is_empty()), "{limits:?}");
    }
}
