//! The rank's side of a lock-step group: handles the leader's requests and sends orders to the
//! engine beside this agent, one at a time.

use std::{collections::VecDeque, time::Duration};

use futures_util::{FutureExt, future::BoxFuture};
use jj_backend::{
    call::BackendClient,
    orders::{self, OrderOutcome},
};
use jj_node::control_port::GroupHandler;
use jj_peer::group::{EngineOrder, ReplyWire, RequestWire};
use jj_policy::{
    expert_map::{MapChanges, apply_changes},
    group_rank::{RankConfig, RankInput, RankOutput, RankState},
    group_switch::Request,
};
use jj_utils::{clock::unix_millis, ids::ExpertId};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Lifetime of an order: the engine refuses it afterwards, and a restarted agent waits that long
/// plus [`ORDER_MARGIN`] unless the engine supports fencing.
const ORDER_LIFETIME: Duration = Duration::from_secs(2);

/// Time after an order's deadline before the order counts as expired.
const ORDER_MARGIN: Duration = Duration::from_millis(100);

/// Number of prepared maps kept as bases for changes: the one in force and some that were aborted
/// after it.
const MAX_KNOWN_MAPS: usize = 8;

/// Maximum number of requests that wait for the task.
const MAX_PENDING_REQUESTS: usize = 16;

/// A request of the leader and the channel for its reply.
type PendingRequest = (RequestWire, oneshot::Sender<ReplyWire>);

/// Receiver of the requests from the control port.
pub struct RequestReceiver(mpsc::Receiver<PendingRequest>);

/// Creates the request handler for the control port and the receiver of its requests.
pub fn channel() -> (GroupHandler, RequestReceiver) {
    let (sender, receiver) = mpsc::channel::<PendingRequest>(MAX_PENDING_REQUESTS);
    let handler: GroupHandler = std::sync::Arc::new(move |request| {
        let sender = sender.clone();
        async move {
            let (reply, answer) = oneshot::channel();
            sender.try_send((request, reply)).ok()?;
            answer.await.ok()
        }
        .boxed()
    });
    (handler, RequestReceiver(receiver))
}

/// Serves requests until `token` is cancelled.
pub async fn run(
    config: RankConfig,
    engine: BackendClient,
    requests: RequestReceiver,
    token: CancellationToken,
) {
    let mut task = RankTask {
        state: RankState::new(&config),
        engine,
        open_order: None,
        maps: VecDeque::new(),
    };
    let mut requests = requests.0;
    let startup_wait = tokio::time::sleep(ORDER_LIFETIME + ORDER_MARGIN);
    tokio::pin!(startup_wait);
    let mut is_startup_wait_over = config.fencing;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = &mut startup_wait, if !is_startup_wait_over => {
                is_startup_wait_over = true;
                task.state.handle(RankInput::StartupWaitElapsed);
            }
            input = next_outcome(&mut task.open_order) => task.complete_order(input),
            arrived = requests.recv() => match arrived {
                Some((request, reply)) => task.handle_request(&request, reply),
                None => return,
            },
        }
    }
}

/// The order that the engine is executing.
struct OpenOrder {
    outcome: BoxFuture<'static, RankInput>,
    reply: Option<oneshot::Sender<ReplyWire>>,
}

/// State of the rank's task.
struct RankTask {
    state: RankState,
    engine: BackendClient,
    open_order: Option<OpenOrder>,
    /// Experts of the slots of the last maps prepared, the newest last.
    maps: VecDeque<Vec<ExpertId>>,
}

impl RankTask {
    /// Handles a request of the leader. A request with changes to an unknown base map gets no
    /// reply, as if it was lost; the leader then sends all slots.
    fn handle_request(&mut self, request: &RequestWire, reply: oneshot::Sender<ReplyWire>) {
        let Some(slots) = self.resolve_slots(request) else {
            return;
        };
        let mut reply = Some(reply);
        for output in self
            .state
            .handle(RankInput::Request(Request::from(request)))
        {
            match output {
                RankOutput::Reply(answer) => {
                    if let Some(reply) = reply.take() {
                        let _ = reply.send(answer.into());
                    }
                }
                RankOutput::Order { term, action } => {
                    let order = EngineOrder {
                        term,
                        deadline_ms: unix_millis() + ORDER_LIFETIME.as_millis() as u64,
                        action: action.into(),
                        slots: slots.clone(),
                    };
                    let outcome = send_order(self.engine.clone(), order).boxed();
                    self.open_order = Some(OpenOrder {
                        outcome,
                        reply: reply.take(),
                    });
                }
            }
        }
    }

    /// Returns the experts of all slots for a prepare, an empty list for another action, and `None`
    /// if the base map of the changes is unknown.
    fn resolve_slots(&mut self, request: &RequestWire) -> Option<Vec<ExpertId>> {
        let slots = match request.changes.clone().map(MapChanges::from) {
            Some(changes) => self
                .maps
                .iter()
                .find_map(|map| apply_changes(map, &changes))?,
            None => request.slots.clone(),
        };
        if !slots.is_empty() && !self.maps.contains(&slots) {
            self.maps.push_back(slots.clone());
        }
        if self.maps.len() > MAX_KNOWN_MAPS {
            self.maps.pop_front();
        }
        Some(slots)
    }

    fn complete_order(&mut self, input: RankInput) {
        let reply = self.open_order.take().and_then(|open| open.reply);
        let answer = self
            .state
            .handle(input)
            .into_iter()
            .find_map(|output| match output {
                RankOutput::Reply(answer) => Some(answer),
                RankOutput::Order { .. } => None,
            });
        if let (Some(reply), Some(answer)) = (reply, answer) {
            let _ = reply.send(answer.into());
        }
    }
}

/// Waits for the outcome of the open order; never returns while there is none.
async fn next_outcome(open_order: &mut Option<OpenOrder>) -> RankInput {
    match open_order {
        Some(open) => (&mut open.outcome).await,
        None => std::future::pending().await,
    }
}

/// Sends an order; without a response, waits until the engine can no longer execute it.
async fn send_order(engine: BackendClient, order: EngineOrder) -> RankInput {
    let expired = tokio::time::sleep(ORDER_LIFETIME + ORDER_MARGIN);
    match orders::send_order(&engine, &order, ORDER_LIFETIME).await {
        OrderOutcome::Done(view) => RankInput::OrderDone(view.into()),
        OrderOutcome::Refused(refusal) => RankInput::OrderRefused {
            newer: refusal.newer,
        },
        OrderOutcome::Unknown => {
            expired.await;
            RankInput::OrderExpired
        }
    }
}
