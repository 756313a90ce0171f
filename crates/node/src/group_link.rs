//! How a group's leader reaches its ranks: datagrams, and JSON-RPC for what is too long for one.
//!
//! A leader sends to all ranks in three phases of each switch, and headers and text would make up
//! most of it. A lost datagram is a lost request: the leader sends it again.

use std::{io, net::SocketAddr};

use jj_peer::group::{ReplyWire, RequestWire};
use tokio::net::UdpSocket;

use crate::datagram::{Datagram, MAX_RECEIVED_BYTES};

/// A leader's socket.
pub struct GroupLink {
    socket: UdpSocket,
}

impl GroupLink {
    /// Binds a socket on the address's host, at any free port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn bind(host: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind((host.ip(), 0)).await?;
        Ok(Self { socket })
    }

    /// Sends a request; false when it is too long for a datagram. One that the socket does not
    /// take counts as lost.
    pub fn send_request(&self, rank: SocketAddr, request: &RequestWire) -> bool {
        let Some(bytes) = Datagram::Group(request.clone()).encode() else {
            return false;
        };
        metrics::counter!("jujube_group_bytes_total").increment(bytes.len() as u64);
        let _ = self.socket.try_send_to(&bytes, rank);
        true
    }

    /// The next reply; cancel-safe.
    pub async fn receive_reply(&self) -> ReplyWire {
        let mut buffer = [0; MAX_RECEIVED_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if let Some(Datagram::GroupReply(reply)) = Datagram::decode(&buffer[..length]) {
                return reply;
            }
        }
    }
}
