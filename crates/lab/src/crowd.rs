//! Clients that don't behave: crowds of connections that send large bodies, stop within them or send
//! nothing, and the bounds that a process has to keep meanwhile.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use anyhow::ensure;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinHandle};

use crate::process::Process;

/// Longest time in which a connection of a crowd sends what it sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of each write.
const WRITE_BYTES: usize = 64 * 1024;

/// What each connection of a crowd sends after the head of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// A body of the maximum length.
    Whole,
    /// The same without its last 7 bytes.
    Short,
    /// A body of the maximum length in chunks of 64 KiB, without the last 5 bytes of the message.
    ShortInLargeChunks,
    /// A body of 256 KiB in chunks of 16 bytes, without the last 5 bytes of the message.
    ShortInSmallChunks,
    /// A body of three times the maximum length, with its length.
    TooLong,
    /// A body of three times the maximum length in chunks.
    TooLongInChunks,
}

impl Body {
    /// Returns the header that announces the body.
    pub fn header(self, max_body: usize) -> (&'static str, String) {
        let length = match self {
            Self::Whole | Self::Short => max_body,
            Self::TooLong => 3 * max_body,
            Self::ShortInLargeChunks | Self::ShortInSmallChunks | Self::TooLongInChunks => {
                return ("Transfer-Encoding", "chunked".to_owned());
            }
        };
        ("Content-Length", length.to_string())
    }

    /// Returns the bytes of one write and the number of bytes that are sent in all.
    fn writes(self, max_body: usize) -> (Vec<u8>, usize) {
        let plain = vec![b'x'; WRITE_BYTES];
        let chunks = |bytes: usize, chunk: usize| {
            let line = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
            let repeated = line.repeat(WRITE_BYTES / chunk);
            let total = repeated.len() * (bytes / WRITE_BYTES);
            (repeated.into_bytes(), total)
        };
        match self {
            Self::Whole => (plain, max_body),
            Self::Short => (plain, max_body - 7),
            Self::TooLong => (plain, 3 * max_body),
            // The last chunk, of no bytes, is left out.
            Self::ShortInLargeChunks => chunks(max_body, WRITE_BYTES),
            Self::ShortInSmallChunks => chunks(256 * 1024, 16),
            Self::TooLongInChunks => chunks(3 * max_body, WRITE_BYTES),
        }
    }
}

/// Connections of a crowd that have sent what they send, and are kept open.
pub type Crowd = Vec<TcpStream>;

/// Opens connections that each send one of the heads and a body, all at once. Returns once each has sent
/// everything, or can't.
pub async fn send_bodies(
    addr: SocketAddr,
    heads: impl Iterator<Item = Vec<u8>>,
    body: Body,
    max_body: usize,
) -> Crowd {
    let (written, total) = body.writes(max_body);
    let written = Arc::new(written);
    let clients = heads.map(|head| {
        let written = Arc::clone(&written);
        tokio::spawn(send_body(addr, head, written, total))
    });
    collect(clients).await
}

/// Opens a connection and writes a head, then `total` bytes in writes of `written`. A connection that
/// takes nothing more is kept as it is; `None` if there is none.
async fn send_body(
    addr: SocketAddr,
    head: Vec<u8>,
    written: Arc<Vec<u8>>,
    total: usize,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let sending = async {
        stream.write_all(&head).await?;
        let mut left = total;
        while left > 0 {
            let length = left.min(written.len());
            stream.write_all(&written[..length]).await?;
            left -= length;
        }
        std::io::Result::Ok(())
    };
    // The process may refuse the request, close the connection or read no further.
    let _ = tokio::time::timeout(SEND_TIMEOUT, sending).await;
    Some(stream)
}

/// Opens connections that each send `first`, and then `repeated` until `max_sent` bytes are sent, all at
/// once. Returns once each has sent everything, or can't.
pub async fn send_repeatedly(
    addr: SocketAddr,
    connections: usize,
    first: &str,
    repeated: &str,
    max_sent: usize,
) -> Crowd {
    let times = WRITE_BYTES / repeated.len().max(1) + 1;
    let written = Arc::new(repeated.repeat(times).into_bytes());
    let total = if repeated.is_empty() { 0 } else { max_sent };
    let clients = (0..connections).map(|_| {
        let (head, written) = (first.as_bytes().to_vec(), Arc::clone(&written));
        tokio::spawn(send_body(addr, head, written, total))
    });
    collect(clients).await
}

/// Waits until all clients have sent what they send.
async fn collect(clients: impl Iterator<Item = JoinHandle<Option<TcpStream>>>) -> Crowd {
    let clients: Vec<_> = clients.collect();
    let streams = futures_util::future::join_all(clients).await;
    streams
        .into_iter()
        .filter_map(Result::ok)
        .flatten()
        .collect()
}

/// Opens connections that each send `bytes` and nothing more, one after the other.
pub async fn connect_all(addr: SocketAddr, connections: usize, bytes: &[u8]) -> Crowd {
    let mut streams = Vec::new();
    for _ in 0..connections {
        let connecting = tokio::time::timeout(SEND_TIMEOUT, TcpStream::connect(addr));
        let Ok(Ok(mut stream)) = connecting.await else {
            continue;
        };
        let _ = stream.write_all(bytes).await;
        streams.push(stream);
    }
    streams
}

/// Bytes that a process at an address has received and not read, over all its connections.
fn unread_bytes(ip: IpAddr) -> anyhow::Result<u64> {
    let IpAddr::V4(ip) = ip else {
        return Ok(0);
    };
    let local = format!("{:08X}:", u32::from_le_bytes(ip.octets()));
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let lines = table.lines().skip(1);
    let unread = lines.filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let queues = fields.get(4)?;
        let (_, received) = queues.split_once(':')?;
        let is_own = fields.get(1)?.starts_with(&local);
        let is_connection = *fields.get(3)? != "0A";
        (is_own && is_connection).then(|| u64::from_str_radix(received, 16).unwrap_or_default())
    });
    Ok(unread.sum())
}

/// What a process may have at most.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Memory, in bytes, with what the kernel holds unread for the process.
    pub memory_bytes: u64,
    /// Sockets and pipes.
    pub sockets: usize,
}

impl Bounds {
    /// Checks that the process at an address runs and keeps the bounds.
    ///
    /// # Errors
    /// What it doesn't keep.
    pub fn check(&self, process: &mut Process, ip: IpAddr, what: &str) -> anyhow::Result<()> {
        let is_running = process.is_running();
        ensure!(
            is_running,
            "{what}: the process has ended:\n{}",
            process.log()
        );
        let peak = process.peak_memory()?;
        let unread = unread_bytes(ip)?;
        let resident = process.usage()?.resident;
        let descriptors = process.descriptors()?;
        let sockets = descriptors.sockets_and_pipes;
        println!(
            "{what}: peak {} MB, resident {} MB and {} MB unread, {} descriptors, of those {sockets} sockets and pipes",
            peak / 1_000_000,
            resident / 1_000_000,
            unread / 1_000_000,
            descriptors.total,
        );
        let limit = self.memory_bytes;
        ensure!(
            peak <= limit,
            "{what}: {peak} bytes resident at the peak, over {limit}"
        );
        let held = resident + unread;
        ensure!(
            held <= limit,
            "{what}: {held} bytes resident or unread, over {limit}"
        );
        let max_sockets = self.sockets;
        ensure!(
            sockets <= max_sockets,
            "{what}: {sockets} sockets and pipes, over {max_sockets}"
        );
        Ok(())
    }
}
