//! A small deployment on loopback addresses: entries as processes of their own, a store and servers.

use std::{
    collections::HashMap,
    fs::{self, File, OpenOptions},
    io::{self, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Head, wait_until},
    port::Port,
    store::{Store, StoreAddress},
};

pub const HOST: &str = "ficu95.example";
pub const API_KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Key of the same tenant that a case may take away.
pub const OTHER_KEY: &str = "w7m0xkq2ehv41udz8tpa";
pub const ZONE: &str = "nam-a";
/// Services of the deployment.
pub const DESK: &str = "lohu930";
pub const OTHER_DESK: &str = "xano55b";

const FRONT_PORT: u16 = 8_227;
const READINESS_PORT: u16 = 8_220;
const CONTROL_PORT: u16 = 8_229;
const DIRECTORY_PORT: u16 = 8_224;
const METRICS_PORT: u16 = 9_464;
const INTERNAL_PORTS: (u16, u16) = (7_340, 7_355);

/// Time within which an entry has to say that it is ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Writes what happens, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
            start: Instant::now(),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// A request as a server received it.
pub struct Received<'a> {
    pub head: &'a Head,
    pub body: &'a [u8],
    pub at: Instant,
}

impl Received<'_> {
    pub fn id(&self) -> &str {
        self.head
            .get("jujubejunction-request-id")
            .unwrap_or_default()
    }

    /// Returns a response of this server with a status and more header lines.
    pub fn response(&self, status: &str, more: &str, body: &str) -> Vec<Step> {
        let length = format!("Content-Length: {}", body.len());
        let head = self.head(status, &format!("{more}{length}\r\n"));
        vec![Step::Send(format!("{head}{body}").into_bytes())]
    }

    /// Returns the head of a response of this server with a status and more header lines.
    pub fn head(&self, status: &str, more: &str) -> String {
        let id = self.id();
        format!(
            "HTTP/1.1 {status}\r\nJujubejunction-Request-Id: {id}\r\n\
             Jujubejunction-Response-Signature: 3e1b.07.{id}\r\n{more}\r\n"
        )
    }
}

/// Step of a response.
pub enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Runs something, for instance what ends the server.
    Run(Box<dyn Fn()>),
}

/// Returns the steps of the response to a request.
pub type Handler = Arc<dyn Fn(&Received) -> Vec<Step> + Send + Sync>;

/// A server that runs in this process. A request for another instance is answered 421.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: &'static str,
    born: u128,
    port: Port,
}

impl Server {
    pub fn start(
        ip: IpAddr,
        service: &'static str,
        id: &str,
        handler: Handler,
    ) -> io::Result<Self> {
        Self::start_at(SocketAddr::new(ip, 0), service, id, handler)
    }

    /// Starts a server at an address, for instance again after its end.
    pub fn start_at(
        addr: SocketAddr,
        service: &'static str,
        id: &str,
        handler: Handler,
    ) -> io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let own = id.to_owned();
        let (addr, port) = Port::open_at(addr, move |stream| {
            let _ = serve(stream, &own, &handler);
        })?;
        Ok(Self {
            id: id.to_owned(),
            addr,
            service,
            born: born.map_err(io::Error::other)?.as_millis(),
            port,
        })
    }

    /// Ends the server as a process that exits: its port and its connections are closed, with whatever
    /// is in progress.
    pub fn end(&self) {
        self.port.close();
    }

    pub fn has_ended(&self) -> bool {
        self.port.is_closed()
    }

    /// Returns the server's key in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the server's entry for the store; `more` are its state, slots and cold time.
    pub fn entry(&self, sequence: u64, more: &str) -> String {
        let (service, addr, born) = (self.service, self.addr, self.born);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{ZONE}\",\
             \"version\":\"v1\",\"sequence\":{sequence},\"born\":{born},{more}}}"
        )
    }

    /// Returns the entry of a warm server that takes requests.
    pub fn ready_entry(&self, sequence: u64) -> String {
        self.entry(
            sequence,
            "\"state\":\"ready\",\"slots\":6,\"coldRemainingMs\":0",
        )
    }
}

fn serve(stream: TcpStream, id: &str, handler: &Handler) -> Option<()> {
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut reader) {
        let at = Instant::now();
        let body = http::read_body(&mut reader, &head, false).ok()?;
        let received = Received {
            head: &head,
            body: &body,
            at,
        };
        let target = head.get("jujubejunction-target-instance");
        let steps = match target.is_none_or(|it| it == id) {
            true => handler(&received),
            false => received.response(
                "421 Misdirected Request",
                "Jujubejunction-Not-Executed: 1\r\n",
                "",
            ),
        };
        for step in steps {
            match step {
                Step::Send(bytes) => reader.get_mut().write_all(&bytes).ok()?,
                Step::Pause(time) => thread::sleep(time),
                Step::Run(it) => it(),
            }
        }
    }
    Some(())
}

/// An entry, which is killed on drop.
pub struct Entry {
    child: Child,
    pub ip: IpAddr,
    pub front: SocketAddr,
}

impl Entry {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let process = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &process]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("a signal can't be sent")),
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Addresses, folder and processes of one run.
pub struct Deployment {
    pub store: Store,
    /// Address at which the entries that are started read the store.
    pub store_address: StoreAddress,
    /// Addresses of the same store for single entries, where these have one of their own.
    pub own_store_addresses: HashMap<IpAddr, SocketAddr>,
    pub record: Record,
    pub entries: Vec<Entry>,
    folder: PathBuf,
    repository: PathBuf,
    next_ip: u8,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a loopback address of this run.
fn own_ip(number: u8) -> IpAddr {
    let process = std::process::id();
    let (high, low) = (20 + process % 200, process / 200 % 250);
    Ipv4Addr::new(127, high as u8, low as u8, number).into()
}

impl Deployment {
    pub fn new(repository: &Path, record: Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        Ok(Self {
            store_address: store.listen(own_ip(1))?,
            own_store_addresses: HashMap::new(),
            store,
            record,
            entries: Vec::new(),
            folder,
            repository: repository.to_owned(),
            next_ip: 2,
        })
    }

    pub fn allocate_ip(&mut self) -> IpAddr {
        self.next_ip += 1;
        own_ip(self.next_ip)
    }

    /// Starts entries that know each other, and waits until they are ready.
    pub fn start_entries(&mut self, count: usize) -> io::Result<()> {
        let ips: Vec<IpAddr> = (0..count).map(|_| self.allocate_ip()).collect();
        self.start_entries_at(&ips)
    }

    /// Starts entries at addresses, as [`Self::start_entries`] does.
    pub fn start_entries_at(&mut self, ips: &[IpAddr]) -> io::Result<()> {
        for ip in ips {
            let entry = self.start_entry(*ip, ips)?;
            self.entries.push(entry);
        }
        for entry in &self.entries {
            let request =
                b"GET /jujubejunction/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let addr = SocketAddr::new(entry.ip, READINESS_PORT);
            let is_ready = || {
                let answer = http::send_once(addr, request, Duration::from_secs(1));
                answer.is_ok_and(|it| it.status == 200)
            };
            if !wait_until(START_LIMIT, is_ready) {
                return Err(io::Error::other("an entry is not ready in time"));
            }
            self.record.note(&format!("entry {} is ready", entry.ip));
        }
        Ok(())
    }

    /// Starts an entry again if it has exited; returns whether it had.
    pub fn start_again_if_exited(&mut self, index: usize) -> io::Result<bool> {
        if self.entries[index].child.try_wait()?.is_none() {
            return Ok(false);
        }
        let ips: Vec<IpAddr> = self.entries.iter().map(|it| it.ip).collect();
        self.entries[index] = self.start_entry(ips[index], &ips)?;
        self.record
            .note(&format!("entry {} is started again", ips[index]));
        Ok(true)
    }

    fn start_entry(&self, ip: IpAddr, all: &[IpAddr]) -> io::Result<Entry> {
        for port in [
            FRONT_PORT,
            READINESS_PORT,
            CONTROL_PORT,
            DIRECTORY_PORT,
            METRICS_PORT,
        ] {
            TcpListener::bind((ip, port))?;
        }
        UdpSocket::bind((ip, INTERNAL_PORTS.0))?;
        let path = self.write_settings(ip, all)?;
        let log = self.folder.join(format!("{ip}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        // The command of the role `entry` in deploy/system.toml.
        let child = Command::new(self.repository.join("target/release/jujubejunction"))
            .args(["front", "--log-level", "debug", "--metrics-addr"])
            .arg(format!("{ip}:{METRICS_PORT}"))
            .current_dir(&self.repository)
            .env("JUJUBEJUNCTION_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Entry {
            child,
            ip,
            front: SocketAddr::new(ip, FRONT_PORT),
        })
    }

    /// Writes the settings file of an entry, with the present address of the store.
    fn write_settings(&self, ip: IpAddr, all: &[IpAddr]) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{ip}.toml"));
        let own = self.own_store_addresses.get(&ip);
        fs::write(
            &path,
            settings(ip, all, *own.unwrap_or(&self.store_address.addr)),
        )?;
        Ok(path)
    }

    /// Writes the settings of all entries anew and sends them SIGHUP.
    pub fn reload_settings(&self) -> io::Result<()> {
        let ips: Vec<IpAddr> = self.entries.iter().map(|it| it.ip).collect();
        for entry in &self.entries {
            self.write_settings(entry.ip, &ips)?;
            entry.signal("-HUP")?;
            self.record.note(&format!(
                "entry {} has new settings and gets SIGHUP",
                entry.ip
            ));
        }
        Ok(())
    }

    /// Returns the lines of an entry's log that hold a text.
    pub fn log_lines(&self, ip: IpAddr, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("{ip}.log"))).unwrap_or_default();
        let lines = log.lines().filter(|it| it.contains(text));
        lines.map(str::to_owned).collect()
    }
}

/// Returns the settings file of an entry, as `DEPLOY.md` shows it.
fn settings(ip: IpAddr, all: &[IpAddr], store: SocketAddr) -> String {
    let seeds = all.iter().take(3);
    let seeds = seeds.map(|it| format!("\"{it}:{CONTROL_PORT}\""));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let (first, last) = INTERNAL_PORTS;
    format!(
        r#"nodeName = "edge-{ip}"
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane","directory"]
ip = "{ip}"
zone = "{ZONE}"
region = "nam-central"
internalPorts = [{first},{last}]
seeds = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","experts"]
[zones]
{ZONE} = "nam-central"
[listen]
front = "{ip}:{FRONT_PORT}"
readiness = "{ip}:{READINESS_PORT}"
control = "{ip}:{CONTROL_PORT}"
directory = "{ip}:{DIRECTORY_PORT}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 94
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
requireFence = true
ttl_max_s = 5
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
    )
}

/// What differs among the configurations of the cases.
pub struct Config {
    pub version: u64,
    /// `maxHeaderBytes`.
    pub header_bytes: u32,
    /// Service of the route whose requests may run once.
    pub lodge_service: &'static str,
    /// Keys of the tenant.
    pub keys: &'static [&'static str],
}

impl Default for Config {
    fn default() -> Self {
        Self {
            version: 3,
            header_bytes: 8_192,
            lodge_service: DESK,
            keys: &[API_KEY],
        }
    }
}

/// Returns a configuration with an idempotent route (`/read/`), one whose requests may run once
/// (`/lodge/`), one of streams that can't be resumed (`/draft/`) and one of streams that can (`/chat/`).
pub fn config(config: &Config) -> String {
    let route = |path: &str, kind: &str, attempts: u32, service: &str| {
        format!(
            "{{\"name\":\"{path}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{path}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":4000,\"targetLatencyMs\":300,\"priority\":2,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"anonymous\":false}}"
        )
    };
    let stream = |path: &str, more: &str, attempts: u32| {
        let plain = "\"timeoutMs\":4000,\"targetLatencyMs\":300";
        let times = "\"timeoutMs\":8000,\"targetLatencyMs\":400,\"gapTargetMs\":120";
        let route = route(path, "streaming", attempts, DESK);
        route.replace(plain, &format!("{times}{more}"))
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":328,\
             \"coldStartS\":3.0,\"coldPerS\":36.0}}"
        )
    };
    let Config {
        version,
        header_bytes,
        lodge_service,
        keys,
    } = config;
    let keys = keys.iter().map(|it| format!("\"{it}\""));
    let keys = keys.collect::<Vec<_>>().join(",");
    let routes = [
        route("read", "idempotent", 2, DESK),
        route("lodge", "non_idempotent", 1, lodge_service),
        stream("draft", "", 1),
        stream("chat", ",\"streamResume\":true", 2),
    ];
    let (routes, services) = (
        routes.join(","),
        [service(DESK), service(OTHER_DESK)].join(","),
    );
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"maxHeaderBytes\":{header_bytes},\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[{keys}]}}]}}"
    )
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// A request of a client, with an id of its own.
pub struct Request {
    pub id: String,
    pub bytes: Vec<u8>,
}

impl Request {
    /// Returns a request with a deadline in milliseconds and more header lines.
    pub fn new(method: &str, path: &str, deadline_ms: u64, more: &str, body: &str) -> Self {
        let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let length = match body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nJujubejunction-Request-Id: {id}\r\n\
             Jujubejunction-Deadline-Ms: {deadline_ms}\r\nApi-Key: {API_KEY}\r\n{more}{length}\r\n{body}"
        );
        Self {
            id,
            bytes: text.into_bytes(),
        }
    }
}
