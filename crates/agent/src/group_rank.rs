//! The rank's side of a lock-step group: takes the leader's requests and gives orders to the engine
//! beside this agent, one at a time.

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

/// Longest life of an order: the engine refuses it afterwards, and a new agent waits that long.
const ORDER_LIFE: Duration = Duration::from_secs(2);

/// Time past an order's deadline before it is given up.
const ORDER_MARGIN: Duration = Duration::from_millis(100);

/// Maps whose changes can be taken: the one in force and some that were aborted after it.
const KNOWN_MAPS: usize = 8;

/// Requests that may wait.
const QUEUE: usize = 16;

type Arrived = (RequestWire, oneshot::Sender<ReplyWire>);

/// Takes requests for the task.
pub struct Requests(mpsc::Receiver<Arrived>);

/// The handler for the control port, and where its requests arrive.
pub fn channel() -> (GroupHandler, Requests) {
    let (sender, receiver) = mpsc::channel::<Arrived>(QUEUE);
    let handler: GroupHandler = std::sync::Arc::new(move |request| {
        let sender = sender.clone();
        async move {
            let (reply, answer) = oneshot::channel();
            sender.try_send((request, reply)).ok()?;
            answer.await.ok()
        }
        .boxed()
    });
    (handler, Requests(receiver))
}

/// Serves requests until `token` is cancelled.
pub async fn run(
    config: RankConfig,
    engine: BackendClient,
    requests: Requests,
    token: CancellationToken,
) {
    let mut task = Task {
        state: RankState::new(&config),
        engine,
        open: None,
        maps: VecDeque::new(),
    };
    let mut requests = requests.0;
    let settled = tokio::time::sleep(ORDER_LIFE + ORDER_MARGIN);
    tokio::pin!(settled);
    let mut is_settled = config.fencing;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = &mut settled, if !is_settled => {
                is_settled = true;
                task.state.handle(RankInput::StartupWaitElapsed);
            }
            input = next_outcome(&mut task.open) => task.finish(input),
            arrived = requests.recv() => match arrived {
                Some((request, reply)) => task.take(&request, reply),
                None => return,
            },
        }
    }
}

/// The order that the engine is carrying out.
struct OpenOrder {
    outcome: BoxFuture<'static, RankInput>,
    reply: Option<oneshot::Sender<ReplyWire>>,
}

struct Task {
    state: RankState,
    engine: BackendClient,
    open: Option<OpenOrder>,
    /// Experts of the slots of the last maps prepared, the newest last.
    maps: VecDeque<Vec<ExpertId>>,
}

impl Task {
    /// A request with changes of a map that is not known here has no answer, like a lost one; the
    /// leader sends all slots then.
    fn take(&mut self, request: &RequestWire, reply: oneshot::Sender<ReplyWire>) {
        let Some(slots) = self.slots(request) else {
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
                        deadline_ms: unix_millis() + ORDER_LIFE.as_millis() as u64,
                        action: action.into(),
                        slots: slots.clone(),
                    };
                    let outcome = give(self.engine.clone(), order).boxed();
                    self.open = Some(OpenOrder {
                        outcome,
                        reply: reply.take(),
                    });
                }
            }
        }
    }

    /// Experts of all slots of a prepare; none for another action.
    fn slots(&mut self, request: &RequestWire) -> Option<Vec<ExpertId>> {
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
        if self.maps.len() > KNOWN_MAPS {
            self.maps.pop_front();
        }
        Some(slots)
    }

    fn finish(&mut self, input: RankInput) {
        let reply = self.open.take().and_then(|open| open.reply);
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

/// Waits for the open order; for ever while there is none.
async fn next_outcome(open: &mut Option<OpenOrder>) -> RankInput {
    match open {
        Some(open) => (&mut open.outcome).await,
        None => std::future::pending().await,
    }
}

/// Gives an order; without an answer it waits until the order can't be carried out any more.
async fn give(engine: BackendClient, order: EngineOrder) -> RankInput {
    let expired = tokio::time::sleep(ORDER_LIFE + ORDER_MARGIN);
    match orders::give(&engine, &order, ORDER_LIFE).await {
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
