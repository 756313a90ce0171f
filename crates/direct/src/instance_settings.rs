//! Settings of an instance: its own addresses and those of the fleet, and the deployment's service
//! objectives.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jj_policy::process_limits::ProcessLimits;
use jj_utils::{
    common_derives,
    ids::{FailureDomainId, InstanceId, ServiceId},
};

common_derives! {value:
    /// Addresses on which a process listens; none where it doesn't serve the port.
    #[derive(Default)]
    pub struct ListenAddrs {
        /// Port for callers' requests.
        pub traffic: Option<SocketAddr>,
        /// Port that reports whether the instance is ready.
        pub readiness: Option<SocketAddr>,
        /// Port that reports which addresses callers should use.
        pub directory: Option<SocketAddr>,
        /// Port for the system's other processes.
        pub control: Option<SocketAddr>,
    }
}

common_derives! {value:
    /// Service objectives of the deployment: limits that users may rely on.
    pub struct ServiceObjectives {
        /// Maximum time after which a leaving server gets no new requests.
        pub max_drain: Duration,
        /// Maximum time after which a new configuration is in force.
        pub max_config_delay: Duration,
        /// Time between the signal to stop and the end of the process.
        pub stop_grace: Duration,
        /// Maximum time after which an evacuated failure domain gets no new requests.
        pub max_evacuation: Duration,
        /// Retries allowed per request.
        pub retry_ratio: f64,
        /// Retries of the whole fleet allowed in addition to the ratio, in each window.
        pub retry_slack: f64,
        /// Time over which retries are counted.
        pub retry_window: Duration,
        /// Maximum request rate to a cold server, as a multiple of the rate that the server
        /// sustains.
        pub cold_overage: f64,
        /// Requests to a cold server allowed in addition to that rate.
        pub cold_slack: f64,
        /// Time for which an instance has to run undisturbed before the objectives apply to it.
        pub stable_window: Duration,
        /// Maximum time for which work that depends on a dead server stalls.
        pub max_stall: Duration,
        /// Maximum time for which callers cache a response of the directory.
        pub max_address_ttl: Duration,
    }
}

common_derives! {value:
    /// Contents of the settings file.
    pub struct InstanceSettings {
        /// Name of the instance.
        pub name: InstanceId,
        /// Failure domain of the instance.
        pub domain: FailureDomainId,
        /// IP address of the instance.
        pub ip: IpAddr,
        /// First and last port reserved for the system's own use.
        pub internal_ports: (u16, u16),
        /// Addresses on which the process listens.
        pub listen: ListenAddrs,
        /// Control addresses of a few other instances to find the fleet from; may be out of date.
        pub seeds: Vec<SocketAddr>,
        /// Address of the platform's store.
        pub store_addr: SocketAddr,
        /// Address of the backend server on the same instance.
        pub server_addr: Option<SocketAddr>,
        /// Service of that server.
        pub service: Option<ServiceId>,
        /// Time between two heartbeats of a backend server in the store.
        pub heartbeat_interval: Duration,
        /// Memory and descriptors of the process.
        pub limits: ProcessLimits,
        /// Service objectives of the deployment.
        pub objectives: ServiceObjectives,
    }
}
