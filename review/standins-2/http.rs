//! HTTP/1.1 messages, read and written byte by byte.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest time that a client waits for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Start line and headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, or an empty text.
    pub fn get(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns a word of the start line, counted from 0.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn is_chunked(head: &Head) -> bool {
    head.get("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
}

/// Reads one chunk of a body; `None` after the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut bytes = vec![0; length + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(length);
    Ok((length > 0).then_some(bytes))
}

/// Reads the body of a request.
pub fn read_request_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if is_chunked(head) {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    body.resize(head.get("content-length").parse().unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// An answer as a client has received it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if the connection ended before a head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the end of the body has arrived as the protocol marks it.
    pub is_complete: bool,
}

impl Answer {
    /// Returns whether a client takes this for a complete success: 2xx, signed and whole.
    pub fn is_success(&self) -> bool {
        let is_signed = !self
            .head
            .get("jujubejunction-response-signature")
            .is_empty();
        self.status / 100 == 2 && is_signed && self.is_complete
    }
}

/// Reads an answer until it ends or breaks off.
pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let mut answer = Answer::default();
    let Ok(Some(head)) = read_head(reader) else {
        return answer;
    };
    answer.status = head.word(1).parse().unwrap_or(0);
    if is_chunked(&head) {
        loop {
            match read_chunk(reader) {
                Ok(Some(chunk)) => answer.body.extend(chunk),
                Ok(None) => {
                    answer.is_complete = true;
                    break;
                }
                Err(_) => break,
            }
        }
    } else if let Ok(length) = head.get("content-length").parse::<usize>() {
        let read = reader.take(length as u64).read_to_end(&mut answer.body);
        answer.is_complete = read.is_ok() && answer.body.len() == length;
    } else {
        answer.is_complete = reader.read_to_end(&mut answer.body).is_ok();
    }
    answer.head = head;
    answer
}

/// Opens a connection on which reads and writes fail after `timeout`.
pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends a request over a new connection and reads the answer.
pub fn call(addr: SocketAddr, request: &[u8], timeout: Duration) -> Answer {
    let Ok(mut stream) = connect(addr, timeout) else {
        return Answer::default();
    };
    if stream.write_all(request).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream))
}
