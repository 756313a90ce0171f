//! Resolves the service, route and client account of a request from the configuration.

use std::time::Duration;

use jj_caller::{problem::Refusal, request::CallerRequest};
use jj_operator::{
    documents::{Account, Route, ServiceDocument, ServiceKind},
    published::{Published, digest_of},
};
use jj_policy::{prefix::prefix_hash, routing::PrefixHash, tokens};
use jj_utils::ids::{ClientAccountId, ServiceId};
use poem::http::StatusCode;
use serde::Deserialize;

/// Paths of model services; the model named in the body selects the service.
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Timeout of a model request whose route declares none.
const DEFAULT_MODEL_TIMEOUT: Duration = Duration::from_secs(120);

/// Properties of a request that follow from its body and the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Routed {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Client account to which it is attributed.
    pub account: ClientAccountId,
    /// Weight of the account in fair sharing.
    pub weight: u32,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether the answer is a stream of tokens.
    pub stream: bool,
    /// Longest time from arrival to the whole answer.
    pub timeout: Duration,
    /// Hash of the prompt's prefix; `None` for a plain service.
    pub prefix: Option<PrefixHash>,
    /// Scheduling priority in the engine.
    pub priority: i32,
    /// Upper estimate of its tokens in the engine's memory; 0 for a plain service.
    pub tokens: u32,
}

/// Fields of a model request's body that affect routing.
#[derive(Debug, Deserialize)]
struct ModelBody {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

impl ModelBody {
    fn prompt_bytes(&self) -> usize {
        let messages = self.messages.iter().map(|m| match &m.content {
            serde_json::Value::String(text) => text.len(),
            other => other.to_string().len(),
        });
        messages.sum::<usize>() + self.prompt.as_ref().map_or(0, String::len)
    }
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
}

impl ModelBody {
    /// Returns the prompt text from which the prefix hash is computed.
    fn prompt_text(&self) -> String {
        let text = |message: &Message| match message.content.as_str() {
            Some(text) => text.to_owned(),
            None => message.content.to_string(),
        };
        let contents: Vec<String> = self.messages.iter().map(text).collect();
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => contents.join("\n"),
        }
    }
}

/// Resolves a request's service, account, timeout and routing properties.
///
/// # Errors
/// A refusal if the account, model or route is unknown, the body is malformed or the deadline has
/// passed.
pub fn resolve(published: &Published, request: &CallerRequest) -> Result<Routed, Refusal> {
    let (account, settings) = find_account(published, request)?;
    let mut routed = if MODEL_PATHS.contains(&request.path.as_str()) {
        resolve_model(published, request)?
    } else {
        resolve_plain(published, request)?
    };
    routed.account = account.clone();
    routed.weight = settings.weight;
    routed.timeout = request
        .timeout
        .map_or(routed.timeout, |timeout| timeout.min(routed.timeout));
    if routed.timeout.is_zero() {
        let detail = "the request's deadline has passed";
        return Err(Refusal::invalid(StatusCode::GATEWAY_TIMEOUT, detail));
    }
    Ok(routed)
}

fn find_account<'a>(
    published: &'a Published,
    request: &CallerRequest,
) -> Result<(&'a ClientAccountId, &'a Account), Refusal> {
    let accounts = &published.fleet.accounts;
    if let Some(token) = &request.token {
        let digest = digest_of(token.as_bytes());
        let found = accounts
            .iter()
            .find(|(_, account)| account.keys.contains(&digest));
        return found.ok_or_else(|| unauthorized("the API key is not known"));
    }
    let Some(name) = &request.account else {
        return Err(unauthorized(
            "an API key or the header x-client-account is required",
        ));
    };
    let found = accounts.get_key_value(name);
    let (name, account) =
        found.ok_or_else(|| unauthorized(format!("client account `{name}` is not known")))?;
    if !account.keys.is_empty() {
        return Err(unauthorized(format!(
            "client account `{name}` requires its API key"
        )));
    }
    Ok((name, account))
}

fn resolve_model(published: &Published, request: &CallerRequest) -> Result<Routed, Refusal> {
    let body: ModelBody = serde_json::from_slice(&request.body).map_err(|error| {
        Refusal::invalid(
            StatusCode::BAD_REQUEST,
            format!("the body is not a request: {error}"),
        )
    })?;
    let serves = |document: &&ServiceDocument| document.models.contains(&body.model);
    let Some(document) = published.services.values().find(serves) else {
        return Err(not_found(format!(
            "model `{}` is not served here",
            body.model
        )));
    };
    let route = document.routes.iter().find(|route| matches(route, request));
    let tokens = tokens::estimate(body.prompt_bytes(), body.max_tokens);
    Ok(Routed {
        service: document.service.clone(),
        account: ClientAccountId::new(),
        weight: 1,
        idempotent: route.is_none_or(|route| route.idempotent),
        stream: body.stream,
        timeout: route.map_or(DEFAULT_MODEL_TIMEOUT, |route| route.timeout),
        prefix: Some(prefix_hash(&body.prompt_text())),
        priority: body.priority,
        tokens,
    })
}

fn resolve_plain(published: &Published, request: &CallerRequest) -> Result<Routed, Refusal> {
    let plain = published
        .services
        .values()
        .filter(|d| d.kind == ServiceKind::Plain);
    let mut routes = plain.flat_map(|d| d.routes.iter().map(move |route| (d, route)));
    let Some((document, route)) = routes.find(|(_, route)| matches(route, request)) else {
        let CallerRequest { method, path, .. } = request;
        return Err(not_found(format!("no service declares {method} {path}")));
    };
    Ok(Routed {
        service: document.service.clone(),
        account: ClientAccountId::new(),
        weight: 1,
        idempotent: route.idempotent,
        stream: false,
        timeout: route.timeout,
        prefix: None,
        priority: 0,
        tokens: 0,
    })
}

/// Returns whether the route's method and path pattern match the request.
fn matches(route: &Route, request: &CallerRequest) -> bool {
    route.method == request.method && path_matches(&route.path, &request.path)
}

/// Returns whether `path` matches `pattern`, in which a segment `*` matches any one non-empty
/// segment and a segment `**` matches the rest of the path.
pub fn path_matches(pattern: &str, path: &str) -> bool {
    let mut given = path.split('/');
    for wanted in pattern.split('/') {
        if wanted == "**" {
            return true;
        }
        let Some(segment) = given.next() else {
            return false;
        };
        let fits = segment == wanted || (wanted == "*" && !segment.is_empty());
        if !fits {
            return false;
        }
    }
    given.next().is_none()
}

fn unauthorized(detail: impl Into<String>) -> Refusal {
    Refusal::invalid(StatusCode::UNAUTHORIZED, detail)
}

fn not_found(detail: impl Into<String>) -> Refusal {
    Refusal::invalid(StatusCode::NOT_FOUND, detail)
}
