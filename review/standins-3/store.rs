//! A stand-in of the platform's store: items with revisions, range reads and watches. It is sound: it
//! loses nothing, answers at once and keeps all of its history.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    port::Port,
};

/// Most items in a page of a range read.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
    /// Changes by revision; no value for a removal.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Range reads and watches by the address at which they came in.
    calls: BTreeMap<(SocketAddr, &'static str), u32>,
    /// Answered calls: when they came, and at which address.
    answered: Vec<(Instant, SocketAddr)>,
}

/// A store that runs in this process.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// An address of the store, until it is closed.
pub struct StoreAddress {
    pub addr: SocketAddr,
    port: Port,
    is_refusing: Arc<AtomicBool>,
}

impl StoreAddress {
    /// Closes the port and its connections.
    pub fn close(&self) {
        self.port.close();
    }

    /// Answers each call at this address with 429 from now on.
    pub fn refuse(&self) {
        self.is_refusing.store(true, Ordering::SeqCst);
    }
}

impl Store {
    /// Opens an address of the store.
    pub fn listen(&self, ip: IpAddr) -> io::Result<StoreAddress> {
        let store = self.clone();
        let is_refusing = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&is_refusing);
        let (addr, port) = Port::open(ip, move |stream| {
            let _ = store.serve(stream, &flag);
        })?;
        Ok(StoreAddress {
            addr,
            port,
            is_refusing,
        })
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let (revision, value) = (state.revision, value.as_bytes().to_vec());
        let item = (value.clone(), revision);
        state.items.insert(key.to_owned(), item);
        state.history.push((revision, key.to_owned(), Some(value)));
        changed.notify_all();
    }

    /// Returns the calls answered since a moment: how many seconds after it, and at which address.
    pub fn answered_since(&self, moment: Instant) -> Vec<(f64, SocketAddr)> {
        let state = self.shared.0.lock().unwrap();
        let since = state.answered.iter().filter(|it| it.0 > moment);
        since
            .map(|it| ((it.0 - moment).as_secs_f64(), it.1))
            .collect()
    }

    /// Returns how often the store was read or watched at each address.
    pub fn calls(&self) -> String {
        let state = self.shared.0.lock().unwrap();
        let calls = state.calls.iter();
        let calls = calls.map(|((addr, call), count)| format!("{addr} {call} {count}"));
        calls.collect::<Vec<_>>().join(", ")
    }

    fn serve(&self, stream: TcpStream, is_refusing: &AtomicBool) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let at = stream.local_addr().ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let (status, body) = match is_refusing.load(Ordering::SeqCst) {
                true => (429, "{}".to_owned()),
                false => self.handle(at, &head),
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            reader.get_mut().write_all(text.as_bytes()).ok()?;
        }
        Some(())
    }

    fn handle(&self, at: SocketAddr, head: &Head) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, value.replace("%2F", "/")))
            .collect();
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/jujubejunction/kv-range" => {
                self.count(at, "range");
                (200, self.range(&get("pathPrefix"), &get("afterRev")))
            }
            "/jujubejunction/kv-watch" => {
                self.count(at, "watch");
                let wait = Duration::from_millis(get("waitMs").parse().unwrap_or_default());
                let after = get("afterRev").parse().unwrap_or_default();
                (200, self.watch(&get("pathPrefix"), after, wait))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn count(&self, at: SocketAddr, call: &'static str) {
        let mut state = self.shared.0.lock().unwrap();
        *state.calls.entry((at, call)).or_default() += 1;
        state.answered.push((Instant::now(), at));
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter();
        let items: Vec<_> = items
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        let items = items.into_iter().take(PAGE_ITEMS);
        let items = items.map(|(key, (value, revision))| item_json(key, value, *revision));
        let items = items.collect::<Vec<_>>().join(",");
        let at = state.revision;
        format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"at\":{at}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let (state, changed) = &*self.shared;
        let end = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|it| it.0 > after && it.1.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, value)| match value {
                    Some(value) => item_json(key, value, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"at\":{at}}}");
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, value: &[u8], revision: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{revision},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index > part.len() {
                '='
            } else {
                digit as char
            });
        }
    }
    text
}
