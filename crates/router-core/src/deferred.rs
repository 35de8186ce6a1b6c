//! Actions deferred until an account's backup has acknowledged a change.

use crate::call::{CallId, Stage};
use crate::effect::Effect;
use crate::router::Router;
use stackpost_ledger::Record;
use stackpost_protocol::{Message, Transfer, TransferAck};
use stackpost_types::*;

/// An action that runs once the backup has acknowledged the change it depends on.
#[derive(Clone, Debug)]
pub(crate) enum DeferredAction {
    /// Send a non-idempotent request: call and number of the attempt.
    Dispatch(CallId, u32),
    /// Start the response to the caller: call and number of the attempt.
    StartResponse(CallId, u32),
    /// Send the end of the response.
    Finish(CallId, Tokens),
    /// Send a transfer of rights to the receiving account.
    Transfer { from: AccountId, to: AccountId, budget: BudgetName },
    /// Acknowledge received rights; the sender then stops resending the transfer.
    TransferAck { to: NodeId, ack: TransferAck },
    /// Report returned rights to the control plane.
    Return { account: AccountId, budget: BudgetName },
    /// Allow archiving of the bills up to this one.
    Bill { account: AccountId, up_to: u64 },
    /// Send a message.
    Reply { to: NodeId, message: Message },
    /// Refuse a call; what the refusal depends on is recorded.
    Refuse(CallId, crate::refusal::Refusal),
}

impl Router {
    /// Appends a change to an account owned by this router; returns its sequence number, or 0 if
    /// the account is not owned here.
    pub(crate) fn record(&mut self, account: &AccountId, record: Record) -> u64 {
        match self.owned.get_mut(account) {
            Some(owned) => owned.append(record),
            None => 0,
        }
    }

    /// Records a change and runs `action` once the backup has acknowledged it.
    pub(crate) fn record_and_defer(
        &mut self,
        account: &AccountId,
        record: Record,
        action: DeferredAction,
    ) {
        let sequence = self.record(account, record);
        self.defer(account, sequence, action);
    }

    /// Records a bill; once the backup has acknowledged it, it may be archived and `action` runs.
    /// If it were archived earlier, a takeover could run and bill the same request a second time.
    pub(crate) fn record_bill(
        &mut self,
        account: &AccountId,
        settle: Record,
        action: Option<DeferredAction>,
    ) {
        let sequence = self.record(account, settle);
        let Some(owned) = self.owned.get(account) else { return };
        let up_to = owned.state().last_bill();
        self.defer(account, sequence, DeferredAction::Bill { account: account.clone(), up_to });
        if let Some(action) = action {
            self.defer(account, sequence, action);
        }
    }

    pub(crate) fn defer(&mut self, account: &AccountId, sequence: u64, action: DeferredAction) {
        self.deferred_actions.entry(account.clone()).or_default().push_back((sequence, action));
    }

    /// Runs the actions whose change the backup has acknowledged.
    pub(crate) fn run_deferred_actions(&mut self) {
        loop {
            let mut ready = Vec::new();
            for (account, waiting) in &mut self.deferred_actions {
                let Some(owned) = self.owned.get(account) else {
                    continue;
                };
                let released = if self.config.defects.skip_mirror {
                    owned.sequence()
                } else {
                    owned.released()
                };
                while waiting.front().is_some_and(|(sequence, _)| *sequence <= released) {
                    if let Some((_, action)) = waiting.pop_front() {
                        ready.push(action);
                    }
                }
            }
            if ready.is_empty() {
                return;
            }
            for action in ready {
                self.run_deferred_action(action);
            }
        }
    }

    fn run_deferred_action(&mut self, action: DeferredAction) {
        match action {
            DeferredAction::Dispatch(call, number) => self.dispatch_now(call, number),
            DeferredAction::StartResponse(call, number) => self.start_response(call, number),
            DeferredAction::Finish(call, billed) => self.finish(call, billed),
            DeferredAction::Transfer { from, to, budget } => {
                self.send_transfer(&from, &to, &budget)
            }
            DeferredAction::TransferAck { to, ack } => self.send(to, Message::TransferAck(ack)),
            DeferredAction::Return { account, budget } => self.report_return(&account, &budget),
            DeferredAction::Bill { account, up_to } => self.mark_bills_mirrored(&account, up_to),
            DeferredAction::Reply { to, message } => self.send(to, message),
            DeferredAction::Refuse(call, refusal) => self.refuse(call, refusal),
        }
    }

    fn start_response(&mut self, id: CallId, number: u32) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let current = match &call.stage {
            Stage::Running(attempt) => attempt.number == number,
            Stage::Settling { .. } => true,
            _ => false,
        };
        if current && !call.response_started {
            call.response_started = true;
            self.effects.push(Effect::StartResponse(id));
        }
    }

    /// Sends the newest cumulative total of rights transferred from `from` to `to`.
    pub(crate) fn send_transfer(&mut self, from: &AccountId, to: &AccountId, budget: &BudgetName) {
        let Some(total) = self.total_sent(from, to, budget) else {
            return;
        };
        let receiver = if self.owned.contains_key(to) {
            self.config.node.clone()
        } else if let Some(owner) = self.directory.owner(to) {
            owner.clone()
        } else {
            return;
        };
        let transfer =
            Transfer { budget: budget.clone(), from: from.clone(), to: to.clone(), total };
        self.send(receiver, Message::Transfer(transfer));
    }

    pub(crate) fn total_sent(
        &self,
        from: &AccountId,
        to: &AccountId,
        budget: &BudgetName,
    ) -> Option<Tokens> {
        let holding = self.owned.get(from)?.state().holding(budget)?;
        holding.sent().get(to).copied()
    }
}
