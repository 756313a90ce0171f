//! Heartbeats over UDP: a question with a number, and an answer with the same number.
//!
//! Only the answer carries the sender's state: evidence is dated by its question, so an unrequested
//! state would have no date. A question carries only the configuration index, a hint that is not
//! used as evidence. A lost datagram is a missed heartbeat and has no other effect.

use std::{
    io,
    net::{SocketAddr, UdpSocket as StdSocket},
    sync::Arc,
    time::Duration,
};

use jj_peer::{
    control::Heartbeat,
    group::{ReplyWire, RequestWire},
};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    ids::{ConfigIndex, InstanceId},
};
use tokio::net::UdpSocket;

use crate::datagram::{Datagram, MAX_RECEIVED_BYTES};

/// Age after which an unanswered question expires.
const QUESTION_LIFETIME: Duration = Duration::from_secs(5);

/// Returns the bytes of one exchange's question and answer, without network headers.
pub fn datagram_sizes(heartbeat: &Heartbeat) -> [usize; 2] {
    // Numbers start at the incarnation, so its encoding is as long as that of any number in use.
    let number = heartbeat.incarnation;
    let question = Datagram::Question {
        number,
        index: heartbeat.index,
    };
    let answer = Datagram::Answer {
        number,
        heartbeat: heartbeat.clone(),
    };
    [question, answer].map(|datagram| datagram.encoded_len())
}

/// A question received from another process.
#[derive(Debug, Clone)]
pub struct Question {
    /// Address to answer to.
    pub from: SocketAddr,
    /// Number to repeat in the answer.
    pub number: u64,
    /// Index of the configuration in force at the sender.
    pub index: ConfigIndex,
}

/// The answer to one of this process's questions.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Instance that answered.
    pub peer: InstanceId,
    /// When the question was sent.
    pub requested_at: Timestamp,
    /// State of that instance.
    pub heartbeat: Heartbeat,
}

/// A received datagram.
#[derive(Debug, Clone)]
pub enum Received {
    /// A question of another process.
    Question(Question),
    /// An answer to a question of this process.
    Answer(Answer),
    /// A request of the leader of a lock-step group.
    Group(GroupQuestion),
}

/// A request of a group's leader, with the address for its reply.
#[derive(Debug, Clone)]
pub struct GroupQuestion {
    /// The leader's request.
    pub request: RequestWire,
    from: SocketAddr,
    socket: Arc<UdpSocket>,
}

impl GroupQuestion {
    /// Sends the reply; send errors count as loss.
    pub fn reply(&self, reply: ReplyWire) {
        if let Some(bytes) = Datagram::GroupReply(reply).encode() {
            let _ = self.socket.try_send_to(&bytes, self.from);
        }
    }
}

#[derive(Debug)]
struct PendingQuestion {
    peer: InstanceId,
    addr: SocketAddr,
    at: Timestamp,
}

/// The heartbeat socket and its pending questions.
pub struct Heartbeats {
    socket: Arc<UdpSocket>,
    clock: SharedClock,
    pending: FastMap<u64, PendingQuestion>,
    next_number: u64,
}

impl Heartbeats {
    /// Binds the socket. Numbers start from `seed`, so that answers to an earlier incarnation don't
    /// match.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn bind(addr: SocketAddr, clock: SharedClock, seed: u64) -> io::Result<Self> {
        let socket = StdSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        Ok(Self {
            socket,
            clock,
            pending: FastMap::default(),
            next_number: seed,
        })
    }

    /// Sends a question; send errors count as loss.
    pub fn send_question(&mut self, peer: &str, addr: SocketAddr, index: ConfigIndex) {
        let at = self.clock.now();
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.pending.insert(
            number,
            PendingQuestion {
                peer: peer.to_owned(),
                addr,
                at,
            },
        );
        self.send(addr, Datagram::Question { number, index });
    }

    /// Answers a question.
    pub fn send_answer(&self, question: &Question, heartbeat: Heartbeat) {
        let Question { from, number, .. } = question;
        self.send(
            *from,
            Datagram::Answer {
                number: *number,
                heartbeat,
            },
        );
    }

    /// Receives the next valid datagram; cancel-safe.
    pub async fn receive(&mut self) -> Received {
        let mut buffer = [0; MAX_RECEIVED_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(datagram) = Datagram::decode(&buffer[..length]) else {
                continue;
            };
            if let Some(received) = self.accept(datagram, from) {
                return received;
            }
        }
    }

    /// Removes expired questions.
    pub fn prune(&mut self) {
        let now = self.clock.now();
        self.pending
            .retain(|_, question| now.saturating_sub(question.at) < QUESTION_LIFETIME);
    }

    fn accept(&mut self, datagram: Datagram, from: SocketAddr) -> Option<Received> {
        let (number, heartbeat) = match datagram {
            Datagram::Question { number, index } => {
                return Some(Received::Question(Question {
                    from,
                    number,
                    index,
                }));
            }
            Datagram::Answer { number, heartbeat } => (number, heartbeat),
            Datagram::Group(request) => {
                return Some(Received::Group(GroupQuestion {
                    from,
                    request,
                    socket: Arc::clone(&self.socket),
                }));
            }
            Datagram::GroupReply(_) => return None,
        };
        let pending = self.pending.get(&number)?;
        if pending.addr != from || pending.peer != heartbeat.instance {
            return None;
        }
        let PendingQuestion { peer, at, .. } = self.pending.remove(&number)?;
        Some(Received::Answer(Answer {
            peer,
            requested_at: at,
            heartbeat,
        }))
    }

    fn send(&self, addr: SocketAddr, datagram: Datagram) {
        let Some(bytes) = datagram.encode() else {
            return;
        };
        metrics::counter!("jujube_heartbeat_bytes_total").increment(bytes.len() as u64);
        // Send errors count as loss.
        let _ = self.socket.try_send_to(&bytes, addr);
    }
}
