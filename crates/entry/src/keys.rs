//! Idempotency keys: issues them, and finds the home agent of a request that carries one.
//!
//! A key names the only agent, and the only incarnation of it, that may run the request. Entries
//! therefore need no agreement: a request goes to its home agent or to none.

use std::sync::Arc;

use jj_caller::{answer::Answer, problem::Refusal, request::CallerRequest};
use jj_operator::published::Published;
use jj_policy::{
    keys::{AgentIncarnation, IssuedKey, KeyError, KeyHome, OnceKey, key_home},
    verdict::Verdict,
};
use poem::http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::{
    addresses, choose,
    context::Context,
    routes::{self, Routed},
    view::{Agent, View},
};

/// Path that issues keys.
pub const KEYS_PATH: &str = "/v1/keys";

/// Body of a key request: the method and path that the key is for.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyRequest {
    method: String,
    path: String,
}

/// Issues a key for a request that the caller is about to make.
///
/// # Errors
/// If the body is malformed, no service declares the request, or no agent takes new work.
pub fn issue(
    context: &Context,
    published: &Published,
    request: &CallerRequest,
) -> Result<Answer, Refusal> {
    let wanted: KeyRequest = serde_json::from_slice(&request.body).map_err(|error| {
        let detail = format!("the body must be {{\"method\": ..., \"path\": ...}}: {error}");
        Refusal::invalid(StatusCode::BAD_REQUEST, detail)
    })?;
    let intended = CallerRequest {
        method: wanted.method,
        path: wanted.path,
        ..request.clone()
    };
    let routed = routes::resolve(published, &intended)?;
    addresses::check_covered(context, &context.view.load(), &routed, &intended)?;
    let deadline = context.clock.now() + routed.timeout;
    let chosen = choose::choose_agent(context, &routed, deadline, &[])?;
    let home = incarnation_of(&chosen);
    let key = IssuedKey::issue(home, &mut context.new_generator());
    Ok(Answer::json(
        &json!({ "key": key.to_string(), "service": routed.service }),
    ))
}

/// Returns the home agent of a once-only request; `None` if it has no key or is idempotent.
///
/// # Errors
/// `NotRun` if the key was not issued by an entry; `MayHaveRun` if the home agent's incarnation is
/// gone.
pub fn home_agent(
    view: &View,
    routed: &Routed,
    request: &CallerRequest,
) -> Result<Option<Arc<Agent>>, Refusal> {
    let Some(text) = request.key.as_ref().filter(|_| !routed.idempotent) else {
        return Ok(None);
    };
    let key = match text.parse::<OnceKey>() {
        Ok(OnceKey::Issued(key)) => key,
        Ok(OnceKey::CallerMade(_)) => return Err(unknown_key("the key was not issued here")),
        Err(error) => return Err(malformed_key(&error)),
    };
    let incarnations: Vec<AgentIncarnation> = view
        .agents_of(&routed.service)
        .map(|agent| incarnation_of(agent))
        .collect();
    let KeyHome::At(home) = key_home(&key, &incarnations) else {
        let detail = "the agent that knows the outcome of the key is gone";
        return Err(Refusal::given_up(Verdict::MayHaveRun, detail));
    };
    let agent = view.agent(&home.agent).map(|agent| Agent {
        incarnation: home.incarnation,
        ..Agent::clone(agent)
    });
    Ok(agent.map(Arc::new))
}

fn incarnation_of(agent: &Agent) -> AgentIncarnation {
    AgentIncarnation {
        agent: agent.id.clone(),
        incarnation: agent.incarnation,
    }
}

fn malformed_key(error: &KeyError) -> Refusal {
    unknown_key(&error.to_string())
}

fn unknown_key(reason: &str) -> Refusal {
    let detail = format!("{reason}; POST {KEYS_PATH} with method and path issues one");
    Refusal::invalid(StatusCode::UNPROCESSABLE_ENTITY, detail)
}
