//! Runs this agent's rank of a lock-step group, once the configuration declares the group.

use std::{net::SocketAddr, sync::Arc};

use jj_backend::call::BackendClient;
use jj_operator::{audit::AuditTrail, documents::Group};
use jj_platform::{config_reader::ConfigView, live_list::LiveList};
use jj_policy::{expert_map::GroupShape, group_rank::RankConfig};
use jj_utils::{
    clock::SharedClock,
    ids::{Incarnation, Rank, ServiceId},
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    group_lead::{self, LeaderContext},
    group_rank::{self, RequestReceiver},
};

/// Dependencies of a group member.
pub struct MemberContext {
    /// Service of the group.
    pub service: ServiceId,
    /// Rank of this agent in the group.
    pub rank: Rank,
    /// Incarnation of this agent.
    pub incarnation: Incarnation,
    /// Address of this agent's control port.
    pub control_addr: SocketAddr,
    /// The engine beside this agent.
    pub engine: BackendClient,
    /// The configuration.
    pub config: watch::Receiver<ConfigView>,
    /// The live list.
    pub list: watch::Receiver<LiveList>,
    /// Records changes for operators.
    pub audit: Arc<AuditTrail>,
    /// Clock.
    pub clock: SharedClock,
    /// Ends the membership.
    pub token: CancellationToken,
}

/// Serves the leader's requests until the token is cancelled; rank 0 also leads the group.
pub async fn run(mut context: MemberContext, requests: RequestReceiver) {
    let Some(group) = wait_for_declared_group(&mut context).await else {
        return;
    };
    let config = RankConfig {
        rank: context.rank,
        incarnation: context.incarnation,
        fencing: group.fencing,
    };
    let rank = group_rank::run(
        config,
        context.engine.clone(),
        requests,
        context.token.clone(),
    );
    if context.rank != 0 {
        return rank.await;
    }
    let lead = group_lead::run(LeaderContext {
        service: context.service,
        incarnation: context.incarnation,
        shape: GroupShape {
            ranks: group.ranks,
            experts: group.experts,
            slots: group.slots,
        },
        control_addr: context.control_addr,
        engine: context.engine,
        list: context.list,
        audit: context.audit,
        clock: context.clock,
        token: context.token,
    });
    tokio::join!(rank, lead);
}

/// Waits until a configuration declares the group; `None` once the token is cancelled.
async fn wait_for_declared_group(context: &mut MemberContext) -> Option<Group> {
    let service = &context.service;
    let find = |view: &ConfigView| {
        let published = view.published.as_ref()?;
        published.services.get(service)?.group.clone()
    };
    tokio::select! {
        () = context.token.cancelled() => None,
        view = context.config.wait_for(|view| find(view).is_some()) => find(&view.ok()?.clone()),
    }
}
