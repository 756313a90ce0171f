//! Chooses the agent for one attempt from the published view of the fleet.

use std::{sync::Arc, time::Duration};

use jj_caller::problem::Refusal;
use jj_policy::{
    rendezvous::key_hash,
    routing::{self, Candidate, PrefixHash, RequestFacts},
    verdict::Verdict,
};
use jj_utils::{clock::Timestamp, ids::InstanceId};

use crate::{
    context::Context,
    routes::Routed,
    view::{Agent, View},
};

/// Prefill time assumed to be saved by a cached prompt prefix.
const CACHED_PREFIX_SAVING: Duration = Duration::from_millis(200);

/// Chooses an agent that takes new work; `tried` lists the agents of earlier attempts.
///
/// # Errors
/// A refusal with the verdict `NotRun` if this process or every agent takes no new work.
pub fn choose_agent(
    context: &Context,
    routed: &Routed,
    deadline: Timestamp,
    tried: &[InstanceId],
) -> Result<Arc<Agent>, Refusal> {
    let now = context.clock.now();
    let view = context.view.load();
    if !view.permit.is_some_and(|permit| permit.is_valid(now)) {
        let detail = "this entry takes no new work: use another address";
        return Err(not_run(context.retry.default_retry_after, detail));
    }
    let agents: Vec<&Arc<Agent>> = view.agents_of(&routed.service).collect();
    let candidates = agents
        .iter()
        .map(|agent| candidate(context, agent, routed.prefix, now));
    let candidates: Vec<Candidate<'_>> = candidates.collect();
    let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
    let facts = RequestFacts {
        prefix: routed.prefix,
        account_hash: key_hash(&routed.account),
        account_share: account_share(routed, &view),
        account_in_flight_share: context
            .usage
            .account_share(&routed.service, &routed.account),
        prefill_time: CACHED_PREFIX_SAVING,
        deadline,
        tried_servers: &tried,
    };
    match routing::choose_backend(
        &context.routing,
        &candidates,
        &facts,
        now,
        context.random_pair(),
    ) {
        Ok(choice) => Ok(Arc::clone(agents[choice.index])),
        Err(error) => Err(not_run(error.retry_after, &error.to_string())),
    }
}

fn candidate<'a>(
    context: &Context,
    agent: &'a Agent,
    prefix: Option<PrefixHash>,
    now: Timestamp,
) -> Candidate<'a> {
    let hit_probability = |prefix| context.prefixes.hit_probability(&agent.id, prefix, now);
    Candidate {
        id: &agent.id,
        domain: &agent.domain,
        state: agent.effective_state(),
        one_way_delay: agent.one_way_delay,
        report: agent.local.newest_report(agent.report),
        local_requests_since_report: agent.local.since_report(),
        prefix_hit_probability: prefix.map_or(0.0, hit_probability),
        closed_until: agent.local.closed_until(),
    }
}

fn account_share(routed: &Routed, view: &View) -> f64 {
    f64::from(routed.weight) / view.total_weight.max(1) as f64
}

fn not_run(retry_after: Duration, detail: &str) -> Refusal {
    Refusal::given_up(Verdict::NotRun { retry_after }, detail)
}
