//! The operator raises `maxHeaderBytes`. Connections that clients keep open go on with the old limit.

use std::{io, thread, time::Duration};

use crate::{
    deployment::{Config, DESK, Deployment, Handler, Request, Server, config},
    http::{Connection, send_once, wait_until},
};

/// Connections that clients keep open.
const CLIENTS: usize = 40;

/// Requests on each of them before the change, and tries of each client after it.
const REQUESTS: usize = 3;

/// Limits before and after the change, in bytes.
const OLD_LIMIT: u32 = 8_192;
const NEW_LIMIT: u32 = 16_384;

/// `configMs` of the settings, and a second more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000);

/// Requests that may be denied: this number and one in so many.
const DENIED_SLACK: usize = 5;
const REQUESTS_PER_DENIED: usize = 500;

const WAIT: Duration = Duration::from_secs(5);

/// Returns a request whose head is a little longer than a number of bytes.
fn request_with_head(bytes: usize) -> Request {
    let part = "5c1e07a2:800";
    let prefix = vec![part; bytes / (part.len() + 1)].join(",");
    let more = format!("Jujubejunction-Prompt-Prefix: {prefix}\r\n");
    Request::new("POST", "/lodge/2f", 4_000, &more, "presentation")
}

pub fn play(deployment: &mut Deployment, is_troubled: bool) -> io::Result<bool> {
    let old = Config {
        header_bytes: OLD_LIMIT,
        ..Config::default()
    };
    deployment.store.put("op/config", &config(&old));
    let handler: Handler =
        std::sync::Arc::new(|received| received.response("200 OK", "", "lodged"));
    let server = Server::start(deployment.allocate_ip(), DESK, "i-1", handler)?;
    deployment.store.put("servers/i-1", &server.ready_entry(1));
    deployment.start_entries(1)?;
    let front = deployment.entries[0].front;
    let record = deployment.record.clone();
    let is_served = || {
        let request = request_with_head(100);
        send_once(front, &request.bytes, WAIT).is_ok_and(|it| it.status == 200)
    };
    if !wait_until(Duration::from_secs(10), is_served) {
        return Err(io::Error::other("the server is not used"));
    }
    let mut connections = Vec::new();
    let (mut total, mut denied) = (0, 0);
    for _ in 0..CLIENTS {
        let mut connection = Connection::open(front)?;
        for _ in 0..REQUESTS {
            let answer = connection.send(&request_with_head(4_000).bytes, WAIT)?;
            total += 1;
            denied += usize::from(answer.status == 431);
        }
        connections.push(connection);
    }
    record.note(&format!(
        "before the change: {total} requests, {denied} denied"
    ));

    let head = match is_troubled {
        true => {
            let new = Config {
                version: 5,
                header_bytes: NEW_LIMIT,
                ..old
            };
            deployment.store.put("op/config", &config(&new));
            record.note(&format!(
                "store acknowledges version 5, maxHeaderBytes {NEW_LIMIT}"
            ));
            12_000
        }
        false => 6_000,
    };
    thread::sleep(IN_FORCE_AFTER);
    for (number, connection) in connections.iter_mut().enumerate() {
        let mut is_open = true;
        for _ in 0..REQUESTS {
            let request = request_with_head(head);
            let answer = match is_open {
                true => connection.send(&request.bytes, WAIT),
                false => send_once(front, &request.bytes, WAIT),
            };
            let kind = if is_open { "kept" } else { "new" };
            let status = answer.as_ref().map(|it| it.status);
            record.note(&format!(
                "client {number} sends {} with a head of {} bytes on a {kind} connection and gets {status:?}",
                request.id,
                request.bytes.len() - "presentation".len()
            ));
            total += 1;
            is_open &= answer.as_ref().is_ok_and(|it| it.status == 200);
            denied += usize::from(status.is_ok_and(|it| it == 431));
        }
    }
    let allowed = DENIED_SLACK + total / REQUESTS_PER_DENIED;
    record.note(&format!(
        "{denied} of {total} proper requests got 431, {allowed} are allowed"
    ));
    Ok(denied <= allowed)
}
