//! What traffic threads hold of the control thread: its handle, and permits to go to the backend
//! server.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use jj_peer::control::LoadReport;
use jj_policy::{
    admission::{CompletionStatus, Refusal, RefusalReason, ServerReport, Ticket},
    verdict::Verdict,
};
use jj_utils::{clock::Timestamp, ids::ClientAccountId};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Requests that may wait for the control thread.
const QUEUE: usize = 4096;

/// Time to come back when more requests arrive than the control thread takes.
const FULL_RETRY: Duration = Duration::from_millis(200);

/// A request that asks for a place at the backend server.
#[derive(Debug, Clone)]
pub struct Request {
    /// Whose share it uses.
    pub account: ClientAccountId,
    /// Weight of the account.
    pub weight: u32,
    /// Tokens that it takes in the engine's memory, at most.
    pub tokens: u32,
    /// When its whole answer is due.
    pub due: Timestamp,
    /// Cancelled when the request has to wait for its turn.
    pub queued: CancellationToken,
}

/// A request that got no place; nothing of it ran.
#[derive(Debug, Clone)]
pub struct Refused {
    /// Always "not run".
    pub verdict: Verdict,
    /// Why, for logs and callers.
    pub reason: &'static str,
    /// True when the server takes work of other client accounts.
    pub account_only: bool,
}

impl Refused {
    fn new(retry_after: Duration, reason: &'static str) -> Self {
        Self {
            verdict: Verdict::NotRun { retry_after },
            reason,
            account_only: false,
        }
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        let reason = match refusal.reason {
            RefusalReason::Draining => "agent is draining",
            RefusalReason::Deadline => "no place in time",
            RefusalReason::AccountFull => "too much of the client account waits",
            RefusalReason::QueueFull => "queue full",
        };
        Self {
            account_only: !refusal.reason.applies_to_all_accounts(),
            ..Self::new(refusal.retry_after, reason)
        }
    }
}

/// Where the answer to an offer goes.
pub type Reply = oneshot::Sender<Result<Permit, Refused>>;

/// Message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// A request asks for a place.
    Offer(Request, Reply),
    /// The first byte of an answer has come.
    Answered(Ticket),
    /// A place is given back.
    Finished(Ticket, CompletionStatus),
    /// What the backend server says of itself.
    Report(ServerReport),
    /// The backend server closed an idle connection.
    Closed,
}

/// Where the control thread gets its messages.
#[derive(Debug)]
pub struct Inbox {
    /// Requests that ask for a place.
    offers: mpsc::Receiver<Message>,
    /// Everything else.
    notes: mpsc::UnboundedReceiver<Message>,
}

impl Inbox {
    /// The next message, notes first; never comes when all handles are gone. Cancel-safe.
    pub async fn next(&mut self) -> Message {
        tokio::select! {
            biased;
            Some(message) = self.notes.recv() => message,
            Some(message) = self.offers.recv() => message,
            else => std::future::pending().await,
        }
    }

    /// A message that has arrived already, notes first.
    pub fn try_next(&mut self) -> Option<Message> {
        let note = self.notes.try_recv().ok();
        note.or_else(|| self.offers.try_recv().ok())
    }
}

/// Permission to go to the backend server; gives its place back when dropped.
#[derive(Debug)]
pub struct Permit {
    control: Control,
    ticket: Ticket,
    finish: CompletionStatus,
    lost: CancellationToken,
}

/// Tells the control thread how the request of a permit goes on.
#[derive(Debug, Clone)]
pub struct Notes {
    control: Control,
    ticket: Ticket,
}

impl Notes {
    /// Notes the first byte of an answer.
    pub fn answered(&self) {
        let _ = self.control.notes.send(Message::Answered(self.ticket));
    }
}

impl Permit {
    /// Leave for the request of a ticket; dropped, it counts as unsent until something is noted.
    pub fn new(control: Control, ticket: Ticket, lost: CancellationToken) -> Self {
        Self {
            control,
            ticket,
            finish: CompletionStatus::Unsent,
            lost,
        }
    }

    /// Notes how the request has gone so far; without a note nothing was sent.
    pub fn note(&mut self, finish: CompletionStatus) {
        self.finish = finish;
    }

    /// For the part of the request that outlives the permit.
    pub fn notes(&self) -> Notes {
        Notes {
            control: self.control.clone(),
            ticket: self.ticket,
        }
    }

    /// Cancelled when the backend server does not work on the request any more, though no answer
    /// has come.
    pub fn lost(&self) -> CancellationToken {
        self.lost.clone()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let message = Message::Finished(self.ticket, self.finish);
        // The channel is unbounded for notes: a lost one would take a place for good.
        let _ = self.control.notes.send(message);
    }
}

/// Handle to the control thread.
#[derive(Debug, Clone)]
pub struct Control {
    offers: mpsc::Sender<Message>,
    notes: mpsc::UnboundedSender<Message>,
    load: Arc<ArcSwap<LoadReport>>,
}

impl Control {
    /// A handle, and the inbox for the thread that it leads to.
    pub fn new() -> (Self, Inbox) {
        let (offers, offered) = mpsc::channel(QUEUE);
        let (notes, noted) = mpsc::unbounded_channel();
        let control = Self {
            offers,
            notes,
            load: Arc::default(),
        };
        let inbox = Inbox {
            offers: offered,
            notes: noted,
        };
        (control, inbox)
    }

    /// Publishes the load.
    pub fn publish(&self, load: LoadReport) {
        self.load.store(Arc::new(load));
    }

    /// Asks for a place at the backend server; waits in the gate's queue when need be.
    ///
    /// # Errors
    /// When there is no place.
    pub async fn admit(&self, request: Request) -> Result<Permit, Refused> {
        let (reply, answer) = oneshot::channel();
        let refused = Refused::new(FULL_RETRY, "too many requests arrive");
        self.offers
            .try_send(Message::Offer(request, reply))
            .map_err(|_| refused.clone())?;
        answer.await.map_err(|_| refused)?
    }

    /// Passes on what the backend server says of itself.
    pub fn report(&self, report: ServerReport) {
        let _ = self.notes.send(Message::Report(report));
    }

    /// Passes on that the backend server closed an idle connection.
    pub fn closed(&self) {
        let _ = self.notes.send(Message::Closed);
    }

    /// Load as the control thread published it last.
    pub fn load(&self) -> Arc<LoadReport> {
        self.load.load_full()
    }
}
