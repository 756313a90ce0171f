//! Reads what another process of the system has to tell at once, over HTTP.

use std::net::SocketAddr;

use anyhow::{anyhow, ensure};
use http::{Request, header};
use serde::de::DeserializeOwned;

use crate::{
    call,
    pool::{Pool, RequestBody},
};

/// What a process tells at a path, up to `longest` bytes of it.
///
/// # Errors
/// When it can't be reached, has nothing to tell, or tells more or something else.
pub async fn get<T: DeserializeOwned>(
    pool: &Pool,
    addr: SocketAddr,
    path: &str,
    longest: usize,
) -> anyhow::Result<T> {
    let request = Request::get(path)
        .header(header::HOST, addr.to_string())
        .body(RequestBody::default())?;
    let connection = pool.acquire(addr).await?;
    let mut answer = call::send(connection, request).await?;
    ensure!(answer.status.is_success(), "status {}", answer.status);
    let body = answer.read_body(longest).await?;
    let body = body.map_err(|_| anyhow!("more than {longest} bytes"))?;
    answer.finish(pool, None);
    Ok(postcard::from_bytes(&body)?)
}
