//! How the memory and the descriptors of a process are divided: what bodies of requests, connections of
//! callers on each port and connections to servers may take, so that none of them uses up what another
//! needs.
//!
//! Load pattern: clients that keep to no limit open as many connections as they can, on any port, and
//! send as much as is taken.

use jj_utils::common_derives;

/// Memory that a process needs for itself at the largest deployment, in bytes.
const PROCESS_BYTES: usize = 40_000_000;

/// Memory of one connection of a caller, in bytes: buffers for a head, for responses and for the task,
/// and what the kernel holds unread, which counts on the users' machines.
const CONNECTION_BYTES: usize = 32 * 1024 + RECEIVE_WINDOW_BYTES;

/// Size of the receive buffer of a caller's connection, in bytes.
pub const RECEIVE_WINDOW_BYTES: usize = 64 * 1024;

/// Part of the memory left for bodies of requests, and the same for connections, in percent.
const SHARE_PERCENT: usize = 40;

/// Part for buffered responses, in percent. The rest is for what the allocator can't use.
const RESPONSE_PERCENT: usize = 10;

/// Descriptors that are kept for files; sockets and pipes share the rest.
const FILE_DESCRIPTORS: usize = 200;

/// Lowest memory of a process, in bytes: a body of 4 MiB fits.
pub const MIN_MEMORY_BYTES: usize = 64_000_000;

/// Lowest number of descriptors of a process.
pub const MIN_DESCRIPTORS: usize = FILE_DESCRIPTORS + 100;

common_derives! {copy:
    /// Limits of a process on its machine.
    pub struct ProcessLimits {
        /// Memory, in bytes, with what the kernel holds unread for it.
        pub memory_bytes: usize,
        /// Open file descriptors.
        pub descriptors: usize,
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_bytes: 256_000_000,
            descriptors: 4_096,
        }
    }
}

impl ProcessLimits {
    /// Returns the memory for bodies of requests, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.shared_bytes() / 100 * SHARE_PERCENT
    }

    /// Returns the memory for buffered responses, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.shared_bytes() / 100 * RESPONSE_PERCENT
    }

    /// Returns the maximum number of connections at the port for callers' requests.
    pub fn traffic_connections(&self) -> usize {
        let by_memory = self.connections_by_memory() * 60 / 100;
        by_memory.min(self.sockets() * 35 / 100)
    }

    /// Returns the maximum number of connections at the port for the system's other processes.
    pub fn control_connections(&self) -> usize {
        let by_memory = self.connections_by_memory() * 20 / 100;
        by_memory.min(self.sockets() * 12 / 100)
    }

    /// Returns the maximum number of connections at each other port.
    pub fn auxiliary_connections(&self) -> usize {
        let by_memory = self.connections_by_memory() * 5 / 100;
        by_memory.min(self.sockets() * 2 / 100)
    }

    /// Returns the maximum number of connections to servers.
    pub fn server_connections(&self) -> usize {
        self.sockets() * 30 / 100
    }

    fn shared_bytes(&self) -> usize {
        self.memory_bytes.saturating_sub(PROCESS_BYTES)
    }

    fn connections_by_memory(&self) -> usize {
        self.shared_bytes() / 100 * SHARE_PERCENT / CONNECTION_BYTES
    }

    fn sockets(&self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}
