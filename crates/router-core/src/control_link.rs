//! Heartbeats to the control replicas.

use crate::bills::BillDelivery;
use crate::router::Router;
use stackpost_protocol::{Heartbeat, Message};
use stackpost_types::*;
use std::collections::BTreeMap;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// Timers of heartbeats and bill deliveries to the control replicas.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    next_heartbeat_at: Timestamp,
    pub bill_deliveries: BTreeMap<AccountId, BillDelivery>,
}

impl Timers {
    /// Makes the next tick send a heartbeat, which reports the configuration version in force.
    pub fn report_version_now(&mut self) {
        self.next_heartbeat_at = Timestamp(0);
    }
}

impl Router {
    pub(crate) fn tick_control_link(&mut self) {
        if self.now < self.timers.next_heartbeat_at {
            return;
        }
        self.timers.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL;
        let heartbeat = Heartbeat {
            zone: self.config.zone.clone(),
            version: if self.directory.confirmed { self.version() } else { Version(0) },
            silent_owners: self.silent_owners(),
            leaving: self.is_leaving(),
        };
        self.send_to_control(&Message::Heartbeat(heartbeat));
    }

    fn silent_owners(&self) -> Vec<AccountId> {
        let timeout = Millis(self.directory.policy().router_timeout_ms);
        self.mirrors
            .iter()
            .filter(|(_, mirror)| self.now.since(mirror.last_message_at) > timeout)
            .map(|(account, _)| account.clone())
            .collect()
    }
}
