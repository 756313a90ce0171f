//! The part of HTTP/1.1 that the stand-ins speak: heads, bodies with a length or in chunks, and
//! kept connections.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Start line and headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the first header with a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(it, _)| it.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns a word of the start line, from 0.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.start.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks; `until_close` says whether one without either ends with the
/// connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    until_close: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    if let Some(length) = head.get("content-length") {
        body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
}

/// Connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

/// Time for which a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

impl Connection {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends the bytes of a request and returns the response, for which it waits for a time.
    pub fn send(&mut self, request: &[u8], wait: Duration) -> io::Result<Response> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(wait))?;
        stream.write_all(request)?;
        let head = read_head(&mut self.reader)?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.word(1).parse().map_err(io::Error::other)?;
        read_body(&mut self.reader, &head, true)?;
        Ok(Response { status })
    }
}

/// Sends a request on a new connection.
pub fn send_once(addr: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Response> {
    Connection::open(addr)?.send(request, wait)
}

/// Waits until a condition holds; returns false if it doesn't within a time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
