//! Reports a stopping router's final usage to the ledger, relayed by other routers if necessary.

use super::FleetLink;
use stackpost_coordinator::FleetMessage;
use stackpost_mesh::LinkId;
use stackpost_types::{NodeId, TenantName, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::timeout;

/// Interval at which the final usage is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Number of times that the relayed final usage of another router is sent to the leader.
const MAX_DELIVERIES: u32 = 5;

/// Number of other routers dialed to relay the final usage.
const MAX_RELAYS: usize = 12;

/// The final usage of another router that stopped.
pub(super) struct RelayedFinalUsage {
    spent: BTreeMap<TenantName, Tokens>,
    delivered: u32,
}

impl FleetLink {
    /// Returns all tokens that this router holds and reports its final usage. Returns once the
    /// leader has acknowledged it, or after `limit`.
    pub async fn report_final_usage(&self, limit: Duration) {
        self.stopped.set(true);
        self.router.stop_sending();
        let used = self.router.wallet.borrow().used();
        let resend = async {
            for attempt in 0_u32.. {
                self.send_stopped();
                self.send_final_usage(&used, attempt > 0);
                if timeout(RESEND_INTERVAL, self.final_usage_acknowledged.notified()).await.is_ok()
                {
                    return;
                }
            }
        };
        if timeout(limit, resend).await.is_err() {
            log::warn!(step = "farewell"; "no leader acknowledged the final usage");
        }
    }

    /// Sends to the leader, and to other routers, which relay it, while disconnected from the leader
    /// or once it has not responded: this process may end before the leader counts as disconnected.
    fn send_final_usage(&self, used: &BTreeMap<TenantName, Tokens>, is_repeated: bool) {
        let leader = self.leader.get().filter(|_| self.router.is_connected_to_leader());
        if let Some(leader) = leader {
            self.mesh.send(leader, &FleetMessage::FinalUsage(used.clone()));
            if !is_repeated {
                return;
            }
        }
        self.dial_relays();
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

    fn dial_relays(&self) {
        for peer in self.peers.borrow().iter().take(MAX_RELAYS) {
            self.mesh.dial(*peer);
        }
    }

    pub(super) fn on_relayed_usage(
        &self,
        link: LinkId,
        router: NodeId,
        spent: BTreeMap<TenantName, Tokens>,
    ) {
        log::info!(router = router.to_string().as_str(); "relaying final usage of another router");
        self.relayed_usage.borrow_mut().insert(router, RelayedFinalUsage { spent, delivered: 0 });
        self.mesh.send(link, &FleetMessage::FinalUsageAck);
        self.forward_relayed_usage();
    }

    /// Relays the final usage of other routers to the leader, several times since a message may be
    /// lost.
    pub(super) fn forward_relayed_usage(&self) {
        let Some(leader) = self.leader.get().filter(|_| self.router.is_connected_to_leader())
        else {
            return;
        };
        self.relayed_usage.borrow_mut().retain(|router, relayed_usage| {
            let message =
                FleetMessage::RelayedFinalUsage(router.clone(), relayed_usage.spent.clone());
            self.mesh.send(leader, &message);
            relayed_usage.delivered += 1;
            relayed_usage.delivered < MAX_DELIVERIES
        });
    }
}
