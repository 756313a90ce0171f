//! Handles callers' requests: entry addresses, the model list, keys and requests to services.

use std::sync::Arc;

use jj_caller::{answer::Answer, problem::Refusal, request::CallerRequest, server::Handler};
use jj_operator::published::Published;
use poem::http::StatusCode;
use serde_json::json;

use crate::{
    addresses::{self, ADDRESSES_PATH},
    context::{Context, NOT_READY},
    forward::Forward,
    keys::{self, KEYS_PATH},
    routes,
};

/// Path of the model list.
const MODELS_PATH: &str = "/v1/models";

/// Creates the handler for all requests.
pub fn new(context: Arc<Context>) -> Handler {
    Arc::new(move |request| {
        let context = Arc::clone(&context);
        Box::pin(async move { handle(context, request).await })
    })
}

async fn handle(context: Arc<Context>, request: CallerRequest) -> Result<Answer, Refusal> {
    let view = context.view.load_full();
    if request.method == "GET" && request.path == ADDRESSES_PATH {
        return addresses::answer(&context, &view, &request);
    }
    let Some(published) = &view.published else {
        let detail = "no configuration yet";
        return Err(Refusal::given_up(NOT_READY, detail));
    };
    if request.method == "GET" && request.path == MODELS_PATH {
        return Ok(models(published));
    }
    if request.path == MODELS_PATH || request.path == ADDRESSES_PATH {
        return Err(wrong_method(&request.path, "GET"));
    }
    if request.path == KEYS_PATH {
        return match request.method.as_str() {
            "POST" => keys::issue(&context, published, &request),
            _ => Err(wrong_method(KEYS_PATH, "POST")),
        };
    }
    let routed = routes::resolve(published, &request)?;
    addresses::check_covered(&context, &view, &routed, &request)?;
    let home = keys::home_agent(&view, &routed, &request)?;
    Forward::new(context, request, routed, home).run().await
}

fn wrong_method(path: &str, allowed: &str) -> Refusal {
    let detail = format!("{path} allows {allowed} only");
    Refusal::invalid(StatusCode::METHOD_NOT_ALLOWED, detail)
}

fn models(published: &Published) -> Answer {
    let models = published
        .services
        .values()
        .flat_map(|service| &service.models);
    let data: Vec<_> = models
        .map(|id| json!({"id": id, "object": "model", "owned_by": "jujubejunction"}))
        .collect();
    Answer::json(&json!({"object": "list", "data": data}))
}
