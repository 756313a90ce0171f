//! A small deployment on loopback addresses: the store, the project's programs as processes, and
//! texts in the platform's format.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record, store::Store};

pub const HOST: &str = "ficu95.example";
pub const API_KEY: &str = "n2ctnfzs989anu6wsjnb";
const TENANT: &str = "hule930";

const FRONT_PORT: u16 = 8227;
const READINESS_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const DIRECTORY_PORT: u16 = 8224;
const METRICS_PORT: u16 = 9464;
const STORE_PORT: u16 = 8223;
/// Port of all servers.
pub const SERVER_PORT: u16 = 8080;

/// First start of the servers, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_790_000_000_000;

/// Interval at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Longest time until all entries are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const ZONES: [&str; 3] = ["nam-a", "nam-b", "nam-c"];

/// Returns the zone of the machine or server with an index.
pub fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// A process that is killed when this value is dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -s {name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Deployment {
    pub store: Store,
    pub record: Record,
    root: PathBuf,
    dir: PathBuf,
    entry_ips: Vec<IpAddr>,
}

impl Deployment {
    /// Starts the store. `root` is the repository, `dir` a folder for settings and logs.
    pub fn start(root: PathBuf, dir: PathBuf, record: Record) -> Self {
        let store = Store::start(SocketAddr::new(ip(1), STORE_PORT));
        Self {
            store,
            record,
            root,
            dir,
            entry_ips: Vec::new(),
        }
    }

    /// Starts entries with the command of the deploy file.
    pub fn start_entries(&mut self, count: usize) -> Vec<Process> {
        self.entry_ips = (0..count).map(|it| ip(10 + it as u8)).collect();
        let ips = self.entry_ips.clone();
        let start = |(index, ip): (usize, &IpAddr)| self.start_entry(index, *ip);
        ips.iter().enumerate().map(start).collect()
    }

    fn start_entry(&self, index: usize, ip: IpAddr) -> Process {
        let listen = format!(
            "[listen]\nfront = \"{ip}:{FRONT_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n\
             directory = \"{ip}:{DIRECTORY_PORT}\"\ncontrol = \"{ip}:{CONTROL_PORT}\"\n"
        );
        let fields = "role = \"entry\"\nmachineClass = \"edge\"\n\
                      serves = [\"edge\",\"directory\",\"control_plane\"]\n";
        let limits = "cpuShare = 0.25\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n";
        let settings = self.settings(index, ip, fields, &listen, limits);
        self.start_program(
            &format!("edge-{index}"),
            "jujubejunction front",
            ip,
            &settings,
        )
    }

    /// Starts the agent beside a server of a service with the command of the deploy file.
    pub fn start_agent(&self, index: usize, server: SocketAddr, service: &str) -> Process {
        let fields = format!(
            "role = \"agent\"\nmachineClass = \"side\"\nserves = [\"side\"]\n\
             app = \"{server}\"\nservice = \"{service}\"\n"
        );
        let limits = "cpuShare = 0.15\nmemoryMb = 128\nmaxFds = 2048\nlinkMbps = 20.0\n";
        let settings = self.settings(index, server.ip(), &fields, "[listen]\n", limits);
        let name = format!("side-{index}");
        self.start_program(&name, "jujube-agent balance", server.ip(), &settings)
    }

    fn start_program(&self, name: &str, command: &str, ip: IpAddr, settings: &str) -> Process {
        let settings_path = self.dir.join(format!("{name}.toml"));
        fs::write(&settings_path, settings).expect("write the settings");
        let log = self.dir.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("open the log");
        let line = format!(
            "target/release/{command} --log-level debug --metrics-addr {ip}:{METRICS_PORT}"
        );
        let mut words = line.split(' ');
        let program = self.root.join(words.next().unwrap_or(""));
        let mut process = Command::new(program);
        process.args(words).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                process.env(name, value);
            }
        }
        process.env("JUJUBEJUNCTION_CONFIG", &settings_path);
        process
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        let child = process
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{line}: {error}")));
        self.record.line(&format!("started {name} at {ip}: {line}"));
        Process { child }
    }

    /// Returns a settings file in the platform's format, with the figures of the small site.
    fn settings(
        &self,
        index: usize,
        ip: IpAddr,
        fields: &str,
        listen: &str,
        limits: &str,
    ) -> String {
        let seeds = self.entry_ips.iter().take(3);
        let seeds: Vec<String> = seeds.map(|it| format!("\"{it}:{CONTROL_PORT}\"")).collect();
        let seeds = seeds.join(",");
        let zone = zone(index);
        let store = SocketAddr::new(crate::deployment::ip(1), STORE_PORT);
        format!(
            "nodeName = \"machine-{ip}\"\n{fields}ip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"nam-central\"\ninternalPorts = [7340,7355]\nseeds = [{seeds}]\n\
             bootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\n\
             entry = \"directory\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"places\",\"platform\",\"experts\"]\n\
             [zones]\nnam-a = \"nam-central\"\nnam-b = \"nam-central\"\nnam-c = \"nam-central\"\n\
             {listen}[limits]\n{limits}cores = 1\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\n\
             catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\n\
             rollbackSlackMs = 250\nouterMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 94\ncoldOverage = 1.5\n\
             coldSlack = 5\nevacuateMs = 5000\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\n\
             stall_ms = 1500\nrequireFence = true\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"read\"\nwritesPerS = 400\n\
             readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n"
        )
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        for ip in &self.entry_ips {
            let addr = SocketAddr::new(*ip, READINESS_PORT);
            let request = get_request("/jujubejunction/ready");
            while http::call(addr, &request, Duration::from_secs(1)).status != 200 {
                if Instant::now() > deadline {
                    cannot_run("the entries did not become ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all entries are ready");
    }

    /// Returns the address at which an entry takes requests.
    pub fn front_addr(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.entry_ips[index], FRONT_PORT)
    }

    /// Asks the directory where to connect, as a client does.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        let path = format!("/jujubejunction/resolve?name={HOST}&region=nam-central&zone=nam-a");
        for ip in &self.entry_ips {
            let addr = SocketAddr::new(*ip, DIRECTORY_PORT);
            let answer = http::call(addr, &get_request(&path), Duration::from_secs(1));
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let Some(body) = crate::json::parse(&text) else {
                continue;
            };
            let addresses = body.get("addresses").list().iter();
            let addresses: Vec<SocketAddr> =
                addresses.filter_map(|it| it.text().parse().ok()).collect();
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }

    /// Has a server write its entry into the store at each heartbeat until `entry` returns `None`;
    /// its argument is the number of the entry. A silent server is removed after three heartbeats.
    pub fn register(
        &self,
        id: &str,
        entry: impl Fn(u64) -> Option<String> + Send + Sync + 'static,
    ) -> Registration {
        let registration = Registration {
            store: self.store.clone(),
            key: format!("servers/{id}"),
            sequence: Arc::default(),
            entry: Arc::new(entry),
        };
        let repeated = registration.clone();
        thread::spawn(move || {
            while repeated.write() {
                thread::sleep(HEARTBEAT);
            }
            thread::sleep(HEARTBEAT * 2);
            repeated.store.remove(&repeated.key);
        });
        registration
    }
}

/// What a server writes into the store about itself.
#[derive(Clone)]
pub struct Registration {
    store: Store,
    key: String,
    sequence: Arc<AtomicU64>,
    entry: Arc<dyn Fn(u64) -> Option<String> + Send + Sync>,
}

impl Registration {
    /// Writes the entry now; returns false if the server writes nothing any more.
    pub fn write(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = (self.entry)(sequence);
        if let Some(entry) = &entry {
            self.store.put(&self.key, entry);
        }
        entry.is_some()
    }
}

/// Ends the script with the status for a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    println!("could not run: {reason}");
    std::process::exit(2);
}

/// Returns a loopback address of this run.
pub fn ip(host: u8) -> IpAddr {
    let process = std::process::id();
    let second = 16 + (process % 200) as u8;
    let third = 1 + (process / 200 % 250) as u8;
    Ipv4Addr::new(127, second, third, host).into()
}

/// Returns a call without a body.
fn get_request(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n").into_bytes()
}

/// Returns a client's request; `connection` is the value of its `Connection` header.
pub fn client_request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    connection: &str,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nJujubejunction-Request-Id: {id}\r\n\
         Api-Key: {API_KEY}\r\nJujubejunction-Deadline-Ms: {deadline_ms}\r\n\
         Connection: {connection}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns the entry that a server writes about itself; `life` counts its earlier starts.
pub fn server_entry(
    service: &str,
    addr: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    sequence: u64,
    life: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\
         \"stage\":\"hybrid\",\"models\":[],\"sequence\":{sequence},\"born\":{}}}",
        FIRST_START_MS + life * 1_000
    )
}

/// Returns a route of a configuration; `more` are further fields, each after a comma.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, more: &str) -> String {
    format!(
        "{{\"name\":\"r{}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":400,\"priority\":1,\
         \"service\":\"{service}\",\"maxAttempts\":2,\"anonymous\":false{more}}}",
        prefix.replace('/', "-")
    )
}

/// Returns a service of a configuration; `more` are further fields, each after a comma.
pub fn service(name: &str, max_connections: u32, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\
         \"maxConnections\":{max_connections},\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":0.0,\"coldPerS\":0.0{more}}}"
    )
}

/// Returns a configuration.
pub fn configuration(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{API_KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}
