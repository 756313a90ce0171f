//! Child processes for tests and benchmarks: started, signalled by process id, killed on drop.

use std::{
    io::{BufRead, BufReader, Read},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use rustix::process::{Pid, Signal, kill_process};

/// Ports to listen on, below the range of ephemeral ports for outgoing connections.
const PORT_RANGE: std::ops::Range<u32> = 12_000..32_000;

/// Distance between the first ports of two test processes with consecutive process ids.
const PORTS_PER_PROCESS: u32 = 200;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Child process with its captured output; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: Arc<Mutex<String>>,
}

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time used since the start, user and system.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
}

/// Open file descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors {
    /// All of them.
    pub total: usize,
    /// Sockets and pipes among them.
    pub sockets_and_pipes: usize,
}

impl Process {
    /// Starts a program built beside this one, such as `jujube-agent`.
    ///
    /// # Errors
    /// When the program is not built or does not start.
    pub fn start(name: &str, program: &str, args: &[String]) -> anyhow::Result<Self> {
        let path = built_program(program)?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("start {}", path.display()))?;
        let log = Arc::new(Mutex::new(String::new()));
        if let Some(output) = child.stdout.take() {
            capture(output, Arc::clone(&log));
        }
        if let Some(output) = child.stderr.take() {
            capture(output, Arc::clone(&log));
        }
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
        })
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process (SIGKILL) without waiting for its exit.
    pub fn kill_now(&self) {
        self.signal(Signal::KILL);
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the suspended process (SIGCONT).
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Makes the process reload its settings (SIGHUP).
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    /// When it still runs after `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> anyhow::Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            ensure!(
                Instant::now() < end,
                "{} still runs:\n{}",
                self.name,
                self.log()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns everything that the process has written to stdout and stderr.
    pub fn log(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.clone()
    }

    /// Reads the processor time and the resident memory of the process.
    ///
    /// # Errors
    /// When the process has exited.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let after_name = stat.rsplit_once(')').context("read the process's state")?.1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
        let ticks = field(11).zip(field(12)).context("read processor time")?;
        let pages = field(21).context("read resident memory")?;
        let per_second = rustix::param::clock_ticks_per_second();
        Ok(Usage {
            cpu: Duration::from_secs_f64((ticks.0 + ticks.1) as f64 / per_second as f64),
            resident: pages * rustix::param::page_size() as u64,
        })
    }

    /// Reads the most memory that the process has had resident, in bytes.
    ///
    /// # Errors
    /// When the process has exited.
    pub fn peak_memory(&self) -> anyhow::Result<u64> {
        const KILOBYTE: u64 = 1_024;
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        let kilobytes: u64 = number.context("read peak memory")?.parse()?;
        Ok(kilobytes * KILOBYTE)
    }

    /// Counts the open file descriptors of the process.
    ///
    /// # Errors
    /// When the process has exited.
    pub fn descriptors(&self) -> anyhow::Result<Descriptors> {
        let mut descriptors = Descriptors {
            total: 0,
            sockets_and_pipes: 0,
        };
        for descriptor in std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))? {
            // One that was closed meanwhile is not counted.
            let Ok(target) = std::fs::read_link(descriptor?.path()) else {
                continue;
            };
            let target = target.to_string_lossy();
            descriptors.total += 1;
            let is_socket = target.starts_with("socket:") || target.starts_with("pipe:");
            descriptors.sockets_and_pipes += usize::from(is_socket);
        }
        Ok(descriptors)
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address with a free port; the port is not reserved.
///
/// # Errors
/// When none is found.
pub fn free_addr() -> anyhow::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let span = PORT_RANGE.end - PORT_RANGE.start;
    for _ in 0..span {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id()
            .wrapping_mul(PORTS_PER_PROCESS)
            .wrapping_add(next);
        let port = u16::try_from(PORT_RANGE.start + offset % span)?;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return Ok(listener.local_addr()?);
        }
    }
    anyhow::bail!("no free port")
}

/// Waits until `condition` holds.
///
/// # Errors
/// When it does not hold within `limit`.
pub async fn wait_until<F>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) -> anyhow::Result<()>
where
    F: Future<Output = bool>,
{
    let end = Instant::now() + limit;
    while !condition().await {
        ensure!(Instant::now() < end, "not within {limit:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn built_program(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dir = own.parent().context("directory of this program")?;
    let dir = match dir.ends_with("deps") {
        true => dir.parent().unwrap_or(dir),
        false => dir,
    };
    let path = dir.join(program);
    ensure!(
        Path::new(&path).exists(),
        "{} is not built: run `cargo build --workspace` first",
        path.display()
    );
    Ok(path)
}

fn capture(output: impl Read + Send + 'static, log: Arc<Mutex<String>>) {
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push_str(&line);
            log.push('\n');
        }
    });
}
