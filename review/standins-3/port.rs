//! A listening port with a thread for each connection, which can be closed with all of them.

use std::{
    io,
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Pause between two checks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// An open port; clones share it.
#[derive(Clone, Default)]
pub struct Port {
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Port {
    /// Listens on a free port and serves each connection in a thread of its own.
    pub fn open(
        ip: IpAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> io::Result<(SocketAddr, Self)> {
        Self::open_at(SocketAddr::new(ip, 0), serve)
    }

    /// Listens on an address, as [`Self::open`] does.
    pub fn open_at(
        addr: SocketAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> io::Result<(SocketAddr, Self)> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let port = Self::default();
        let accepting = port.clone();
        thread::spawn(move || accepting.accept(&listener, &Arc::new(serve)));
        Ok((addr, port))
    }

    fn accept<F: Fn(TcpStream) + Send + Sync + 'static>(
        &self,
        listener: &TcpListener,
        serve: &Arc<F>,
    ) {
        while !self.is_closed() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let copy = stream
                .set_nonblocking(false)
                .and_then(|()| stream.set_nodelay(true))
                .and_then(|()| stream.try_clone());
            let Ok(copy) = copy else {
                continue;
            };
            self.streams.lock().unwrap().push(copy);
            let serve = Arc::clone(serve);
            thread::spawn(move || serve(stream));
        }
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        thread::sleep(4 * ACCEPT_PAUSE);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }
}
