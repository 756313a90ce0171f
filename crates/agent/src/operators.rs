//! What operators see of an agent.

use std::sync::Arc;

use jj_operator::port::{Readiness, Status};
use jj_platform::config_reader::ConfigView;
use jj_utils::clock::SharedClock;
use serde_json::json;
use tokio::sync::watch;

use crate::{lifecycle::Lifecycle, permit::Control, settings::Settings};

/// Sources of the operators' view.
#[derive(Clone)]
pub struct Seen {
    /// The process's settings.
    pub settings: Settings,
    /// For the load.
    pub control: Control,
    /// Whether new work is taken.
    pub lifecycle: Arc<Lifecycle>,
    /// The configuration.
    pub config: watch::Receiver<ConfigView>,
    /// Time.
    pub clock: SharedClock,
}

impl Seen {
    /// Whether the agent takes new work, and why not.
    pub fn readiness(&self) -> Readiness {
        let seen = self.clone();
        Arc::new(move || {
            if seen.config.borrow().published.is_none() {
                return Err("no configuration yet".to_owned());
            }
            let refusal = seen.lifecycle.refusal(seen.clock.now());
            refusal.map_or(Ok(()), |reason| Err(reason.to_owned()))
        })
    }

    /// What the agent believes.
    pub fn status(&self) -> Status {
        let seen = self.clone();
        Arc::new(move || {
            let config = seen.config.borrow().clone();
            let load = seen.control.load();
            json!({
                "role": "agent",
                "instance": seen.settings.node.instance,
                "service": seen.settings.service,
                "kind": format!("{:?}", seen.settings.kind),
                "takes_work": seen.lifecycle.refusal(seen.clock.now()).is_none(),
                "refusal": seen.lifecycle.refusal(seen.clock.now()),
                "config_index": config.index(),
                "config_refused": config.refused.map(|refusal| refusal.to_string()),
                "load": *load,
            })
        })
    }
}
