//! What an instance is told about itself and the fleet it belongs to.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jj_utils::{
    common_derives,
    ids::{FailureDomainId, InstanceId, ServiceId},
};

common_derives! {value:
    /// Addresses on which a process listens; absent where it doesn't serve them.
    #[derive(Default)]
    pub struct ListenAddrs {
        /// For callers.
        pub traffic: Option<SocketAddr>,
        /// Whether the instance is ready.
        pub readiness: Option<SocketAddr>,
        /// Which addresses callers should use.
        pub directory: Option<SocketAddr>,
        /// For the system's other processes.
        pub control: Option<SocketAddr>,
    }
}

common_derives! {value:
    /// What the deployment promises its users, as figures.
    pub struct ServiceObjectives {
        /// Time after which a leaving server gets no new requests.
        pub max_drain: Duration,
        /// Time after which a configuration is in force.
        pub max_config_delay: Duration,
        /// Time between the request to stop and the end of the process.
        pub stop_grace: Duration,
        /// Time after which an evacuated failure domain gets no new requests.
        pub max_evacuation: Duration,
        /// Repeats for each request.
        pub retry_ratio: f64,
        /// Repeats allowed beside the ratio, over the whole fleet.
        pub retry_slack: f64,
        /// Time over which repeats are counted.
        pub retry_window: Duration,
        /// Multiple of the rate that a cold server bears at which it still gets requests.
        pub cold_overage: f64,
        /// Requests beside it.
        pub cold_slack: f64,
        /// Time for which an instance has to run undisturbed before promises bind it.
        pub stable_window: Duration,
        /// Time for which work that depends on a dead server stalls.
        pub max_stall: Duration,
        /// Longest time for which callers keep an answer of the directory.
        pub max_address_ttl: Duration,
    }
}

common_derives! {value:
    /// What the settings file says.
    pub struct InstanceSettings {
        /// Name of the instance.
        pub name: InstanceId,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Its address.
        pub ip: IpAddr,
        /// First and last port that are free for the system's own use.
        pub internal_ports: (u16, u16),
        /// Where it listens.
        pub listen: ListenAddrs,
        /// Control addresses of a few instances; may be stale.
        pub seeds: Vec<SocketAddr>,
        /// Address of the platform's store.
        pub store_addr: SocketAddr,
        /// Backend server on the same instance.
        pub server_addr: Option<SocketAddr>,
        /// Service of that server.
        pub service: Option<ServiceId>,
        /// Time between two signs of life of a backend server in the store.
        pub heartbeat_interval: Duration,
        /// ServiceObjectives to users.
        pub objectives: ServiceObjectives,
    }
}
