//! Follows the platform's live list of instances, which lags and may be stale.

use std::{sync::Arc, time::Duration};

use jj_policy::call_budget::CallCause;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    blocking_query::{Indexed, ReadError, WatchWait, read_json},
    budget::SharedBudget,
    wire::InstanceList,
};

/// Approximate size of one instance in the list's JSON, in bytes.
const APPROX_INSTANCE_BYTES: f64 = 200.0;

/// Settings of the live list reader.
#[derive(Debug, Clone)]
pub struct LiveListConfig {
    /// Base URL of the platform, without a slash at its end.
    pub base_url: String,
    /// Shortest wait of a watch, used for a small list.
    pub min_wait: Duration,
    /// Longest wait of a watch.
    pub max_wait: Duration,
    /// Bytes per second allowed for watches without a change; a longer list is watched with longer
    /// waits.
    pub byte_rate: f64,
}

impl Default for LiveListConfig {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:8500".to_owned(),
            min_wait: Duration::from_secs(10),
            max_wait: Duration::from_secs(300),
            byte_rate: 512.0,
        }
    }
}

/// The live list as last read.
#[derive(Debug, Clone, Default)]
pub struct LiveList {
    /// Index of the list; 0 before the first response.
    pub index: u64,
    /// Listed instances.
    pub list: Arc<InstanceList>,
}

/// Inputs of the live list reader.
#[derive(Clone)]
pub struct LiveListContext {
    /// Settings.
    pub config: LiveListConfig,
    /// HTTP client for the platform.
    pub client: reqwest::Client,
    /// Call budget of this process; updated with the fleet size from the list.
    pub budget: SharedBudget,
    /// Stops the reader.
    pub token: CancellationToken,
}

/// Follows the list until the token is cancelled; keeps the last list while the platform is down.
pub async fn run(context: LiveListContext, list: watch::Sender<LiveList>) {
    tokio::select! {
        () = follow(&context, &list) => {}
        () = context.token.cancelled() => {}
    }
}

async fn follow(context: &LiveListContext, list: &watch::Sender<LiveList>) {
    let mut cause = CallCause::WatchWoken;
    let mut failures = 0;
    loop {
        context.budget.wait_for_list_turn(cause).await;
        let (seen, instances) = {
            let list = list.borrow();
            (list.index, list.list.instances.len())
        };
        match read(context, seen, instances).await {
            Ok(found) => {
                failures = 0;
                cause = match found.index == seen {
                    true => CallCause::Regular,
                    false => CallCause::WatchWoken,
                };
                install(context, list, found);
            }
            Err(error) => {
                failures += 1;
                log::debug!(target: "jujube", "read of the live list failed: {error}");
                cause = CallCause::Failed { failures };
            }
        }
    }
}

async fn read(
    context: &LiveListContext,
    seen: u64,
    instances: usize,
) -> Result<Indexed<InstanceList>, ReadError> {
    metrics::counter!("jujube_live_list_calls_total").increment(1);
    let url = format!("{}/v1/instances", context.config.base_url);
    let wait = WatchWait {
        seen,
        max_wait: watch_wait(&context.config, instances),
    };
    read_json(&context.client, &url, (seen > 0).then_some(wait)).await
}

/// Returns the wait of a watch. A response without changes repeats the whole list, so the wait
/// grows with its size.
fn watch_wait(config: &LiveListConfig, instances: usize) -> Duration {
    let bytes = instances as f64 * APPROX_INSTANCE_BYTES;
    let paced = Duration::try_from_secs_f64(bytes / config.byte_rate);
    let paced = paced.unwrap_or(config.max_wait);
    paced.clamp(config.min_wait, config.max_wait)
}

fn install(
    context: &LiveListContext,
    list: &watch::Sender<LiveList>,
    found: Indexed<InstanceList>,
) {
    let fleet = u32::try_from(found.value.instances.len()).unwrap_or(u32::MAX);
    if fleet > 0 {
        context.budget.set_fleet_size(fleet);
    }
    list.send_if_modified(|list| {
        if list.index == found.index && *list.list == found.value {
            return false;
        }
        list.index = found.index;
        list.list = Arc::new(found.value);
        true
    });
}
