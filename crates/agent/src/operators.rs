//! Readiness and status of an agent, for the operator port.

use std::sync::Arc;

use jj_operator::port::{Readiness, Status};
use jj_platform::config_reader::ConfigView;
use jj_utils::clock::SharedClock;
use serde_json::json;
use tokio::sync::watch;

use crate::{lifecycle::Lifecycle, permit::Control, settings::Settings};

/// Sources of the readiness and status of the agent.
#[derive(Clone)]
pub struct OperatorView {
    /// Settings of the process.
    pub settings: Settings,
    /// Provides the load.
    pub control: Control,
    /// Decides whether new work is accepted.
    pub lifecycle: Arc<Lifecycle>,
    /// The configuration.
    pub config: watch::Receiver<ConfigView>,
    /// Time.
    pub clock: SharedClock,
}

impl OperatorView {
    /// Returns a check of whether the agent accepts new work, with the reason if it doesn't.
    pub fn readiness(&self) -> Readiness {
        let view = self.clone();
        Arc::new(move || {
            if view.config.borrow().published.is_none() {
                return Err("no configuration yet".to_owned());
            }
            let refusal = view.lifecycle.refusal_reason(view.clock.now());
            refusal.map_or(Ok(()), |reason| Err(reason.to_owned()))
        })
    }

    /// Returns a function that builds the JSON document of the agent's state.
    pub fn status(&self) -> Status {
        let view = self.clone();
        Arc::new(move || {
            let config = view.config.borrow().clone();
            let load = view.control.load();
            json!({
                "role": "agent",
                "instance": view.settings.node.instance,
                "service": view.settings.service,
                "kind": format!("{:?}", view.settings.kind),
                "takes_work": view.lifecycle.refusal_reason(view.clock.now()).is_none(),
                "refusal": view.lifecycle.refusal_reason(view.clock.now()),
                "config_index": config.index(),
                "config_refused": config.refused.map(|refusal| refusal.to_string()),
                "load": *load,
            })
        })
    }
}
