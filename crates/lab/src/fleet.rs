//! A small fleet of real processes around the stand-in platform.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, ensure};
use jj_platform::wire::{Instance, InstanceList, Role};
use jj_utils::ids::{ConfigIndex, FailureDomainId};
use tokio_util::sync::CancellationToken;

pub use crate::fleet_config::FleetConfig;
use crate::{
    network::Network,
    process::{Process, free_addr, wait_until},
    publication::{MODEL_SERVICE, PLAIN_SERVICE, Publication},
    publish::{publish, publish_directory},
    relay::Relay,
    standins::{
        faults::{ControlRequest, Fault},
        ledger::Executions,
    },
};

/// Maximum wait for a process to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// One process of the system.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// Its entry in the platform's live list.
    pub listed: Instance,
    /// Address of the operators' port.
    pub operator: SocketAddr,
    program: &'static str,
    args: Vec<String>,
}

/// A backend server and its agent, with a relay on each side of the agent.
#[derive(Debug)]
pub struct Server {
    /// The stand-in.
    pub backend: Process,
    /// Base URL of the stand-in.
    pub url: String,
    /// The agent.
    pub agent: Node,
    /// Relay between entries and agent.
    pub front: Relay,
    /// Relay between agent and stand-in.
    pub back: Relay,
}

/// The whole fleet; all its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-in platform.
    pub platform: Process,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Entries.
    pub entries: Vec<Node>,
    /// Model engines with agents.
    pub engines: Vec<Server>,
    /// Plain services with agents.
    pub services: Vec<Server>,
    /// HTTP client for the stand-ins and the operators' ports.
    pub client: reqwest::Client,
    /// Network between failure domains and to the platform; without domains if
    /// `FleetConfig::network` is off.
    pub network: Network,
    config: FleetConfig,
    cancel: CancellationToken,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Fleet {
    /// Starts the fleet and waits until all processes are ready.
    ///
    /// # Errors
    /// When a process does not start or is not ready in time.
    pub async fn start(config: FleetConfig) -> anyhow::Result<Self> {
        let addr = free_addr()?;
        let cancel = CancellationToken::new();
        let cut: &[FailureDomainId] = match config.network {
            true => &config.domains,
            false => &[],
        };
        let network = Network::start(cut, cancel.clone()).await?;
        let mut args = args(["platform", "--addr", &addr.to_string()]);
        for view in network.platforms() {
            args.extend(["--view".to_owned(), view.to_string()]);
        }
        let mut fleet = Self {
            platform: Process::start("platform", "jujube-lab", &args)?,
            platform_url: format!("http://{addr}"),
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            client: reqwest::Client::builder().no_proxy().build()?,
            network,
            config,
            cancel,
        };
        fleet.wait_success(&format!("http://{addr}/calls")).await?;
        fleet.publish_initial_config().await?;
        for number in 0..fleet.config.engines {
            let server = fleet.start_server(number, "engine").await?;
            fleet.engines.push(server);
        }
        for number in 0..fleet.config.services {
            let server = fleet.start_server(number, "service").await?;
            fleet.services.push(server);
        }
        for number in 0..fleet.config.entries {
            let entry = fleet.start_entry(number)?;
            fleet.entries.push(entry);
        }
        fleet.publish_instances().await?;
        for node in fleet.nodes() {
            fleet.wait_ready(node).await?;
        }
        Ok(fleet)
    }

    /// Returns the base URL of an entry.
    pub fn entry_url(&self, number: usize) -> String {
        format!("http://{}", self.entries[number].listed.traffic)
    }

    async fn publish_initial_config(&self) -> anyhow::Result<ConfigIndex> {
        match &self.config.directory {
            Some(files) => publish_directory(&self.client, &self.platform_url, files).await,
            None => self.publish(&self.config.publication).await,
        }
    }

    /// Publishes a configuration.
    ///
    /// # Errors
    /// When the platform refuses it.
    pub async fn publish(&self, publication: &Publication) -> anyhow::Result<ConfigIndex> {
        publish(&self.client, &self.platform_url, &publication.bundle()?).await
    }

    /// Publishes the live list of all nodes, including those marked as leaving.
    ///
    /// # Errors
    /// When the platform refuses it.
    pub async fn publish_instances(&mut self) -> anyhow::Result<()> {
        let instances = self.nodes().map(|node| node.listed.clone()).collect();
        self.publish_list(instances).await
    }

    /// Publishes a live list, with relay addresses for each failure domain.
    ///
    /// # Errors
    /// When the platform refuses it.
    pub async fn publish_list(&mut self, instances: Vec<Instance>) -> anyhow::Result<()> {
        for (addr, list) in self.network.lists(&instances).await? {
            self.put_instances(&format!("http://{addr}"), list).await?;
        }
        self.put_instances(&self.platform_url, instances).await
    }

    /// Returns the base URL of the platform for processes of a failure domain.
    pub fn platform_of(&self, domain: &str) -> String {
        let url = self.network.platform_url(domain);
        url.unwrap_or_else(|| self.platform_url.clone())
    }

    async fn put_instances(&self, platform: &str, instances: Vec<Instance>) -> anyhow::Result<()> {
        let list = InstanceList { instances };
        let url = format!("{platform}/v1/instances");
        let answer = self.client.put(url).json(&list).send().await?;
        ensure!(
            answer.status().is_success(),
            "put the live list: {}",
            answer.status()
        );
        Ok(())
    }

    /// Kills a node if it runs, and starts it with the same flags.
    ///
    /// # Errors
    /// When it does not start.
    pub fn restart(node: &mut Node) -> anyhow::Result<()> {
        node.process.kill();
        let name = node.listed.id.clone();
        node.process = Process::start(&name, node.program, &node.args)?;
        Ok(())
    }

    /// Waits until a process reports that it is ready.
    ///
    /// # Errors
    /// When it is not ready in time.
    pub async fn wait_ready(&self, node: &Node) -> anyhow::Result<()> {
        let url = format!("http://{}/readyz", node.operator);
        let ready = self.wait_success(&url).await;
        ready.with_context(|| format!("{}:\n{}", node.listed.id, node.process.log()))
    }

    /// Returns all entries, then the agents of engines and services.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        let servers = self.engines.iter().chain(&self.services);
        self.entries
            .iter()
            .chain(servers.map(|server| &server.agent))
    }

    /// Reads the execution counts of a stand-in.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn executions(&self, server: &Server) -> anyhow::Result<Executions> {
        let answer = self
            .client
            .get(format!("{}/executions", server.url))
            .send()
            .await?;
        Ok(answer.json().await?)
    }

    /// Injects faults into the next requests of a stand-in, one per request.
    ///
    /// # Errors
    /// When it refuses them or does not answer.
    pub async fn inject_faults(&self, server: &Server, next: &[Fault]) -> anyhow::Result<()> {
        let request = ControlRequest {
            next: next.to_vec(),
            ..ControlRequest::default()
        };
        self.control(server, &request).await
    }

    /// Sends a control request to a stand-in.
    ///
    /// # Errors
    /// When it refuses the request or does not answer.
    pub async fn control(&self, server: &Server, request: &ControlRequest) -> anyhow::Result<()> {
        let url = format!("{}/control", server.url);
        let answer = self.client.post(url).json(request).send().await?;
        ensure!(answer.status().is_success(), "control: {}", answer.status());
        Ok(())
    }

    async fn wait_success(&self, url: &str) -> anyhow::Result<()> {
        wait_until(url, READY_TIMEOUT, || async {
            let answer = self.client.get(url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await
    }

    async fn start_server(&self, number: usize, kind: &str) -> anyhow::Result<Server> {
        let config = &self.config;
        let (flags, service) = match kind {
            "engine" => (&config.engine_flags, MODEL_SERVICE),
            _ => (&config.service_flags, PLAIN_SERVICE),
        };
        let addr = free_addr()?;
        let mut backend_args = args([kind, "--addr", &addr.to_string()]);
        backend_args.extend(flags.iter().cloned());
        let name = format!("{service}-{number}");
        let backend = Process::start(&format!("{name}-backend"), "jujube-lab", &backend_args)?;
        self.wait_success(&format!("http://{addr}/health")).await?;
        let back = Relay::start(free_addr()?, addr, self.cancel.clone()).await?;
        let traffic = free_addr()?;
        let front = Relay::start(free_addr()?, traffic, self.cancel.clone()).await?;
        let backend_addr = if config.relays { back.addr() } else { addr };
        let mut agent = self.start_agent(name, number, service, traffic, backend_addr)?;
        if config.relays {
            agent.listed.traffic = front.addr();
        }
        Ok(Server {
            backend,
            url: format!("http://{addr}"),
            agent,
            front,
            back,
        })
    }

    fn start_agent(
        &self,
        name: String,
        number: usize,
        service: &str,
        traffic: SocketAddr,
        backend: SocketAddr,
    ) -> anyhow::Result<Node> {
        let kind = if service == MODEL_SERVICE {
            "model"
        } else {
            "plain"
        };
        let listed = self.listed(name, Role::Agent, number, service, traffic)?;
        let mut flags = args([
            "--service",
            service,
            "--kind",
            kind,
            "--backend",
            &format!("http://{backend}"),
            "--cold-floor",
            &self.config.cold_floor.to_string(),
            "--concurrency",
            &self.config.concurrency.to_string(),
        ]);
        flags.extend(self.config.agent_flags.iter().cloned());
        self.start_node(listed, "jujube-agent", Vec::new(), flags)
    }

    fn start_entry(&self, number: usize) -> anyhow::Result<Node> {
        let name = format!("entry-{number}");
        let listed = self.listed(name, Role::Entry, number, "", free_addr()?)?;
        let flags = self.config.entry_flags.clone();
        self.start_node(listed, "jujubejunction", args(["serve"]), flags)
    }

    fn listed(
        &self,
        id: String,
        role: Role,
        number: usize,
        service: &str,
        traffic: SocketAddr,
    ) -> anyhow::Result<Instance> {
        Ok(Instance {
            id,
            role,
            domain: self.config.domains[number % self.config.domains.len()].clone(),
            service: service.to_owned(),
            traffic,
            control: free_addr()?,
            leaving: false,
            rank: None,
        })
    }

    fn start_node(
        &self,
        listed: Instance,
        program: &'static str,
        command: Vec<String>,
        flags: Vec<String>,
    ) -> anyhow::Result<Node> {
        let operator = free_addr()?;
        let platform = self.platform_of(&listed.domain);
        let mut all = command;
        all.extend(args([
            "--instance",
            &listed.id,
            "--domain",
            &listed.domain,
            "--platform",
            &platform,
            "--traffic-addr",
            &listed.traffic.to_string(),
            "--control-addr",
            &listed.control.to_string(),
            "--operator-addr",
            &operator.to_string(),
        ]));
        all.extend(flags);
        Ok(Node {
            process: Process::start(&listed.id, program, &all)?,
            listed,
            operator,
            program,
            args: all,
        })
    }
}

/// Returns command-line arguments as owned strings.
pub fn args<const N: usize>(parts: [&str; N]) -> Vec<String> {
    parts.map(str::to_owned).to_vec()
}
