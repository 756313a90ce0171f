//! A TCP relay that injects faults into connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use anyhow::Context;
use jj_utils::common_derives;
use poem::{
    EndpointExt, Route, get, handler,
    http::StatusCode,
    web::{Data, Json},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};
use tokio_util::sync::CancellationToken;

use crate::http::serve_app;

/// Size of the read buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

common_derives! {wire:
    /// Fault that the relay injects into connections.
    #[derive(Copy, Eq, Default)]
    #[serde(tag = "mode", rename_all = "snake_case")]
    pub enum Mode {
        /// Forwards everything.
        #[default]
        Pass,
        /// Resets open connections and refuses new ones.
        Cut,
        /// Forwards nothing in either direction, and keeps the connections open.
        Silent,
        /// Forwards each chunk after a delay.
        Delay {
            /// The delay in milliseconds.
            millis: u64,
        },
        /// Drops what callers send.
        DropRequests,
        /// Drops what servers send.
        DropAnswers,
    }
}

common_derives! {wire:
    /// Body of `PUT /mode`.
    #[derive(Copy)]
    pub struct ModeRequest {
        /// Mode of the connections that are open now; absent leaves it.
        #[serde(default)]
        pub open: Option<Mode>,
        /// Mode of new connections; absent leaves it.
        #[serde(default)]
        pub new: Option<Mode>,
    }
}

/// Handle of a running relay.
#[derive(Debug, Clone)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    cancel: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    accepted: u64,
    new: Mode,
    open: Vec<watch::Sender<Mode>>,
}

/// One direction of a connection; `dropped` is the mode that drops its bytes.
struct Pipe {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    mode: watch::Receiver<Mode>,
    dropped: Mode,
}

impl Relay {
    /// Starts a relay from `addr` to `target`; ends with `cancel`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        addr: SocketAddr,
        target: SocketAddr,
        cancel: CancellationToken,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(addr)
            .await
            .with_context(|| format!("bind {addr}"))?;
        let relay = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
            cancel,
        };
        tokio::spawn(relay.clone().accept(listener, target));
        Ok(relay)
    }

    /// Returns the address on which the relay listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the mode of all connections, open and new.
    pub fn set(&self, mode: Mode) {
        self.set_new(mode);
        self.set_open(mode);
    }

    /// Sets the mode of the connections that are open now.
    pub fn set_open(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.open.retain(|connection| !connection.is_closed());
        for connection in &state.open {
            connection.send_replace(mode);
        }
    }

    /// Sets the mode of new connections.
    pub fn set_new(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.new = mode;
    }

    /// Returns the number of connections accepted so far, including those reset at once.
    pub fn accepted(&self) -> u64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.accepted
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        let cancel = self.cancel.clone();
        while let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await {
            let Ok((caller, _)) = accepted else { continue };
            let Some(mode) = self.admit() else {
                reset(&caller);
                continue;
            };
            let connection = connect(caller, target, mode);
            tokio::spawn(cancel.clone().run_until_cancelled_owned(connection));
        }
    }

    fn admit(&self) -> Option<watch::Receiver<Mode>> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.accepted += 1;
        if state.new == Mode::Cut {
            return None;
        }
        let (sender, mode) = watch::channel(state.new);
        state.open.retain(|connection| !connection.is_closed());
        state.open.push(sender);
        Some(mode)
    }
}

async fn connect(caller: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&caller);
        return;
    };
    for stream in [&caller, &server] {
        let _ = stream.set_nodelay(true);
    }
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = Pipe {
        from: caller_read,
        to: server_write,
        mode: mode.clone(),
        dropped: Mode::DropRequests,
    };
    let answers = Pipe {
        from: server_read,
        to: caller_write,
        mode,
        dropped: Mode::DropAnswers,
    };
    tokio::join!(requests.run(), answers.run());
}

impl Pipe {
    async fn run(mut self) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let mut mode = self.mode.clone();
            let read = tokio::select! {
                _ = mode.wait_for(|mode| *mode == Mode::Cut) => return self.reset(),
                read = self.from.read(&mut buffer) => read,
            };
            let Ok(length @ 1..) = read else { break };
            if !self.forward(&buffer[..length]).await {
                return;
            }
        }
        let silent = matches!(*self.mode.borrow(), Mode::Silent);
        if silent {
            let _ = self.mode.wait_for(|mode| *mode != Mode::Silent).await;
        }
        let _ = self.to.shutdown().await;
    }

    /// Forwards, delays or drops one chunk according to the mode; returns false if the connection
    /// has ended.
    async fn forward(&mut self, piece: &[u8]) -> bool {
        let mode = *self.mode.borrow_and_update();
        match mode {
            Mode::Cut => {
                self.reset();
                return false;
            }
            Mode::Silent => return true,
            dropped if dropped == self.dropped => return true,
            Mode::Delay { millis } => {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                if self.is_dropped() {
                    return true;
                }
            }
            _ => {}
        }
        self.to.write_all(piece).await.is_ok()
    }

    /// Returns whether the current mode drops bytes of this direction.
    fn is_dropped(&self) -> bool {
        let mode = *self.mode.borrow();
        mode == Mode::Silent || mode == self.dropped
    }

    fn reset(&self) {
        reset(self.from.as_ref());
        reset(self.to.as_ref());
    }
}

/// Makes `stream` send a reset when it is closed.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Runs a relay with an HTTP control port (`PUT /mode`, `GET /health`) until `cancel`.
///
/// # Errors
/// When an address cannot be bound.
pub async fn serve(
    addr: SocketAddr,
    target: SocketAddr,
    control: SocketAddr,
    cancel: CancellationToken,
) -> anyhow::Result<()> {
    let relay = Relay::start(addr, target, cancel.clone()).await?;
    let app = Route::new()
        .at("/health", get(health))
        .at("/mode", poem::put(set_mode))
        .data(relay);
    serve_app(app, control, cancel).await
}

#[handler]
fn health() -> StatusCode {
    StatusCode::OK
}

#[handler]
fn set_mode(Data(relay): Data<&Relay>, Json(request): Json<ModeRequest>) -> StatusCode {
    if let Some(mode) = request.new {
        relay.set_new(mode);
    }
    if let Some(mode) = request.open {
        relay.set_open(mode);
    }
    StatusCode::NO_CONTENT
}
