//! Picks the agent for the next attempt of a request.

use std::time::Duration;

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

/// Time that a cached prompt prefix is taken to save.
const PREFILL: Duration = Duration::from_millis(200);

/// Hash of the request's shared prompt prefix, if it has one.
pub fn prefix_hash(routed: &Routed) -> Option<PrefixHash> {
    routed.prefix.as_deref().map(key_hash)
}

/// Picks an agent that was not tried yet, for an answer that is due at `due`.
///
/// # Errors
/// A "not run" refusal when this process or every agent takes no new work.
pub fn pick(
    context: &Context,
    routed: &Routed,
    tried: &[InstanceId],
    due: Timestamp,
) -> Result<Agent, Refusal> {
    let now = context.clock.now();
    let view = context.view.load();
    if !view.permit.is_some_and(|permit| permit.holds(now)) {
        let retry_after = context.retry.retry_after;
        let detail = "this entry takes no new work: use another address";
        return Err(Refusal::given_up(Verdict::NotRun { retry_after }, detail));
    }
    choose(context, &view, routed, tried, due)
}

fn choose(
    context: &Context,
    view: &View,
    routed: &Routed,
    tried: &[InstanceId],
    due: Timestamp,
) -> Result<Agent, Refusal> {
    let now = context.clock.now();
    let agents: Vec<&Agent> = view.agents_of(&routed.service).collect();
    let prefix = prefix_hash(routed);
    let hits = prefix_hits(context, &agents, prefix, now);
    let pairs = agents.iter().zip(hits);
    let candidates: Vec<Candidate<'_>> = pairs.map(|(a, hit)| candidate(a, hit)).collect();
    let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
    let facts = RequestFacts {
        prefix,
        account: key_hash(&routed.account),
        share: routed.share,
        used: context.usage.part(&routed.service, &routed.account),
        prefill: PREFILL,
        deadline: due,
        tried: &tried,
    };
    match routing::choose(&context.routing, &candidates, &facts, now, context.draws()) {
        Ok(choice) => Ok(agents[choice.index].clone()),
        Err(none) => {
            let retry_after = none.retry_after;
            let verdict = Verdict::NotRun { retry_after };
            Err(Refusal::given_up(verdict, none.to_string()))
        }
    }
}

/// Probability for each agent that its backend server holds the prefix.
fn prefix_hits(
    context: &Context,
    agents: &[&Agent],
    prefix: Option<PrefixHash>,
    now: Timestamp,
) -> Vec<f64> {
    let Some(prefix) = prefix else {
        return vec![0.0; agents.len()];
    };
    let index = context.lock_prefixes();
    let hit = |agent: &&Agent| index.hit(&agent.id, prefix, now);
    agents.iter().map(hit).collect()
}

fn candidate(agent: &Agent, prefix_hit: f64) -> Candidate<'_> {
    Candidate {
        id: &agent.id,
        domain: &agent.domain,
        state: agent.state,
        distance: agent.distance,
        report: agent.local.newest_report(agent.report),
        own_since: agent.local.since_report(),
        prefix_hit,
        not_before: agent.local.not_before(),
    }
}
