//! A stand-in of the platform's store that is always up: reads of all items and watches.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Most items of one page of a read.
const PAGE_ITEMS: usize = 500;

struct Item {
    value: Vec<u8>,
    revision: u64,
}

/// A change of an item; `None` stands for its removal.
struct Change {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts a store that listens at an address.
    pub fn start(addr: SocketAddr) -> Self {
        let store = Self::default();
        store.state.lock().unwrap().revision = 100;
        let listener = TcpListener::bind(addr).expect("bind the store");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.as_bytes().to_vec()));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                let item = Item {
                    value: value.clone(),
                    revision,
                };
                state.items.insert(key.to_owned(), item);
            }
            None => drop(state.items.remove(key)),
        }
        state.history.push(Change {
            key: key.to_owned(),
            value,
            revision,
        });
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(read_half) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
            let get = |name: &str| {
                let pairs = query.split('&').filter_map(|it| it.split_once('='));
                let value = pairs
                    .filter(|(it, _)| *it == name)
                    .map(|(_, value)| value)
                    .next();
                value.unwrap_or("").replace("%2F", "/")
            };
            let body = match path {
                "/jujubejunction/kv-range" => self.range(&get("pathPrefix"), &get("afterRev")),
                "/jujubejunction/kv-watch" => {
                    let after = get("afterRev").parse().unwrap_or(0);
                    let wait = Duration::from_millis(get("waitMs").parse().unwrap_or(0));
                    self.watch(&get("pathPrefix"), after, wait)
                }
                _ => "{}".to_owned(),
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let texts: Vec<String> = items
            .map(|(key, item)| item_text(key, &item.value, item.revision))
            .collect();
        let has_more = texts.len() > PAGE_ITEMS;
        let page = &texts[..texts.len().min(PAGE_ITEMS)];
        let items = page.join(",");
        format!(
            "{{\"items\":[{items}],\"hasMore\":{has_more},\"at\":{}}}",
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state.history.iter();
            let new = new.filter(|it| it.revision > after && it.key.starts_with(prefix));
            let events: Vec<String> = new.map(event_text).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"at\":{}}}", state.revision);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_text(key: &str, value: &[u8], revision: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{revision},\"lease\":0}}"
    )
}

fn event_text(change: &Change) -> String {
    match &change.value {
        Some(value) => item_text(&change.key, value, change.revision),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
            change.key, change.revision
        ),
    }
}

/// Encodes bytes as standard base64 text with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*group.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = bits >> (18 - 6 * digit) & 63;
            let is_padding = digit > group.len();
            text.push(if is_padding {
                '='
            } else {
                DIGITS[value as usize] as char
            });
        }
    }
    text
}
