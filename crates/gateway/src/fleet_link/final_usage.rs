//! The end of a router's life: what it has spent reaches the ledger, if need be by way of others.

use super::FleetLink;
use stackpost_coordinator::FleetMessage;
use stackpost_mesh::LinkId;
use stackpost_types::{NodeId, TenantName, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::timeout;

/// Time between two tries to say farewell.
const FAREWELL_INTERVAL: Duration = Duration::from_millis(150);
/// Times that a farewell kept for another router is sent to the leader.
const CUSTODY_DELIVERIES: u32 = 5;

/// Other routers that a farewell is left with.
const KEEPERS: usize = 12;

/// What another router left here when it stopped.
pub(super) struct RelayedFinalUsage {
    spent: BTreeMap<TenantName, Tokens>,
    delivered: u32,
}

impl FleetLink {
    /// Ends this router's life: all that it holds goes back. Returns once the leader has taken
    /// that in, or after `limit`.
    pub async fn report_final_usage(&self, limit: Duration) {
        self.stopped.set(true);
        let used = self.router.wallet.borrow().used();
        let repeat = async {
            loop {
                self.send_farewell(&used);
                if timeout(FAREWELL_INTERVAL, self.final_usage_taken.notified()).await.is_ok() {
                    return;
                }
            }
        };
        if timeout(limit, repeat).await.is_err() {
            log::warn!(step = "farewell"; "no leader has taken the farewell");
        }
    }

    /// To the leader, or out of touch to other routers, which pass it on.
    fn send_farewell(&self, used: &BTreeMap<TenantName, Tokens>) {
        if let Some(leader) = self.leader.get().filter(|_| self.router.in_touch()) {
            return self.mesh.send(leader, &FleetMessage::FinalUsage(used.clone()));
        }
        self.dial_keepers();
        let links: Vec<LinkId> = self.peer_links.borrow().keys().copied().collect();
        self.mesh.send_all(
            links.clone(),
            &FleetMessage::RelayedFinalUsage(self.node.clone(), used.clone()),
        );
        for (router, relayed_usage) in self.relayed_usage.borrow().iter() {
            let message =
                FleetMessage::RelayedFinalUsage(router.clone(), relayed_usage.spent.clone());
            self.mesh.send_all(links.clone(), &message);
        }
    }

    fn dial_keepers(&self) {
        for peer in self.peers.borrow().iter().take(KEEPERS) {
            self.mesh.dial(*peer);
        }
    }

    pub(super) fn on_relayed_usage(
        &self,
        link: LinkId,
        router: NodeId,
        spent: BTreeMap<TenantName, Tokens>,
    ) {
        log::info!(router = router.to_string().as_str(); "farewell kept for another router");
        self.relayed_usage.borrow_mut().insert(router, RelayedFinalUsage { spent, delivered: 0 });
        self.mesh.send(link, &FleetMessage::FinalUsageAck);
        self.forward_relayed_usage();
    }

    /// Passes on what other routers have left here, some times, since a message may be lost.
    pub(super) fn forward_relayed_usage(&self) {
        let Some(leader) = self.leader.get().filter(|_| self.router.in_touch()) else {
            return;
        };
        self.relayed_usage.borrow_mut().retain(|router, relayed_usage| {
            let message =
                FleetMessage::RelayedFinalUsage(router.clone(), relayed_usage.spent.clone());
            self.mesh.send(leader, &message);
            relayed_usage.delivered += 1;
            relayed_usage.delivered < CUSTODY_DELIVERIES
        });
    }
}
