//! Simulated network between failure domains and to the platform, which tests cut and restore.
//!
//! Each failure domain reads its own live list, which gives every instance of another domain the
//! addresses of relays. A relay carries the traffic of one domain to one instance only.

use std::net::SocketAddr;

use jj_platform::wire::{Instance, Role};
use jj_utils::ids::FailureDomainId;
use tokio_util::sync::CancellationToken;

use crate::{
    datagram_relay::DatagramRelay,
    process::free_addr,
    relay::{Mode, Relay},
};

/// The platform as one failure domain reaches it.
#[derive(Debug)]
struct View {
    domain: FailureDomainId,
    /// Address of the platform with this domain's live list.
    platform: SocketAddr,
    relay: Relay,
}

/// Network path from one failure domain to one instance of another domain.
#[derive(Debug)]
struct Link {
    from: FailureDomainId,
    /// The instance with its own addresses.
    to: Instance,
    control: SocketAddr,
    traffic: SocketAddr,
    streams: Vec<Relay>,
    datagrams: DatagramRelay,
}

/// All network paths that can be cut.
#[derive(Debug)]
pub struct Network {
    views: Vec<View>,
    links: Vec<Link>,
    cancel: CancellationToken,
}

impl Network {
    /// Starts a relay to the platform for each failure domain; the platform has to serve the
    /// addresses of [`Network::platforms`].
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn start(
        domains: &[FailureDomainId],
        cancel: CancellationToken,
    ) -> anyhow::Result<Self> {
        let mut views = Vec::new();
        for domain in domains {
            let platform = free_addr()?;
            views.push(View {
                domain: domain.clone(),
                platform,
                relay: Relay::start(free_addr()?, platform, cancel.clone()).await?,
            });
        }
        Ok(Self {
            views,
            links: Vec::new(),
            cancel,
        })
    }

    /// Returns the platform's addresses, in the order of the failure domains.
    pub fn platforms(&self) -> impl Iterator<Item = SocketAddr> {
        self.views.iter().map(|view| view.platform)
    }

    /// Returns the base URL of the relay from a failure domain to the platform.
    pub fn platform_url(&self, domain: &str) -> Option<String> {
        let view = self.views.iter().find(|view| view.domain == domain)?;
        Some(format!("http://{}", view.relay.addr()))
    }

    /// Returns the live list of each failure domain, with the address at which the platform serves
    /// it; starts the relays that are missing.
    ///
    /// # Errors
    /// When a relay can't be started.
    pub async fn lists(
        &mut self,
        instances: &[Instance],
    ) -> anyhow::Result<Vec<(SocketAddr, Vec<Instance>)>> {
        let mut lists = Vec::new();
        for number in 0..self.views.len() {
            let domain = self.views[number].domain.clone();
            let mut list = Vec::new();
            for instance in instances {
                list.push(self.seen_from(&domain, instance).await?);
            }
            lists.push((self.views[number].platform, list));
        }
        Ok(lists)
    }

    /// Sets the mode of the paths between two failure domains, in both directions.
    pub fn set_between(&self, one: &str, other: &str, mode: Mode) {
        let between = |link: &&Link| {
            let ends = (link.from.as_str(), link.to.domain.as_str());
            ends == (one, other) || ends == (other, one)
        };
        self.links
            .iter()
            .filter(between)
            .for_each(|link| link.set(mode));
    }

    /// Sets the mode of the path from a failure domain to the platform.
    pub fn set_platform(&self, domain: &str, mode: Mode) {
        let views = self.views.iter().filter(|view| view.domain == domain);
        views.for_each(|view| set_streams(&view.relay, mode));
    }

    /// Sets the mode of the paths from a failure domain: to the platform and all other domains.
    pub fn set_from(&self, domain: &str, mode: Mode) {
        self.set_platform(domain, mode);
        let asked = self.links.iter().filter(|link| link.from == domain);
        asked.for_each(|link| link.set(mode));
    }

    /// Sets the mode of all paths of a failure domain: to the platform, and to and from all other
    /// domains.
    pub fn set_domain(&self, domain: &str, mode: Mode) {
        self.set_platform(domain, mode);
        let others = self.views.iter().filter(|view| view.domain != domain);
        others.for_each(|view| self.set_between(domain, &view.domain, mode));
    }

    async fn seen_from(&mut self, domain: &str, to: &Instance) -> anyhow::Result<Instance> {
        if to.domain == domain {
            return Ok(to.clone());
        }
        let same = |link: &&Link| link.from == domain && link.to.id == to.id;
        if let Some(link) = self.links.iter().find(same) {
            return Ok(link.listed(to));
        }
        let link = Link::start(domain, to, &self.cancel).await?;
        let listed = link.listed(to);
        self.links.push(link);
        Ok(listed)
    }
}

impl Link {
    async fn start(from: &str, to: &Instance, cancel: &CancellationToken) -> anyhow::Result<Self> {
        let (control, traffic) = (free_addr()?, free_addr()?);
        let streams = vec![
            Relay::start(control, to.control, cancel.clone()).await?,
            Relay::start(traffic, to.traffic, cancel.clone()).await?,
        ];
        Ok(Self {
            from: from.to_owned(),
            to: to.clone(),
            control,
            traffic,
            streams,
            datagrams: DatagramRelay::start(control, to.control, cancel.clone()).await?,
        })
    }

    /// Returns the instance as the failure domain `from` lists it. The traffic address of an entry
    /// is not relayed, because callers use it and belong to no failure domain.
    fn listed(&self, to: &Instance) -> Instance {
        let traffic = match to.role {
            Role::Agent => self.traffic,
            Role::Entry => to.traffic,
        };
        Instance {
            control: self.control,
            traffic,
            ..to.clone()
        }
    }

    fn set(&self, mode: Mode) {
        self.streams
            .iter()
            .for_each(|relay| set_streams(relay, mode));
        self.datagrams.set(mode);
    }
}

/// Sets the mode of TCP connections. Connections that are open when the path is restored keep their
/// old mode, since a connection that lost bytes must not continue; only new ones pass.
fn set_streams(relay: &Relay, mode: Mode) {
    relay.set_new(mode);
    if mode != Mode::Pass {
        relay.set_open(mode);
    }
}
