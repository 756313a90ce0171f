//! What the system's processes tell each other in datagrams.

use std::net::{IpAddr, SocketAddr};

use jj_policy::server_list::Revision;
use jj_utils::{
    common_derives,
    ids::{FailureDomainId, Incarnation, InstanceId},
};
use xxhash_rust::xxh3::xxh3_64;

/// Largest datagram read, in bytes.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// Short name of a backend server: part of the hash of its id.
pub type ServerTag = u32;

/// The short name of a server.
pub fn server_tag(id: &str) -> ServerTag {
    xxh3_64(id.as_bytes()) as ServerTag
}

common_derives! {wire:
    /// Whether an entry takes requests.
    #[derive(Copy, Eq)]
    pub enum Standing {
        /// Not yet.
        Starting,
        /// Yes.
        Ready,
        /// It is about to end.
        Leaving,
    }
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
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// This life of it.
        pub life: Incarnation,
        /// Where callers reach it.
        pub traffic: SocketAddr,
        /// Where other processes ask it for what the store says.
        pub control: SocketAddr,
        /// Whether it takes requests.
        pub standing: Standing,
        /// What it knows of the store.
        pub store: StoreNews,
        /// Entries that it heard lately.
        pub peers: Vec<IpAddr>,
    }
}

common_derives! {wire:
    /// Requests of one entry at one server.
    #[derive(Copy, Eq)]
    pub struct ServerUse {
        /// The server.
        pub server: ServerTag,
        /// Requests in flight.
        pub requests: u32,
    }
}

common_derives! {wire:
    /// One datagram.
    pub enum Message {
        /// Sign of life.
        Hello(Hello),
        /// All requests of an entry that are in flight; servers without any are left out.
        Use {
            /// Life of the entry.
            life: Incarnation,
            /// Rises with each message of this life.
            number: u64,
            /// Requests by server.
            uses: Vec<ServerUse>,
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
