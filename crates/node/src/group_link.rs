//! Datagrams from a group's leader to its ranks; longer requests go over JSON-RPC.
//!
//! A leader sends to all ranks in three phases of each switch, and with JSON-RPC headers and text
//! would make up most of the bytes. A lost datagram is a lost request, which the leader repeats.

use std::{io, net::SocketAddr};

use jj_peer::group::{ReplyWire, RequestWire};
use tokio::net::UdpSocket;

use crate::datagram::{Datagram, MAX_RECEIVED_BYTES};

/// UDP socket of a group's leader.
pub struct GroupLink {
    socket: UdpSocket,
}

impl GroupLink {
    /// Binds a socket on the address's host, at any free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn bind(host: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind((host.ip(), 0)).await?;
        Ok(Self { socket })
    }

    /// Sends a request; returns false if it is too long for a datagram. Send errors count as loss.
    pub fn send_request(&self, rank: SocketAddr, request: &RequestWire) -> bool {
        let Some(bytes) = Datagram::Group(request.clone()).encode() else {
            return false;
        };
        metrics::counter!("jujube_group_bytes_total").increment(bytes.len() as u64);
        let _ = self.socket.try_send_to(&bytes, rank);
        true
    }

    /// Receives the next reply; cancel-safe.
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
