//! Reads which configuration each process has in force from its operators' port.

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

/// Maximum wait for an index to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls of all processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls the index of all processes and records every decrease.
#[derive(Debug)]
pub struct IndexWatch {
    token: CancellationToken,
    task: JoinHandle<IndexWatchReport>,
}

/// Result of an [`IndexWatch`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IndexWatchReport {
    /// Number of indexes read.
    pub looks: u64,
    /// Decreases of an index.
    pub falls: Vec<IndexDecrease>,
}

/// Decrease of the index of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IndexDecrease {
    /// Instance of the process.
    pub instance: InstanceId,
    /// Index that was in force before.
    pub from: ConfigIndex,
    /// Index in force afterwards.
    pub to: ConfigIndex,
}

impl IndexWatch {
    /// Starts to poll the fleet's processes.
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

    /// Stops polling and returns the result.
    ///
    /// # Errors
    /// When the polling task failed.
    pub async fn stop(self) -> anyhow::Result<IndexWatchReport> {
        self.token.cancel();
        Ok(self.task.await?)
    }
}

async fn watch(
    client: reqwest::Client,
    ports: Vec<(InstanceId, SocketAddr)>,
    token: CancellationToken,
) -> IndexWatchReport {
    let mut seen = IndexWatchReport::default();
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
                seen.falls.push(IndexDecrease { instance, from, to });
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    seen
}

/// Returns the index that a process has in force; `None` if it does not answer.
pub async fn index(fleet: &Fleet, node: &Node) -> Option<ConfigIndex> {
    read(&fleet.client, node.operator).await
}

/// Waits until all these processes have the index `wanted` in force; returns the time at which the
/// wait ended, in milliseconds since the Unix epoch.
///
/// # Errors
/// When a process still has another index after `IN_FORCE_TIMEOUT`.
pub async fn wait_in_force(
    fleet: &Fleet,
    nodes: &[&Node],
    wanted: ConfigIndex,
) -> anyhow::Result<u64> {
    for node in nodes {
        let what = format!("index {wanted} in force at {}", node.listed.id);
        wait_until(&what, IN_FORCE_TIMEOUT, || async {
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
