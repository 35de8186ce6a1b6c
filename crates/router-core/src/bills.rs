//! Delivery of bills to the control replicas, which archive them.

use crate::router::Router;
use stackpost_ledger::{Bill, Record};
use stackpost_protocol::Message;
use stackpost_types::*;
use std::collections::BTreeMap;

/// Time between two deliveries of an account's new bills.
const DELIVERY_INTERVAL: Millis = Millis(200);
/// Time after which unconfirmed bills are sent again.
const REDELIVERY_INTERVAL: Millis = Millis(2_000);
/// Maximum number of bills in one message.
const BILLS_PER_MESSAGE: usize = 1_000;

/// Delivery progress of one account's bills, as sequence numbers.
#[derive(Debug, Default)]
pub(crate) struct BillDelivery {
    /// Last bill that each control replica has stored.
    stored: BTreeMap<MachineName, u64>,
    /// Last bill that the backup has acknowledged.
    mirrored_up_to: u64,
    sent_up_to: u64,
    sent_at: Timestamp,
}

impl Router {
    pub(crate) fn tick_bills(&mut self) {
        let now = self.now;
        let accounts: Vec<AccountId> = self.owned.keys().cloned().collect();
        for account in accounts {
            let Some(owned) = self.owned.get(&account) else {
                continue;
            };
            let mirrored_up_to =
                self.timers.bill_deliveries.get(&account).map_or(0, |held| held.mirrored_up_to);
            let delivery = self.timers.bill_deliveries.entry(account.clone()).or_default();
            let elapsed = now.since(delivery.sent_at);
            let overdue = elapsed >= REDELIVERY_INTERVAL;
            let new_bills_due =
                mirrored_up_to > delivery.sent_up_to && elapsed >= DELIVERY_INTERVAL;
            if !(overdue || new_bills_due) {
                continue;
            }
            let archived = owned.state().bills().keys().next().map_or(0, |first| first - 1);
            let from = if overdue { 0 } else { delivery.sent_up_to };
            let bills: Vec<Bill> = owned
                .state()
                .bills()
                .range(from + 1..)
                .take_while(|(number, _)| **number <= mirrored_up_to)
                .take(BILLS_PER_MESSAGE)
                .map(|(_, bill)| bill.clone())
                .collect();
            let Some(newest) = bills.last().map(|bill| bill.sequence) else {
                continue;
            };
            delivery.sent_up_to = newest;
            delivery.sent_at = now;
            self.send_to_control(&Message::Bills { account, archived, bills });
        }
    }

    /// Records that the backup has acknowledged the account's bills up to `up_to`; they may now be
    /// archived.
    pub(crate) fn mark_bills_mirrored(&mut self, account: &AccountId, up_to: u64) {
        let delivery = self.timers.bill_deliveries.entry(account.clone()).or_default();
        delivery.mirrored_up_to = up_to.max(delivery.mirrored_up_to);
    }

    /// A control replica has synced an account's bills up to `up_to`. Bills that a majority of the
    /// replicas has synced are dropped from the account.
    pub(crate) fn on_bills_stored(
        &mut self,
        replica: &MachineName,
        account: &AccountId,
        up_to: u64,
    ) {
        let majority = self.config.control.len() / 2 + 1;
        let delivery = self.timers.bill_deliveries.entry(account.clone()).or_default();
        let last_stored = delivery.stored.entry(replica.clone()).or_default();
        *last_stored = up_to.max(*last_stored);
        let mut stored: Vec<u64> = delivery.stored.values().copied().collect();
        stored.sort_unstable_by(|left, right| right.cmp(left));
        let Some(up_to) = stored.get(majority - 1).copied() else {
            return;
        };
        let pending = self
            .owned
            .get(account)
            .is_some_and(|owned| owned.state().bills().range(..=up_to).next().is_some());
        if pending {
            self.record(account, Record::BillsArchived { up_to });
        }
    }
}
