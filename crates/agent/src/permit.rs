//! Handle of the control thread for traffic threads, and the permits that it grants for calls to
//! the backend server.

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

/// Maximum number of admission requests that wait for the control thread.
const MAX_PENDING_REQUESTS: usize = 4096;

/// Retry delay sent when the control thread's queue is full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request for an admission slot of the backend server.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// Client account whose share it uses.
    pub account: ClientAccountId,
    /// Weight of the account.
    pub weight: u32,
    /// Maximum number of tokens that it occupies in the engine's memory.
    pub tokens: u32,
    /// Deadline of the complete response.
    pub due: Timestamp,
    /// Cancelled when the request is queued instead of being admitted at once.
    pub queued: CancellationToken,
}

/// Why a request was not admitted; no part of it ran.
#[derive(Debug, Clone)]
pub struct AdmissionError {
    /// Always [`Verdict::NotRun`].
    pub verdict: Verdict,
    /// Reason for logs and callers.
    pub reason: &'static str,
    /// True when the limit applies to this client account only; the server accepts work of others.
    pub account_only: bool,
}

impl AdmissionError {
    fn new(retry_after: Duration, reason: &'static str) -> Self {
        Self {
            verdict: Verdict::NotRun { retry_after },
            reason,
            account_only: false,
        }
    }
}

impl From<Refusal> for AdmissionError {
    fn from(refusal: Refusal) -> Self {
        let reason = match refusal.reason {
            RefusalReason::Draining => "agent is draining",
            RefusalReason::Deadline => "no admission slot before the deadline",
            RefusalReason::AccountFull => "too many queued requests of the client account",
            RefusalReason::QueueFull => "admission queue is full",
        };
        Self {
            account_only: !refusal.reason.applies_to_all_accounts(),
            ..Self::new(refusal.retry_after, reason)
        }
    }
}

/// Channel for the result of an admission request.
pub type Reply = oneshot::Sender<Result<Permit, AdmissionError>>;

/// Message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// Requests an admission slot.
    Admit(PermitRequest, Reply),
    /// The first byte of a response has arrived.
    FirstByte(Ticket),
    /// Releases an admission slot.
    Completed(Ticket, CompletionStatus),
    /// Load report of the backend server.
    ServerReport(ServerReport),
    /// The backend server closed an idle connection.
    IdleClosed,
}

/// Message queues of the control thread.
#[derive(Debug)]
pub struct Inbox {
    /// Admission requests, bounded.
    requests: mpsc::Receiver<Message>,
    /// All other messages, unbounded.
    events: mpsc::UnboundedReceiver<Message>,
}

impl Inbox {
    /// Waits for the next message, with admission requests last; never returns when all handles are
    /// dropped. Cancel-safe.
    pub async fn next(&mut self) -> Message {
        tokio::select! {
            biased;
            Some(message) = self.events.recv() => message,
            Some(message) = self.requests.recv() => message,
            else => std::future::pending().await,
        }
    }

    /// Returns a message that has already arrived, with admission requests last.
    pub fn try_next(&mut self) -> Option<Message> {
        let event = self.events.try_recv().ok();
        event.or_else(|| self.requests.try_recv().ok())
    }
}

/// Permission to call the backend server; releases its admission slot when dropped.
#[derive(Debug)]
pub struct Permit {
    control: Control,
    ticket: Ticket,
    status: CompletionStatus,
    lost_call: CancellationToken,
}

/// Reports the first byte of the response to the request of a permit.
#[derive(Debug, Clone)]
pub struct FirstByteReporter {
    control: Control,
    ticket: Ticket,
}

impl FirstByteReporter {
    /// Reports that the first byte of the response has arrived.
    pub fn report_first_byte(&self) {
        let _ = self.control.events.send(Message::FirstByte(self.ticket));
    }
}

impl Permit {
    /// Creates a permit for the request of a ticket. Its status is `Unsent` until another is set.
    pub fn new(control: Control, ticket: Ticket, lost_call: CancellationToken) -> Self {
        Self {
            control,
            ticket,
            status: CompletionStatus::Unsent,
            lost_call,
        }
    }

    /// Sets the status that is reported when the permit is dropped.
    pub fn set_status(&mut self, status: CompletionStatus) {
        self.status = status;
    }

    /// Returns a reporter for the response, which may outlive the permit.
    pub fn first_byte_reporter(&self) -> FirstByteReporter {
        FirstByteReporter {
            control: self.control.clone(),
            ticket: self.ticket,
        }
    }

    /// Returns a token that is cancelled when the backend server is no longer working on the
    /// request although no response has arrived.
    pub fn lost_call(&self) -> CancellationToken {
        self.lost_call.clone()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let message = Message::Completed(self.ticket, self.status);
        // The event channel is unbounded: a lost completion would occupy its slot forever.
        let _ = self.control.events.send(message);
    }
}

/// Handle to the control thread.
#[derive(Debug, Clone)]
pub struct Control {
    requests: mpsc::Sender<Message>,
    events: mpsc::UnboundedSender<Message>,
    load: Arc<ArcSwap<LoadReport>>,
}

impl Control {
    /// Creates a handle and the inbox of the control thread.
    pub fn new() -> (Self, Inbox) {
        let (requests, request_receiver) = mpsc::channel(MAX_PENDING_REQUESTS);
        let (events, event_receiver) = mpsc::unbounded_channel();
        let control = Self {
            requests,
            events,
            load: Arc::default(),
        };
        let inbox = Inbox {
            requests: request_receiver,
            events: event_receiver,
        };
        (control, inbox)
    }

    /// Publishes the load for all threads.
    pub fn publish(&self, load: LoadReport) {
        self.load.store(Arc::new(load));
    }

    /// Requests an admission slot of the backend server and waits in the admission queue if needed.
    ///
    /// # Errors
    /// When the request is refused.
    pub async fn admit(&self, request: PermitRequest) -> Result<Permit, AdmissionError> {
        let (reply, answer) = oneshot::channel();
        let refused = AdmissionError::new(
            OVERLOAD_RETRY_AFTER,
            "too many requests wait for the control thread",
        );
        self.requests
            .try_send(Message::Admit(request, reply))
            .map_err(|_| refused.clone())?;
        answer.await.map_err(|_| refused)?
    }

    /// Forwards a load report of the backend server.
    pub fn report_server(&self, report: ServerReport) {
        let _ = self.events.send(Message::ServerReport(report));
    }

    /// Reports that the backend server closed an idle connection.
    pub fn report_idle_close(&self) {
        let _ = self.events.send(Message::IdleClosed);
    }

    /// Returns the load that the control thread published last.
    pub fn load(&self) -> Arc<LoadReport> {
        self.load.load_full()
    }
}
