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

/// Bytes read at once from one side.
const BUFFER: usize = 16 * 1024;

common_derives! {wire:
    /// What the relay does with connections.
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
        /// Forwards each piece after a delay.
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
        /// For connections that are open at this moment.
        #[serde(default)]
        pub open: Option<Mode>,
        /// For connections that come.
        #[serde(default)]
        pub new: Option<Mode>,
    }
}

/// Steers a running relay.
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

/// One direction of a connection.
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

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the mode of all connections, open and new.
    pub fn set(&self, mode: Mode) {
        self.set_new(mode);
        self.set_open(mode);
    }

    /// Sets the mode of connections that are open at this moment.
    pub fn set_open(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.open.retain(|connection| !connection.is_closed());
        for connection in &state.open {
            connection.send_replace(mode);
        }
    }

    /// Sets the mode of connections that come.
    pub fn set_new(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.new = mode;
    }

    /// Connections accepted up to now.
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
        let mut buffer = vec![0; BUFFER];
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

    /// Passes one piece on as the mode says; false when the connection is at its end.
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

    /// Whether what is on its way is lost now.
    fn is_dropped(&self) -> bool {
        let mode = *self.mode.borrow();
        mode == Mode::Silent || mode == self.dropped
    }

    fn reset(&self) {
        reset(self.from.as_ref());
        reset(self.to.as_ref());
    }
}

/// Makes the close of `stream` a reset.
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
