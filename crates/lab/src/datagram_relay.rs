//! A UDP relay that drops or delays datagrams, the counterpart of the TCP [`crate::relay`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use jj_utils::collections::FastMap;
use tokio::{net::UdpSocket, sync::watch};
use tokio_util::sync::CancellationToken;

use crate::relay::Mode;

/// Size of the largest datagram that is forwarded whole, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Handle of a running relay.
#[derive(Debug, Clone)]
pub struct DatagramRelay {
    mode: watch::Sender<Mode>,
}

/// Sockets of one sender; replies to it return through them.
struct Flow {
    sender: SocketAddr,
    front: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    mode: watch::Receiver<Mode>,
    cancel: CancellationToken,
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

    /// Sets the mode for datagrams; it also applies to those that are being delayed.
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
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        if !forwards_requests(*mode.borrow()) {
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
                    cancel: cancel.clone(),
                };
                tokio::spawn(
                    cancel
                        .clone()
                        .run_until_cancelled_owned(flow.return_replies()),
                );
                flows.insert(sender, Arc::clone(&back));
                back
            }
        };
        let (bytes, mode) = (buffer[..length].to_vec(), mode.clone());
        tokio::spawn(cancel.clone().run_until_cancelled_owned(async move {
            wait(&mode).await;
            // A send error drops the datagram.
            if forwards_requests(*mode.borrow()) {
                let _ = back.send(&bytes).await;
            }
        }));
    }
}

fn forwards_requests(mode: Mode) -> bool {
    matches!(mode, Mode::Pass | Mode::DropAnswers | Mode::Delay { .. })
}

fn forwards_replies(mode: Mode) -> bool {
    matches!(mode, Mode::Pass | Mode::DropRequests | Mode::Delay { .. })
}

/// Waits for the delay of the mode; the caller checks the mode again afterwards.
async fn wait(mode: &watch::Receiver<Mode>) {
    let now = *mode.borrow();
    if let Mode::Delay { millis } = now {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

async fn open(target: SocketAddr) -> std::io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    socket.connect(target).await?;
    Ok(Arc::new(socket))
}

impl Flow {
    async fn return_replies(self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error means that the target was unreachable; it may return.
            let Ok(length) = self.back.recv(&mut buffer).await else {
                continue;
            };
            if !forwards_replies(*self.mode.borrow()) {
                continue;
            }
            let (bytes, sender) = (buffer[..length].to_vec(), self.sender);
            let (front, mode) = (Arc::clone(&self.front), self.mode.clone());
            tokio::spawn(self.cancel.clone().run_until_cancelled_owned(async move {
                wait(&mode).await;
                if forwards_replies(*mode.borrow()) {
                    let _ = front.send_to(&bytes, sender).await;
                }
            }));
        }
    }
}
