//! A UDP relay that loses datagrams, the counterpart of the TCP [`crate::relay`].

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context;
use jj_utils::collections::FastMap;
use tokio::{net::UdpSocket, sync::watch};
use tokio_util::sync::CancellationToken;

use crate::relay::Mode;

/// Largest datagram forwarded, in bytes.
const MAX_DATAGRAM: usize = 2048;

/// Steers a running relay.
#[derive(Debug, Clone)]
pub struct DatagramRelay {
    mode: watch::Sender<Mode>,
}

/// One sender's way through the relay; answers to it come back the same way.
struct Flow {
    sender: SocketAddr,
    front: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    mode: watch::Receiver<Mode>,
}

impl DatagramRelay {
    /// Starts a relay from `addr` to `target`; ends with `cancel`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        addr: SocketAddr,
        target: SocketAddr,
        cancel: CancellationToken,
    ) -> anyhow::Result<Self> {
        let front = UdpSocket::bind(addr).await;
        let front = Arc::new(front.with_context(|| format!("bind {addr}"))?);
        let mode = watch::Sender::new(Mode::Pass);
        let forwarded = forward(front, target, mode.subscribe(), cancel.clone());
        tokio::spawn(cancel.run_until_cancelled_owned(forwarded));
        Ok(Self { mode })
    }

    /// Sets what happens to datagrams; those to be delayed are lost.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(
    front: Arc<UdpSocket>,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    cancel: CancellationToken,
) {
    let mut flows: FastMap<SocketAddr, Arc<UdpSocket>> = FastMap::default();
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        let Ok((length, sender)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        if !matches!(*mode.borrow(), Mode::Pass | Mode::DropAnswers) {
            continue;
        }
        let back = match flows.get(&sender) {
            Some(back) => Arc::clone(back),
            None => {
                let Ok(back) = open(target).await else {
                    continue;
                };
                let flow = Flow {
                    sender,
                    front: Arc::clone(&front),
                    back: Arc::clone(&back),
                    mode: mode.clone(),
                };
                tokio::spawn(cancel.clone().run_until_cancelled_owned(flow.answers()));
                flows.insert(sender, Arc::clone(&back));
                back
            }
        };
        // A datagram that the socket does not take is lost like any other.
        let _ = back.send(&buffer[..length]).await;
    }
}

async fn open(target: SocketAddr) -> std::io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    socket.connect(target).await?;
    Ok(Arc::new(socket))
}

impl Flow {
    async fn answers(self) {
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            // An error says that the target was not there; it may come back.
            let Ok(length) = self.back.recv(&mut buffer).await else {
                continue;
            };
            if matches!(*self.mode.borrow(), Mode::Pass | Mode::DropRequests) {
                let _ = self.front.send_to(&buffer[..length], self.sender).await;
            }
        }
    }
}
