//! Planned stop: the router takes no new requests, finishes the running ones, transfers its
//! rights to another router and waits for its bills to be archived before it leaves.

use crate::effect::Effect;
use crate::refusal::{Refusal, RefusalReason};
use crate::router::Router;
use stackpost_table::AccountState;
use stackpost_types::*;

/// Maximum wait, after the last request, for rights to be transferred and bills archived.
const HANDOVER_TIMEOUT: Millis = Millis(5_000);

/// Progress of a planned stop.
#[derive(Debug)]
pub(crate) struct Drain {
    started_at: Timestamp,
    idle_since: Option<Timestamp>,
    handed_over: bool,
    leaving: bool,
}

impl Router {
    pub(crate) fn on_drain(&mut self) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(Drain {
            started_at: self.now,
            idle_since: None,
            handed_over: false,
            leaving: false,
        });
        if self.config.defects.drain_at_once {
            self.effects.push(Effect::Drained);
        }
    }

    /// Whether heartbeats ask the control plane to give this router's accounts to their backups.
    pub(crate) fn is_leaving(&self) -> bool {
        self.draining.as_ref().is_some_and(|drain| drain.leaving)
    }

    pub(crate) fn tick_drain(&mut self) {
        let Some(drain) = &self.draining else { return };
        let deadline = Millis(self.directory.policy().drain_deadline_ms);
        if !self.calls.is_empty() && self.now.since(drain.started_at) < deadline {
            return;
        }
        self.refuse_remaining_calls();
        let handed_over = self.draining.as_ref().is_some_and(|drain| drain.handed_over);
        if !handed_over {
            self.hand_over_rights();
        }
        let now = self.now;
        let settled = self.is_settled();
        let Some(drain) = &mut self.draining else {
            return;
        };
        drain.handed_over = true;
        let idle_since = *drain.idle_since.get_or_insert(now);
        let timed_out = now.since(idle_since) > HANDOVER_TIMEOUT;
        if settled || timed_out {
            drain.leaving = true;
        }
        if timed_out {
            self.effects.push(Effect::Drained);
        }
    }

    fn refuse_remaining_calls(&mut self) {
        let calls: Vec<_> = self.calls.keys().copied().collect();
        for id in calls {
            let ran = self.calls.get(&id).is_some_and(|call| call.counts_as_run());
            let detail = "the deadline of a planned stop has passed";
            let refusal = match ran {
                true => Refusal::unknown(RefusalReason::Draining, detail),
                false => Refusal::not_run(RefusalReason::Draining, detail),
            };
            self.refuse(id, refusal);
        }
    }

    /// Whether all transfers are acknowledged, all bills archived and all changes mirrored.
    fn is_settled(&self) -> bool {
        let archived_and_mirrored = self
            .owned
            .values()
            .all(|owned| owned.state().bills().is_empty() && !owned.has_unacked());
        archived_and_mirrored && self.rights.outgoing.is_empty()
    }

    /// Transfers all unreserved rights to the account of another router, in this zone if there is
    /// one.
    fn hand_over_rights(&mut self) {
        let successors = self.directory.accounts().filter(|(id, row)| {
            row.state == AccountState::Active && row.backup.is_some() && **id != self.main
        });
        let successor = successors
            .max_by_key(|(id, row)| (row.zone == self.config.zone, (*id).clone()))
            .map(|(id, _)| id.clone());
        let Some(successor) = successor else { return };
        let mut transfers = Vec::new();
        for (id, owned) in &self.owned {
            for budget in owned.state().holdings().keys() {
                let free = self.unreserved_rights(id, budget);
                if !free.is_zero() {
                    transfers.push((id.clone(), budget.clone(), free));
                }
            }
        }
        for (from, budget, amount) in transfers {
            self.transfer_rights(&from, &successor, &budget, amount);
        }
    }
}
