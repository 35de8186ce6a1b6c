//! Orders to engines: which models to load and which role to take.
//!
//! An order carries the whole desired state, so that it is idempotent. Each order carries a
//! fencing token (Kleppmann, "How to do distributed locking", 2016): the leader's term and the
//! row's version. Engines that check the token refuse an older one. For engines that don't, a new
//! leader waits until its predecessor's lease must have expired, and every leader sends orders
//! only while it holds its own lease.

use crate::replica::{ControlEffect, Replica};
use serde::{Deserialize, Serialize};
use stackpost_storage::Disk;
use stackpost_table::{EngineRole, Row, RowKey};
use stackpost_types::*;
use std::collections::BTreeMap;

/// Orders in progress at once. Loading reads weights from a store that limits its rate.
const MAX_CONCURRENT_ORDERS: usize = 2;
/// Time after which an unanswered order is resent.
const ORDER_TIMEOUT: Millis = Millis(10_000);
/// Time after which a failed order is resent.
const RETRY_DELAY: Millis = Millis(2_000);

/// The desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// First part of the fencing token: the leader's term.
    pub term: u64,
    /// Second part: the version of the back end's row.
    pub version: Version,
    /// Models, adapters and versions to load.
    pub models: Vec<ModelName>,
    /// Role to take.
    pub role: EngineRole,
}

#[derive(Clone, Debug)]
enum Progress {
    Sent { order: EngineOrder, at: Timestamp },
    Done { term: u64, version: Version },
    Failed { at: Timestamp },
}

/// Progress of each engine's newest order.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    progress: BTreeMap<BackEndName, Progress>,
}

impl<D: Disk> Replica<D> {
    pub(crate) fn tick_orders(&mut self) {
        let Some(not_after) = self.order_deadline() else {
            self.orders.progress.clear();
            return;
        };
        let now = self.now;
        let in_progress = |progress: &&Progress| matches!(progress, Progress::Sent { at, .. } if now.since(*at) < ORDER_TIMEOUT);
        let mut available = MAX_CONCURRENT_ORDERS
            .saturating_sub(self.orders.progress.values().filter(in_progress).count());
        for (back_end, address, order) in self.desired_orders() {
            if available == 0 {
                return;
            }
            if self.is_due(&back_end, &order) {
                available -= 1;
                let sent = Progress::Sent { order: order.clone(), at: now };
                self.orders.progress.insert(back_end.clone(), sent);
                self.effects.push(ControlEffect::Order { back_end, address, order, not_after });
            }
        }
    }

    /// Time until which orders may be sent; `None` if this replica must not send any now.
    fn order_deadline(&self) -> Option<Timestamp> {
        if self.config.defects.skip_lease {
            return self.is_leader().then_some(Timestamp(u64::MAX));
        }
        let leader_since = self.raft.leader_since()?;
        let lease = self.raft.lease_until()?;
        let predecessor_lease_end =
            leader_since + self.config.election_timeout + self.config.lease_margin;
        (self.now >= predecessor_lease_end && self.now < lease).then_some(lease)
    }

    fn desired_orders(&self) -> Vec<(BackEndName, std::net::SocketAddr, EngineOrder)> {
        let term = self.raft.term();
        let table = self.state.table();
        table
            .all()
            .filter_map(|(key, versioned)| match (key, versioned.row.as_deref()) {
                (RowKey::BackEnd(name), Some(Row::BackEnd(row))) if !row.loaded.is_empty() => {
                    let order = EngineOrder {
                        term,
                        version: versioned.version,
                        models: row.loaded.clone(),
                        role: row.role,
                    };
                    Some((name.clone(), row.address, order))
                }
                _ => None,
            })
            .collect()
    }

    fn is_due(&self, back_end: &BackEndName, order: &EngineOrder) -> bool {
        match self.orders.progress.get(back_end) {
            None => true,
            Some(Progress::Done { term, version }) => {
                (*term, *version) != (order.term, order.version)
            }
            Some(Progress::Failed { at }) => self.now.since(*at) >= RETRY_DELAY,
            Some(Progress::Sent { order: sent, at }) => {
                sent != order || self.now.since(*at) >= ORDER_TIMEOUT
            }
        }
    }

    pub(crate) fn on_order_answered(
        &mut self,
        back_end: &BackEndName,
        order: &EngineOrder,
        result: Result<(), String>,
    ) {
        let current = matches!(
            self.orders.progress.get(back_end),
            Some(Progress::Sent { order: sent, .. }) if sent == order
        );
        if !current {
            return;
        }
        let progress = match result {
            Ok(()) => Progress::Done { term: order.term, version: order.version },
            Err(reason) => {
                let text =
                    format!("order to {back_end} (models {:?}) failed: {reason}", order.models);
                self.effects.push(ControlEffect::Warn(text));
                Progress::Failed { at: self.now }
            }
        };
        self.orders.progress.insert(back_end.clone(), progress);
    }
}
