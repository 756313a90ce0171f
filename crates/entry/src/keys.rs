//! Idempotency keys at an entry: hands them out, and finds the only agent that may run one.

use jj_caller::{answer::Answer, problem::Refusal, request::CallerRequest};
use jj_policy::{
    keys::{AgentLife, IssuedKey, KeyHome, OnceKey, key_home},
    verdict::Verdict,
};
use poem::http::StatusCode;
use serde_json::json;

use crate::{
    context::Context,
    routes::Routed,
    view::{Agent, View},
};

/// Path at which callers take keys.
pub const KEYS_PATH: &str = "/v1/idempotency-keys";

/// Keys in one answer, when the caller does not say.
const DEFAULT_COUNT: usize = 1;

/// Most keys in one answer.
const MAX_COUNT: usize = 100;

/// Hands out fresh keys: `GET /v1/idempotency-keys?service=desk&count=10`.
///
/// # Errors
/// When the query is wrong, or no agent of the service can take work.
pub fn issue(context: &Context, request: &CallerRequest) -> Result<Answer, Refusal> {
    let query = request.query.as_deref().unwrap_or_default();
    let service = parameter(query, "service").ok_or_else(|| {
        invalid("the query must name the service: ?service=<name>&count=<number>")
    })?;
    let count = read_count(query)?;
    let view = context.view.load();
    let homes: Vec<AgentLife> = view
        .agents_of(service)
        .filter(|it| is_home(it))
        .map(life)
        .collect();
    if homes.is_empty() {
        let retry_after = context.retry.retry_after;
        let detail = format!("no agent of service `{service}` takes new work");
        return Err(Refusal::given_up(Verdict::NotRun { retry_after }, detail));
    }
    let keys = (0..count).map(|_| context.issue_key(&homes).to_string());
    Ok(Answer::json(&json!({"keys": keys.collect::<Vec<_>>()})))
}

/// The home of a request that may not be repeated; `None` when it has no key, or may be repeated.
///
/// # Errors
/// When the key was not issued by the system.
pub fn home_of(request: &CallerRequest, routed: &Routed) -> Result<Option<IssuedKey>, Refusal> {
    let Some(text) = request.key.as_ref().filter(|_| !routed.idempotent) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(OnceKey::Issued(key)) => Ok(Some(key)),
        Ok(OnceKey::CallerMade(_)) => {
            let service = &routed.service;
            Err(invalid(format!(
                "idempotency keys are issued by the system: take one from \
                 GET {KEYS_PATH}?service={service}"
            )))
        }
        Err(error) => Err(invalid(error.to_string())),
    }
}

/// The agent at which a key may run.
///
/// # Errors
/// "May have run" when the key's home is gone.
pub fn agent_of(view: &View, key: &IssuedKey) -> Result<Agent, Refusal> {
    let lives: Vec<AgentLife> = view.agents.iter().map(life).collect();
    let gone = || {
        let detail = "the agent that could tell what came of the idempotency key is gone; \
                      take a new key for work that was never sent";
        Refusal::given_up(Verdict::MayHaveRun, detail)
    };
    match key_home(key, &lives) {
        KeyHome::At(home) => {
            let mut agent = view.agent(&home.agent).cloned().ok_or_else(gone)?;
            agent.incarnation = home.incarnation;
            Ok(agent)
        }
        KeyHome::Gone => Err(gone()),
    }
}

fn is_home(agent: &Agent) -> bool {
    agent.incarnation > 0 && agent.state.may_take_work()
}

fn life(agent: &Agent) -> AgentLife {
    AgentLife {
        agent: agent.id.clone(),
        incarnation: agent.incarnation,
    }
}

fn read_count(query: &str) -> Result<usize, Refusal> {
    let Some(text) = parameter(query, "count") else {
        return Ok(DEFAULT_COUNT);
    };
    let count = text
        .parse()
        .ok()
        .filter(|count| (1..=MAX_COUNT).contains(count));
    count.ok_or_else(|| invalid(format!("count must be a number from 1 to {MAX_COUNT}")))
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| value)
}

fn invalid(detail: impl Into<String>) -> Refusal {
    Refusal::invalid(StatusCode::BAD_REQUEST, detail)
}
