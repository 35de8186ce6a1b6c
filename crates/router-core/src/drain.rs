//! A planned stop: no new requests, all work finished, rights and bills handed over.

use crate::effect::Effect;
use crate::refusal::{Refusal, RefusalReason};
use crate::router::Router;
use stackpost_table::AccountState;
use stackpost_types::*;

/// Longest wait, after the last request, for rights and bills to be handed over.
const HAND_OVER_TIMEOUT: Millis = Millis(5_000);

/// How far a planned stop has got.
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

    /// Whether the control plane is asked to give this router's accounts to their backups.
    pub(crate) fn is_leaving(&self) -> bool {
        self.draining.as_ref().is_some_and(|drain| drain.leaving)
    }

    pub(crate) fn tick_drain(&mut self) {
        let Some(drain) = &self.draining else { return };
        let deadline = Millis(self.directory.policy().drain_deadline_ms);
        if !self.calls.is_empty() && self.now.since(drain.started_at) < deadline {
            return;
        }
        self.refuse_what_is_left();
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
        let timed_out = now.since(idle_since) > HAND_OVER_TIMEOUT;
        if settled || timed_out {
            drain.leaving = true;
        }
        if timed_out {
            self.effects.push(Effect::Drained);
        }
    }

    fn refuse_what_is_left(&mut self) {
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

    /// Whether all transfers are confirmed, all bills archived and all changes mirrored.
    fn is_settled(&self) -> bool {
        let quiet = self
            .owned
            .values()
            .all(|owned| owned.state().bills().is_empty() && !owned.has_unacked());
        quiet && self.rights.outgoing.is_empty()
    }

    /// Sends what is free to another account, of this zone if there is one.
    fn hand_over_rights(&mut self) {
        let successors = self.directory.accounts().filter(|(id, row)| {
            row.state == AccountState::Active && row.backup.is_some() && **id != self.main
        });
        let successor = successors
            .max_by_key(|(id, row)| (row.zone == self.config.zone, (*id).clone()))
            .map(|(id, _)| id.clone());
        let Some(successor) = successor else { return };
        let mut moves = Vec::new();
        for (id, owned) in &self.owned {
            for budget in owned.state().holdings().keys() {
                let free = self.unreserved_rights(id, budget);
                if !free.is_zero() {
                    moves.push((id.clone(), budget.clone(), free));
                }
            }
        }
        for (from, budget, amount) in moves {
            self.transfer_rights(&from, &successor, &budget, amount);
        }
    }
}
