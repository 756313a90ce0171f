//! A stand-in of a group of model servers that execute each pass together: reports, counts of chosen
//! experts, orders, and event streams with one event a pass.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    json::{self, Json},
    record::Record,
    streams,
};

/// Sets of layers.
pub const SETS: usize = 2;
/// Experts of each set.
pub const EXPERTS: usize = 18;
/// Experts of a set that a rank can hold.
pub const PLACEMENTS: usize = 5;
/// Experts of a set that may be new to a rank in one order.
pub const SPARE: usize = 2;
/// Time in which a rank copies one expert: 2,500 MB over 180,000 Mbit/s.
const COPY_TIME: Duration = Duration::from_millis(111);
/// Time between the starts of two passes.
const PASS_TIME: Duration = Duration::from_millis(40);

/// Experts by set and rank.
type Map = Vec<Vec<Vec<u32>>>;

struct Rank {
    sequence: u64,
    fence: u64,
    highest_version: u64,
    version: u64,
    map: Map,
    /// Version, map, and when its copy is complete.
    prepared: Option<(u64, Map, Instant)>,
    /// Version and the pass with which it comes into force.
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
    running: usize,
}

struct State {
    pass: u64,
    ranks: Vec<Rank>,
    /// How often a pass chooses each expert.
    demand: Vec<u64>,
    passes_with_two_maps: u64,
    switches: u64,
}

/// A group.
#[derive(Clone)]
pub struct Group {
    pub name: &'static str,
    pub servers: Vec<(String, SocketAddr)>,
    state: Arc<Mutex<State>>,
    pass_begun: Arc<Condvar>,
    record: Record,
}

impl Group {
    /// Starts the servers of a group, each with its id and address; their order gives the ranks.
    pub fn start(name: &'static str, servers: Vec<(String, SocketAddr)>, record: Record) -> Self {
        let size = servers.len();
        let first: Vec<Vec<u32>> = (0..size)
            .map(|rank| (rank as u32..EXPERTS as u32).step_by(size).collect())
            .collect();
        let rank = || Rank {
            sequence: 0,
            fence: 0,
            highest_version: 0,
            version: 0,
            map: vec![first.clone(); SETS],
            prepared: None,
            armed: None,
            held: None,
            counts: vec![0; SETS * EXPERTS],
            running: 0,
        };
        let state = State {
            pass: 0,
            ranks: (0..size).map(|_| rank()).collect(),
            demand: vec![40; EXPERTS],
            passes_with_two_maps: 0,
            switches: 0,
        };
        let group = Self {
            name,
            servers,
            state: Arc::new(Mutex::new(state)),
            pass_begun: Arc::default(),
            record,
        };
        for rank in 0..size {
            group.listen(rank);
        }
        let passes = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(PASS_TIME);
                passes.begin_pass();
            }
        });
        group
    }

    /// Returns the last pass, how many maps have come into force, and how many passes began while
    /// two ranks had different maps.
    pub fn sums(&self) -> (u64, u64, u64) {
        let state = self.state.lock().unwrap();
        (state.pass, state.switches, state.passes_with_two_maps)
    }

    /// Has two experts chosen ten times as often as the others.
    pub fn shift_demand(&self, experts: [usize; 2]) {
        let chosen = |expert| if experts.contains(&expert) { 400 } else { 40 };
        self.state.lock().unwrap().demand = (0..EXPERTS).map(chosen).collect();
    }

    /// Begins the next pass, unless the group has no work or a rank holds the pass.
    fn begin_pass(&self) {
        let mut state = self.state.lock().unwrap();
        let next = state.pass + 1;
        let is_idle = state.ranks.iter().all(|it| it.running == 0);
        if is_idle || state.ranks.iter().any(|it| it.held == Some(next)) {
            return;
        }
        state.pass = next;
        let demand = state.demand.clone();
        let before = state.ranks[0].version;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|(_, step)| step == next) {
                rank.armed = None;
                if let Some((version, map, _)) = rank.prepared.take() {
                    (rank.version, rank.map) = (version, map);
                }
            }
            for (index, count) in rank.counts.iter_mut().enumerate() {
                *count += demand[index % EXPERTS];
            }
        }
        let first = &state.ranks[0];
        let is_mixed = state
            .ranks
            .iter()
            .any(|it| it.version != first.version || it.map != first.map);
        let versions: Vec<u64> = state.ranks.iter().map(|it| it.version).collect();
        state.switches += u64::from(versions[0] != before);
        state.passes_with_two_maps += u64::from(is_mixed);
        if is_mixed && state.passes_with_two_maps <= 20 {
            let name = self.name;
            self.record.line(&format!(
                "group {name} begins pass {next} while its ranks have maps {versions:?}"
            ));
        } else if versions[0] != before {
            self.record.line(&format!(
                "group {} uses map {} from pass {next}",
                self.name, versions[0]
            ));
        }
        self.pass_begun.notify_all();
    }

    fn listen(&self, rank: usize) {
        let listener = TcpListener::bind(self.servers[rank].1).expect("bind a server");
        let group = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = group.clone();
                thread::spawn(move || drop(group.serve(rank, stream)));
            }
        });
    }

    fn serve(&self, rank: usize, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_request_body(&mut reader, &head)?;
            let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
            let (status, text) = match path {
                "/jujubejunction/report" => (200, self.report(rank)),
                "/jujubejunction/picked" => (200, self.picked(rank, query.contains("lists"))),
                "/jujubejunction/order" => (self.order(rank, &body), "{}".to_owned()),
                _ if head.get("jujubejunction-target-instance") != self.servers[rank].0 => {
                    (421, "{}".to_owned())
                }
                _ => {
                    self.answer_stream(rank, &mut stream, &head)?;
                    continue;
                }
            };
            let length = text.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{text}"
            );
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    /// Writes one event of a stream with each pass.
    fn answer_stream(&self, rank: usize, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let request = head.get("jujubejunction-request-id");
        let after: u64 = head.get("last-event-id").parse().unwrap_or(0);
        let last = streams::pieces_asked(head.word(1));
        self.record
            .line(&format!("server {} runs {request}", self.servers[rank].0));
        self.state.lock().unwrap().ranks[rank].running += 1;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nJujubejunction-Request-Id: {request}\r\n\
             Jujubejunction-Response-Signature: {rank}.{request}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut written = stream.write_all(answer.as_bytes());
        let mut seen = self.state.lock().unwrap().pass;
        for piece in after + 1..=last {
            let mut state = self.state.lock().unwrap();
            while state.pass == seen {
                state = self.pass_begun.wait(state).unwrap();
            }
            seen = state.pass;
            drop(state);
            if written.is_ok() {
                written = stream.write_all(&streams::chunk(&streams::event(request, piece)));
            } else {
                break;
            }
        }
        self.state.lock().unwrap().ranks[rank].running -= 1;
        written?;
        stream.write_all(b"0\r\n\r\n")
    }

    fn report(&self, rank: usize) -> String {
        let state = self.state.lock().unwrap();
        let (pass, size) = (state.pass, state.ranks.len());
        let it = &state.ranks[rank];
        let is_copied = |copied: &Instant| Instant::now() >= *copied;
        let prepared = it
            .prepared
            .as_ref()
            .filter(|(_, _, copied)| is_copied(copied));
        let prepared = prepared.map_or("null".to_owned(), |(version, ..)| version.to_string());
        let armed = it.armed.map_or("null".to_owned(), |(version, step)| {
            format!("{{\"version\":{version},\"step\":{step}}}")
        });
        let held = it.held.map_or("null".to_owned(), |step| step.to_string());
        format!(
            "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":{},\"waiting\":0,\"runningCount\":{},\"kvUsed\":0,\
             \"kvTotal\":494000,\"handles\":0,\"pace\":1.0,\"born\":1790000000000,\
             \"group\":{{\"name\":\"{}\",\"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\
             \"size\":{size},\"step\":{pass},\"map\":{},\"prepared\":{prepared},\
             \"armed\":{armed},\"held\":{held}}}",
            it.sequence, it.running, self.name, it.version
        )
    }

    fn picked(&self, rank: usize, with_lists: bool) -> String {
        let state = self.state.lock().unwrap();
        let it = &state.ranks[rank];
        if !with_lists {
            let counts = number_list(&it.counts);
            return format!(
                "{{\"step\":{},\"epoch\":1,\"counts\":{counts}}}",
                state.pass
            );
        }
        let sets: Vec<String> = it.map.iter().map(|set| number_list(&set[rank])).collect();
        format!(
            "{{\"step\":{},\"epoch\":1,\"map\":{{\"version\":{},\"experts\":[{}]}},\
             \"prepared\":null}}",
            state.pass,
            it.version,
            sets.join(",")
        )
    }

    /// Executes an order; returns the status of its answer.
    fn order(&self, rank: usize, body: &[u8]) -> u16 {
        let Some(order) = json::parse(&String::from_utf8_lossy(body)) else {
            return 400;
        };
        let number = |name: &str| order.get(name).number().unwrap_or(0);
        let (version, step) = (number("version"), number("step"));
        let operation = order.get("operation").text();
        let mut state = self.state.lock().unwrap();
        let pass = state.pass;
        let it = &mut state.ranks[rank];
        if number("fencingToken") < it.fence {
            return 412;
        }
        it.fence = number("fencingToken");
        let is_of_epoch = order.get("epoch").number().is_none_or(|epoch| epoch == 1);
        let expected = order.get("expectedRev").number();
        if !is_of_epoch || expected.is_some_and(|expected| expected != it.sequence) {
            return 409;
        }
        let holds_already = match operation {
            "prepare" => it
                .prepared
                .as_ref()
                .is_some_and(|(known, ..)| *known == version),
            "arm" => it.armed == Some((version, step)),
            "disarm" => it.armed.is_none() && it.version != version,
            "hold" => it.held == Some(step),
            "go" => it.held.is_none(),
            _ => return 400,
        };
        if holds_already {
            return 200;
        }
        let begins = match operation {
            "prepare" => it.prepare(rank, version, order.get("map")),
            "arm" => it.arm(version, step, pass),
            "disarm" => it.armed.take_if(|(armed, _)| *armed == version).is_some(),
            "hold" if it.held.is_none() && step > pass => {
                it.held = Some(step);
                true
            }
            "go" => it.held.take_if(|held| *held == step).is_some(),
            _ => false,
        };
        it.sequence += u64::from(begins);
        let status = if begins { 202 } else { 409 };
        let (id, token) = (&self.servers[rank].0, number("fencingToken"));
        self.record.line(&format!(
            "server {id} (group {}, rank {rank}) answers {status}: {operation} version {version} \
             step {step} token {token}",
            self.name
        ));
        status
    }
}

impl Rank {
    fn prepare(&mut self, rank: usize, version: u64, map: &Json) -> bool {
        let map: Map = map
            .list()
            .iter()
            .map(|set| set.list().iter().map(experts).collect())
            .collect();
        let is_whole = map.len() == SETS
            && map.iter().all(|set| {
                set.len() == self.map[0].len()
                    && set.iter().all(|it: &Vec<u32>| it.len() <= PLACEMENTS)
                    && (0..EXPERTS as u32).all(|expert| set.iter().any(|it| it.contains(&expert)))
            });
        if version <= self.highest_version || self.armed.is_some() || !is_whole {
            return false;
        }
        let new = (0..SETS).map(|set| {
            let held = &self.map[set][rank];
            map[set][rank]
                .iter()
                .filter(|it| !held.contains(it))
                .count()
        });
        let new: Vec<usize> = new.collect();
        if new.iter().any(|it| *it > SPARE) {
            return false;
        }
        let copied = Instant::now() + COPY_TIME * new.iter().sum::<usize>() as u32;
        self.highest_version = version;
        self.prepared = Some((version, map, copied));
        true
    }

    fn arm(&mut self, version: u64, step: u64, pass: u64) -> bool {
        let is_prepared = self.prepared.as_ref();
        let is_prepared = is_prepared
            .is_some_and(|(known, _, copied)| *known == version && Instant::now() >= *copied);
        if !is_prepared || step <= pass || self.armed.is_some() {
            return false;
        }
        self.armed = Some((version, step));
        true
    }
}

/// Returns the experts in a list.
fn experts(list: &Json) -> Vec<u32> {
    let numbers = list.list().iter().filter_map(Json::number);
    numbers.map(|it| it as u32).collect()
}

fn number_list<T: ToString>(numbers: &[T]) -> String {
    let texts: Vec<String> = numbers.iter().map(T::to_string).collect();
    format!("[{}]", texts.join(","))
}
