//! Starts this agent's part in a lock-step group, once the configuration says what the group is.

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
    group_lead::{self, LeadContext},
    group_rank::{self, Requests},
};

/// What a member of a group needs.
pub struct MemberContext {
    /// Service of the group.
    pub service: ServiceId,
    /// Position in the group.
    pub rank: Rank,
    /// Life of this agent.
    pub incarnation: Incarnation,
    /// Where control calls arrive.
    pub control_addr: SocketAddr,
    /// The engine beside this agent.
    pub engine: BackendClient,
    /// The configuration.
    pub config: watch::Receiver<ConfigView>,
    /// The live list.
    pub list: watch::Receiver<LiveList>,
    /// Changes made here, for operators.
    pub audit: Arc<AuditTrail>,
    /// Time.
    pub clock: SharedClock,
    /// Ends the membership.
    pub token: CancellationToken,
}

/// Serves the leader's requests, and leads as rank 0, until the token is cancelled.
pub async fn run(mut context: MemberContext, requests: Requests) {
    let Some(group) = declared(&mut context).await else {
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
    let lead = group_lead::run(LeadContext {
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

/// The group as declared, once a configuration declares it.
async fn declared(context: &mut MemberContext) -> Option<Group> {
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
