//! Follows the platform's list of instances, which lags and may be stale.

use std::{sync::Arc, time::Duration};

use jj_policy::call_budget::CallCause;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    blocking_query::{Indexed, ReadError, WatchWait, read_json},
    budget::SharedBudget,
    wire::InstanceList,
};

/// Bytes of one instance in the list's JSON, roughly.
const APPROX_INSTANCE_BYTES: f64 = 200.0;

/// How the list is followed.
#[derive(Debug, Clone)]
pub struct LiveListConfig {
    /// Base URL of the platform, without a slash at its end.
    pub base_url: String,
    /// Wait of a watch of a small list.
    pub min_wait: Duration,
    /// Longest wait of a watch.
    pub max_wait: Duration,
    /// Bytes a second that watches without news may cost; a longer list is watched with longer
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

/// The list as last read.
#[derive(Debug, Clone, Default)]
pub struct LiveList {
    /// Index of the list; 0 before the first answer.
    pub index: u64,
    /// Its instances.
    pub list: Arc<InstanceList>,
}

/// What the reader works with.
#[derive(Clone)]
pub struct LiveListContext {
    /// Its settings.
    pub config: LiveListConfig,
    /// HTTP client for the platform.
    pub client: reqwest::Client,
    /// Calls left to this process; learns the size of the fleet from the list.
    pub budget: SharedBudget,
    /// Ends the reader.
    pub token: CancellationToken,
}

/// Follows the list until the token is cancelled; the last list stays when the platform is down.
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
                log::debug!(target: "jujube", "the live list is not read: {error}");
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

/// An answer without news repeats the whole list, so the wait grows with it.
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
