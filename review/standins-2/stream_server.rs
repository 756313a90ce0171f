//! A stand-in of a server that answers each request with an event stream. A request that goes on
//! after an event gets the pieces that follow.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{http, streams};

/// Form of the answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Framing {
    /// Chunks; the connection is kept.
    Chunks,
    /// Neither a length nor chunks: the connection ends the answer.
    Connection,
}

/// How a server answers.
pub struct Behavior {
    pub id: String,
    pub framing: Framing,
    /// Pause before each piece.
    pub pause: Duration,
    /// Receives a line for each run and its end.
    pub report: Box<dyn Fn(String) + Send + Sync>,
    /// Returns the piece that an answer repeats, if it is a spoilt one.
    pub repeated_piece: Box<dyn Fn() -> Option<u64> + Send + Sync>,
}

/// Serves an address for as long as the process runs.
pub fn start(addr: SocketAddr, behavior: Behavior) {
    let listener = TcpListener::bind(addr).expect("bind the server");
    let behavior = Arc::new(behavior);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behavior = Arc::clone(&behavior);
            thread::spawn(move || drop(serve(stream, &behavior)));
        }
    });
}

fn serve(mut stream: TcpStream, behavior: &Behavior) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_request_body(&mut reader, &head)?;
        if head.get("jujubejunction-target-instance") != behavior.id {
            stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        answer(&mut stream, &head, behavior)?;
        if behavior.framing == Framing::Connection {
            return Ok(());
        }
    }
    Ok(())
}

fn answer(stream: &mut TcpStream, head: &http::Head, behavior: &Behavior) -> io::Result<()> {
    let request = head.get("jujubejunction-request-id");
    let after: u64 = head.get("last-event-id").parse().unwrap_or(0);
    let last = streams::pieces_asked(head.word(1));
    let repeated = (behavior.repeated_piece)();
    let id = &behavior.id;
    (behavior.report)(format!(
        "server {id} runs {request} after piece {after} of {last}"
    ));
    let framing = match behavior.framing {
        Framing::Chunks => "Transfer-Encoding: chunked\r\n",
        Framing::Connection => "",
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nJujubejunction-Request-Id: {request}\r\n\
         Jujubejunction-Response-Signature: {id}.{request}\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n"
    );
    stream.write_all(answer.as_bytes())?;
    for piece in after + 1..=last {
        thread::sleep(behavior.pause);
        let mut bytes = streams::event(request, piece);
        if repeated == Some(piece) {
            bytes = bytes.repeat(2);
            (behavior.report)(format!(
                "server {id} writes piece {piece} of {request} twice"
            ));
        }
        if behavior.framing == Framing::Chunks {
            bytes = streams::chunk(&bytes);
        }
        if let Err(error) = stream.write_all(&bytes) {
            (behavior.report)(format!("server {id} is left at piece {piece} of {request}"));
            return Err(error);
        }
    }
    if behavior.framing == Framing::Chunks {
        stream.write_all(b"0\r\n\r\n")?;
    }
    (behavior.report)(format!("server {id} has sent {request} up to piece {last}"));
    Ok(())
}
