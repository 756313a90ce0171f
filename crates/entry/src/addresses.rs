//! Answers callers' queries for entry addresses, and refuses requests for services that this entry
//! does not cover.

use std::net::SocketAddr;

use jj_caller::{answer::Answer, problem::Refusal, request::CallerRequest};
use jj_operator::{documents::DomainState, published::Published};
use jj_policy::{
    addresses::{self, AddressConfig, CoveringEntry},
    keys::OnceKey,
    rendezvous::key_hash,
    subset::Node,
    verdict::Verdict,
};
use jj_utils::ids::ServiceId;
use poem::http::StatusCode;
use reqwest::Url;
use serde_json::json;

use crate::{
    context::{Context, NOT_READY},
    control::CALLER_GROUPS,
    routes::Routed,
    view::View,
};

/// Path that returns entry addresses.
pub const ADDRESSES_PATH: &str = "/v1/addresses";

/// Query parameter with the model that the caller will request.
const MODEL_PARAMETER: &str = "model";

/// Query parameter with the service that the caller will request.
const SERVICE_PARAMETER: &str = "service";

/// Returns entry addresses for the caller: the same ones while the set of entries stays the same.
///
/// Without a model or service in the query, entries are returned regardless of their coverage, and
/// `covers_all` is false if some don't cover every service.
///
/// # Errors
/// If the query is invalid, or names an unknown model or service.
pub fn answer(context: &Context, view: &View, request: &CallerRequest) -> Result<Answer, Refusal> {
    let service = named_service(view, request)?;
    let is_full = view.coverage.coverage.is_full();
    let caller = request.token.as_ref().or(request.account.as_ref());
    let caller = caller.map_or(0, |caller| key_hash(caller));
    let addresses = match service {
        Some(service) if !is_full => covering_addresses(context, view, service, caller),
        _ => {
            let group = view.addresses.get((caller % CALLER_GROUPS) as usize);
            group.cloned().unwrap_or_default()
        }
    };
    let mut document = json!({
        "addresses": addresses,
        "lifetime_s": context.identity.address_lifetime.as_secs(),
    });
    let has_list = !view.coverage.entries.is_empty();
    if service.is_none() && has_list && !is_full {
        document["covers_all"] = false.into();
        document["ask"] =
            format!("{ADDRESSES_PATH}?{MODEL_PARAMETER}=NAME or ?{SERVICE_PARAMETER}=NAME").into();
    }
    Ok(Answer::json(&document))
}

/// Returns the service that the query names, if any.
fn named_service<'a>(
    view: &'a View,
    request: &CallerRequest,
) -> Result<Option<&'a ServiceId>, Refusal> {
    let query = request.query.as_deref().unwrap_or_default();
    let (model, service) = (
        parameter(query, MODEL_PARAMETER),
        parameter(query, SERVICE_PARAMETER),
    );
    if model.is_none() && service.is_none() {
        return Ok(None);
    }
    let Some(published) = &view.published else {
        return Err(Refusal::given_up(NOT_READY, "no configuration yet"));
    };
    let found = match (model, service) {
        (Some(model), None) => service_of_model(published, &model),
        (None, Some(service)) => published.services.get_key_value(&service).map(|it| it.0),
        _ => {
            let detail = format!("name a {MODEL_PARAMETER} or a {SERVICE_PARAMETER}, not both");
            return Err(Refusal::invalid(StatusCode::BAD_REQUEST, detail));
        }
    };
    let unknown = || {
        let detail = format!("no service serves `{query}`");
        Refusal::invalid(StatusCode::NOT_FOUND, detail)
    };
    found.map(Some).ok_or_else(unknown)
}

/// Returns the decoded value of a query parameter.
fn parameter(query: &str, name: &str) -> Option<String> {
    let url = Url::parse(&format!("http://entry/?{query}")).ok()?;
    let mut pairs = url.query_pairs();
    let found = pairs.find(|(key, _)| key == name);
    found.map(|(_, value)| value.into_owned())
}

fn service_of_model<'a>(published: &'a Published, model: &str) -> Option<&'a ServiceId> {
    let mut services = published.services.iter();
    let found = services.find(|(_, document)| document.models.iter().any(|name| name == model));
    found.map(|(service, _)| service)
}

/// Returns addresses of entries that cover a service.
fn covering_addresses(
    context: &Context,
    view: &View,
    service: &str,
    caller: u64,
) -> Vec<SocketAddr> {
    let listed = view.coverage.entries.iter().zip(&view.entry_states);
    let of_service = listed
        .enumerate()
        .filter(|(position, _)| view.coverage.coverage.covers(*position, service))
        .map(|(_, (instance, state))| (instance, *state));
    let of_service: Vec<_> = of_service.collect();
    let entries = of_service.iter().map(|(instance, state)| CoveringEntry {
        node: Node {
            id: &instance.id,
            domain: &instance.domain,
        },
        state: *state,
        is_in_service: !instance.leaving && is_in_service(view, &instance.domain),
    });
    let entries: Vec<CoveringEntry<'_>> = entries.collect();
    let config = AddressConfig::default();
    let answer = addresses::answer_for_service(&config, &entries, &context.identity.domain, caller);
    let address = |id| {
        let mut listed = of_service.iter().map(|(instance, _)| instance);
        let found = listed.find(|instance| instance.id == id);
        found.map(|instance| instance.traffic)
    };
    answer.entries.into_iter().filter_map(address).collect()
}

fn is_in_service(view: &View, domain: &str) -> bool {
    let published = view.published.as_ref();
    let state = published.and_then(|published| published.fleet.domains.get(domain));
    state != Some(&DomainState::Withdrawn)
}

/// Refuses a request for a service that this entry does not cover.
///
/// # Errors
/// `NotRun`, or `MayHaveRun` if an earlier try may have run: only the home agent of a key or the
/// agent of a stream knows its outcome.
pub fn check_covered(
    context: &Context,
    view: &View,
    routed: &Routed,
    request: &CallerRequest,
) -> Result<(), Refusal> {
    let service = &routed.service;
    let mut agents = view.agents_of(service);
    let is_covered = view.coverage.coverage.is_full()
        || view.coverage.entries.is_empty()
        || view.coverage.covers(&context.identity.instance, service)
        || agents.any(|agent| agent.effective_state().may_take_work());
    if is_covered {
        return Ok(());
    }
    let key = request.key.as_ref().filter(|_| !routed.idempotent);
    let issued = key.map(|key| matches!(key.parse(), Ok(OnceKey::Issued(_))));
    if issued == Some(false) {
        // Every entry refuses the request for its key.
        return Ok(());
    }
    let verdict = match issued.is_some() || request.last_event.is_some() {
        true => Verdict::MayHaveRun,
        false => Verdict::NotRun {
            retry_after: context.retry.default_retry_after,
        },
    };
    let detail = format!(
        "this entry does not cover `{service}`: \
         GET {ADDRESSES_PATH}?{SERVICE_PARAMETER}={service} names entries that do"
    );
    Err(Refusal::given_up(verdict, detail))
}
