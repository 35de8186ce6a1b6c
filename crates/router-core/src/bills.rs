//! Bills on their way to the control replicas' disks.

use crate::router::Router;
use stackpost_ledger::{Bill, Record};
use stackpost_protocol::Message;
use stackpost_types::*;
use std::collections::BTreeMap;

/// Time between two deliveries of an account's new bills.
const DELIVERY_INTERVAL: Millis = Millis(200);
/// Time after which unconfirmed bills are delivered again.
const REDELIVER_AFTER: Millis = Millis(2_000);
/// Bills carried by one message.
const BILLS_PER_MESSAGE: usize = 1_000;

/// How far the bills of one account have got.
#[derive(Debug, Default)]
pub(crate) struct BillDelivery {
    stored: BTreeMap<MachineName, u64>,
    /// Last bill that stands on the backup.
    released: u64,
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
            let released =
                self.timers.bill_deliveries.get(&account).map_or(0, |held| held.released);
            let delivery = self.timers.bill_deliveries.entry(account.clone()).or_default();
            let waited = now.since(delivery.sent_at);
            let overdue = waited >= REDELIVER_AFTER;
            let fresh = released > delivery.sent_up_to && waited >= DELIVERY_INTERVAL;
            if !(overdue || fresh) {
                continue;
            }
            let archived = owned.state().bills().keys().next().map_or(0, |first| first - 1);
            let from = if overdue { 0 } else { delivery.sent_up_to };
            let bills: Vec<Bill> = owned
                .state()
                .bills()
                .range(from + 1..)
                .take_while(|(number, _)| **number <= released)
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

    /// The bills of an account stand on its backup up to this one.
    pub(crate) fn mark_bills_mirrored(&mut self, account: &AccountId, up_to: u64) {
        let delivery = self.timers.bill_deliveries.entry(account.clone()).or_default();
        delivery.released = up_to.max(delivery.released);
    }

    /// A control replica has synced an account's bills. Once a majority has, they are dropped
    /// here.
    pub(crate) fn on_bills_stored(
        &mut self,
        replica: &MachineName,
        account: &AccountId,
        up_to: u64,
    ) {
        let majority = self.config.control.len() / 2 + 1;
        let delivery = self.timers.bill_deliveries.entry(account.clone()).or_default();
        let known = delivery.stored.entry(replica.clone()).or_default();
        *known = up_to.max(*known);
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
