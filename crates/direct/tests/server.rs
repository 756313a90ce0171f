//! Connections that are in the listen queue when a server stops.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    rc::Rc,
};

use googletest::prelude::*;
use http::Response;
use jj_direct::{
    body::ResponseBody,
    server::{self, ServerConfig, ServerStop},
    socket,
};
use jj_utils::clock::SystemClock;
use tokio::task::LocalSet;

const CLIENTS: usize = 20;

/// Connects without the help of a runtime and writes a request.
fn connect_and_send(addr: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(addr).unwrap();
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    client
}

fn read_status(mut client: TcpStream) -> String {
    let mut response = String::new();
    // An error leaves the response empty.
    let _ = client.read_to_string(&mut response);
    response.lines().next().unwrap_or_default().to_owned()
}

#[gtest]
fn requests_in_the_listen_queue_are_answered_though_the_runtime_has_not_seen_them() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let stop = ServerStop::default();
    let clients = LocalSet::new().block_on(&runtime, async {
        let listener = socket::listen((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let addr = listener.local_addr().unwrap();
        // Nothing here yields to the runtime, as in a process that was stopped meanwhile.
        let clients: Vec<TcpStream> = (0..CLIENTS).map(|_| connect_and_send(addr)).collect();
        stop.drain.cancel();

        let handler: server::Handler =
            Rc::new(|_, _| Box::pin(async { Response::new(ResponseBody::whole("ok")) }));
        let clock = SystemClock::shared();
        server::serve(listener, clock, ServerConfig::default, handler, stop).await;
        clients
    });

    let statuses: Vec<String> = clients.into_iter().map(read_status).collect();
    expect_that!(statuses, each(eq("HTTP/1.1 200 OK")));
}
