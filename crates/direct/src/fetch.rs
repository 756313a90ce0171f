//! HTTP reads from other processes of the system, decoded from postcard.

use std::net::SocketAddr;

use anyhow::{anyhow, ensure};
use http::{Request, header};
use jj_utils::wire;
use serde::de::DeserializeOwned;

use crate::{body_budget::RequestBody, call, pool::Pool, response_budget::ResponseBudget};

/// Requests a path from a process and decodes the response, which may have up to `max_bytes`.
///
/// # Errors
/// When the process can't be reached, the status is not a success, or the body is too long or can't
/// be decoded.
pub async fn get<T: DeserializeOwned>(
    pool: &Pool,
    addr: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> anyhow::Result<T> {
    let request = Request::get(path)
        .header(header::HOST, addr.to_string())
        .body(RequestBody::default())?;
    let connection = pool.acquire(addr).await?;
    let mut response = call::send(connection, request).await?;
    ensure!(response.status.is_success(), "status {}", response.status);
    // One response at a time is read here, so only its own length limits it.
    let buffer = ResponseBudget::new(usize::MAX).begin();
    let body = response.read_body(max_bytes, buffer).await?;
    let body = body.map_err(|_| anyhow!("response is longer than {max_bytes} bytes"))?;
    response.finish(pool, None);
    Ok(wire::decode_any_build(&body)?)
}
