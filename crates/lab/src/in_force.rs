//! Which configuration each process has in force, as its operators' port shows it.

use std::{net::SocketAddr, time::Duration};

use jj_utils::{
    clock::unix_millis,
    collections::FastMap,
    ids::{ConfigIndex, InstanceId},
};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::{Fleet, Node},
    process::wait_until,
};

/// Longest wait for an index to be in force.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two rounds of looks at all processes.
const PAUSE: Duration = Duration::from_millis(20);

/// Looks at all processes over and over, and keeps every fall of an index.
#[derive(Debug)]
pub struct IndexWatch {
    token: CancellationToken,
    task: JoinHandle<Seen>,
}

/// What an [`IndexWatch`] saw.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Seen {
    /// Answers read.
    pub looks: u64,
    /// Falls of an index.
    pub falls: Vec<Fall>,
}

/// An index that fell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fall {
    /// Where.
    pub instance: InstanceId,
    /// Index that was in force before.
    pub from: ConfigIndex,
    /// Index in force after it.
    pub to: ConfigIndex,
}

impl IndexWatch {
    /// Starts to look at the fleet's processes.
    pub fn start(fleet: &Fleet) -> Self {
        let ports = fleet.nodes();
        let ports = ports.map(|node| (node.listed.id.clone(), node.operator));
        let token = CancellationToken::new();
        let watched = watch(fleet.client.clone(), ports.collect(), token.clone());
        Self {
            token,
            task: tokio::spawn(watched),
        }
    }

    /// Ends the looks.
    ///
    /// # Errors
    /// When the looking task failed.
    pub async fn stop(self) -> anyhow::Result<Seen> {
        self.token.cancel();
        Ok(self.task.await?)
    }
}

async fn watch(
    client: reqwest::Client,
    ports: Vec<(InstanceId, SocketAddr)>,
    token: CancellationToken,
) -> Seen {
    let mut seen = Seen::default();
    let mut last: FastMap<&InstanceId, ConfigIndex> = FastMap::default();
    while !token.is_cancelled() {
        for (instance, port) in &ports {
            // A process that does not answer, or has no configuration yet, is being replaced.
            let to = read(&client, *port).await;
            let Some(to) = to.filter(|index| *index > 0) else {
                continue;
            };
            seen.looks += 1;
            let from = last.insert(instance, to).unwrap_or(0);
            if to < from {
                let instance = instance.clone();
                seen.falls.push(Fall { instance, from, to });
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    seen
}

/// Index that a process has in force; none when it does not answer.
pub async fn index(fleet: &Fleet, node: &Node) -> Option<ConfigIndex> {
    read(&fleet.client, node.operator).await
}

/// Waits until these processes have an index in force; returns when the last one had it, in
/// milliseconds since the Unix epoch.
///
/// # Errors
/// When one has another index in force for too long.
pub async fn wait_in_force(
    fleet: &Fleet,
    nodes: &[&Node],
    wanted: ConfigIndex,
) -> anyhow::Result<u64> {
    for node in nodes {
        let what = format!("index {wanted} in force at {}", node.listed.id);
        wait_until(&what, LIMIT, || async {
            index(fleet, node).await == Some(wanted)
        })
        .await?;
    }
    Ok(unix_millis())
}

async fn read(client: &reqwest::Client, port: SocketAddr) -> Option<ConfigIndex> {
    let answer = client.get(format!("http://{port}/status")).send().await;
    let status: serde_json::Value = answer.ok()?.json().await.ok()?;
    status["config_index"].as_u64()
}
