//! The control thread: it alone owns the gate; traffic threads send it messages and read the
//! snapshot that it publishes.

use std::{sync::Arc, thread, time::Duration};

use arc_swap::ArcSwap;
use jj_peer::control::LoadReport;
use jj_policy::verdict::Verdict;
use jj_utils::{clock::SharedClock, collections::FastMap};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    attempts::Attempts,
    gate::{Gate, Offer, Ticket},
};

/// Messages that may wait for the control thread.
const QUEUE: usize = 4096;

/// Interval of sweeping and publishing.
const TICK: Duration = Duration::from_millis(200);

/// Message to the control thread.
#[derive(Debug)]
enum Message {
    Offer(oneshot::Sender<Result<Permit, Verdict>>),
    Finished { ok: bool, latency: Duration },
}

/// Permission to go to the backend server; gives its place back when dropped.
#[derive(Debug)]
pub struct Permit {
    control: Control,
    finish: Option<Finish>,
}

#[derive(Debug, Clone, Copy)]
struct Finish {
    ok: bool,
    latency: Duration,
}

impl Permit {
    /// Notes how the request went; without a note it counts as a success that took no time.
    pub fn note(&mut self, ok: bool, latency: Duration) {
        self.finish = Some(Finish { ok, latency });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Finish { ok, latency } = self.finish.unwrap_or(Finish {
            ok: true,
            latency: Duration::ZERO,
        });
        let message = Message::Finished { ok, latency };
        // The channel is unbounded for finishes: a lost one would take a place for good.
        let _ = self.control.finishes.send(message);
    }
}

/// Handle to the control thread.
#[derive(Debug, Clone)]
pub struct Control {
    offers: mpsc::Sender<Message>,
    finishes: mpsc::UnboundedSender<Message>,
    load: Arc<ArcSwap<LoadReport>>,
}

impl Control {
    /// Asks for a place at the backend server; waits in the gate's queue when need be.
    ///
    /// # Errors
    /// `NotRun` when there is no place.
    pub async fn admit(&self) -> Result<Permit, Verdict> {
        let (reply, answer) = oneshot::channel();
        let not_run = Verdict::NotRun { retry_after: TICK };
        self.offers
            .try_send(Message::Offer(reply))
            .map_err(|_| not_run)?;
        answer.await.map_err(|_| not_run)?
    }

    /// Load as the control thread published it last.
    pub fn load(&self) -> Arc<LoadReport> {
        self.load.load_full()
    }
}

/// Starts the control thread.
///
/// # Errors
/// When the thread can't be started.
pub fn start(
    gate: Gate,
    attempts: Arc<Attempts>,
    clock: SharedClock,
    token: CancellationToken,
) -> anyhow::Result<Control> {
    let (offers, offered) = mpsc::channel(QUEUE);
    let (finishes, finished) = mpsc::unbounded_channel();
    let load = Arc::new(ArcSwap::from_pointee(LoadReport::default()));
    let control = Control {
        offers,
        finishes,
        load,
    };
    let handle = control.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let state = State {
                gate,
                attempts,
                clock,
                control,
                replies: FastMap::default(),
                next_ticket: 0,
                latency: Duration::ZERO,
            };
            runtime.block_on(state.run(offered, finished, token));
        })?;
    Ok(handle)
}

struct State {
    gate: Gate,
    attempts: Arc<Attempts>,
    clock: SharedClock,
    control: Control,
    replies: FastMap<Ticket, oneshot::Sender<Result<Permit, Verdict>>>,
    next_ticket: Ticket,
    latency: Duration,
}

impl State {
    async fn run(
        mut self,
        mut offered: mpsc::Receiver<Message>,
        mut finished: mpsc::UnboundedReceiver<Message>,
        token: CancellationToken,
    ) {
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                biased;
                () = token.cancelled() => return,
                Some(message) = finished.recv() => self.handle(message),
                Some(message) = offered.recv() => self.handle(message),
                _ = tick.tick() => self.attempts.sweep(self.clock.now()),
            }
            self.publish();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Offer(reply) => self.offer(reply),
            Message::Finished { ok, latency } => self.finished(ok, latency),
        }
    }

    fn offer(&mut self, reply: oneshot::Sender<Result<Permit, Verdict>>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        match self.gate.offer(self.clock.now(), ticket) {
            Offer::Start => self.permit(reply),
            Offer::Queued => {
                self.replies.insert(ticket, reply);
            }
            Offer::Refused { retry_after } => {
                let _ = reply.send(Err(Verdict::NotRun { retry_after }));
            }
        }
    }

    fn finished(&mut self, ok: bool, latency: Duration) {
        self.latency = (self.latency * 7 + latency) / 8;
        for ticket in self.gate.finished(self.clock.now(), ok) {
            if let Some(reply) = self.replies.remove(&ticket) {
                self.permit(reply);
            }
        }
    }

    /// Sends a permit; dropped on the way, it comes back as a finish.
    fn permit(&self, reply: oneshot::Sender<Result<Permit, Verdict>>) {
        let permit = Permit {
            control: self.control.clone(),
            finish: None,
        };
        let _ = reply.send(Ok(permit));
    }

    fn publish(&self) {
        let report = LoadReport {
            limit: self.gate.limit(),
            running: self.gate.running(),
            waiting: self.gate.waiting(),
            latency: u64::try_from(self.latency.as_micros()).unwrap_or(u64::MAX),
            reachable: true,
        };
        self.control.load.store(Arc::new(report));
    }
}
