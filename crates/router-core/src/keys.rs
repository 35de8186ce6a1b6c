//! Idempotency keys on the side of the router that serves the request.

use crate::call::{CallId, Stage};
use crate::effect::Effect;
use crate::refusal::{Refusal, RefusalReason};
use crate::rights::RETRY_AFTER_PARTITION;
use crate::router::Router;
use crate::trace::TraceStep;
use stackpost_ledger::{KeyClaim, KeyDigest};
use stackpost_protocol::*;
use stackpost_table::KEY_SLOT_COUNT;
use stackpost_types::*;

/// Time after which an unanswered claim or fetch is sent again.
const RESEND_INTERVAL: Millis = Millis(100);
/// Maximum wait for the key's keeper, the owner of the account that stores the key, before the
/// request is refused.
const KEEPER_TIMEOUT: Millis = Millis(800);
/// Maximum time without a reply from the holder of the key, the account that ran the earlier
/// request. A reply that the request is still running restarts it.
const HOLDER_TIMEOUT: Millis = Millis(5_000);

/// The key slot of a zone that stores `key`.
pub(crate) fn slot_of(key: &KeyDigest) -> usize {
    (key.to_u64() % KEY_SLOT_COUNT as u64) as usize
}

impl Router {
    /// Claims a call's key at its keeper.
    pub(crate) fn send_key_claim(&mut self, id: CallId) {
        let now = self.now;
        let main = self.main.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(key) = call.key.clone() else { return };
        let Stage::Claiming { requested_at, replaces } = &mut call.stage else {
            return;
        };
        *requested_at = now;
        let replaces = *replaces;
        let claim = KeyClaim {
            request: call.call.request,
            holder: main,
            fingerprint: call.call.fingerprint,
        };
        let keeper = self
            .directory
            .key_slot(&key.zone, slot_of(&key.digest))
            .and_then(|(account, _)| self.directory.owner(account))
            .cloned();
        let Some(keeper) = keeper else { return };
        self.trace_call_step(id, TraceStep::KeyAsked { keeper: keeper.clone() });
        let message = ClaimKey { zone: key.zone, key: key.digest, claim, replaces };
        self.send(keeper, Message::ClaimKey(message));
    }

    pub(crate) fn on_claim_reply(&mut self, reply: ClaimReply) {
        let Some(id) = self.call_by_request.get(&reply.request).copied() else {
            return;
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if !matches!(call.stage, Stage::Claiming { .. }) {
            return;
        }
        match reply.result {
            ClaimResult::Granted => {
                self.trace_call_step(id, TraceStep::KeyGranted);
                self.accept_key(id);
                self.request_rights(id);
            }
            ClaimResult::HeldBy(claim) => {
                let (account, request) = (claim.holder, claim.request);
                self.trace_call_step(id, TraceStep::KeyHeld { request, account: account.clone() });
                self.set_stage(id, Stage::Fetching { account, request, requested_at: self.now });
                self.fetch_answer(id);
            }
            ClaimResult::FingerprintMismatch => {
                let detail = "this Idempotency-Key came with another request before";
                self.refuse(id, Refusal::not_run(RefusalReason::KeyReused, detail));
            }
            ClaimResult::Forgotten => {
                let detail = "the zone that keeps this key lost its records a short while ago";
                self.refuse(id, Refusal::unknown(RefusalReason::KeyForgotten, detail));
            }
        }
    }

    /// Marks the key as granted. If it replaces an earlier request, that one may have run.
    fn accept_key(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.key_granted = true;
        call.earlier_attempt_sent |=
            matches!(call.stage, Stage::Claiming { replaces: Some(_), .. });
    }

    /// Queries the owner of the holding account for the outcome of the earlier request.
    fn fetch_answer(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let requester = call.call.request;
        let Stage::Fetching { account, request, requested_at } = &mut call.stage else {
            return;
        };
        *requested_at = now;
        let (account, request) = (account.clone(), *request);
        match self.directory.owner(&account).cloned() {
            Some(owner) => {
                self.send(owner, Message::FetchAnswer(FetchAnswer { account, request, requester }));
            }
            None if self.directory.account(&account).is_some() => {
                let detail = format!("account {account}, which ran request {request}, is lost");
                self.refuse(id, Refusal::unknown(RefusalReason::AnswerLost, detail));
            }
            None => {}
        }
    }

    pub(crate) fn on_fetch_reply(&mut self, reply: FetchReply) {
        let Some(id) = self.call_by_request.get(&reply.requester).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match &call.stage {
            Stage::Fetching { request, .. } if *request == reply.request => {}
            _ => return,
        }
        match reply.result {
            FetchResult::Running => call.stage_entered_at = self.now,
            FetchResult::Answer(answer) => {
                self.trace_call_step(id, TraceStep::Replayed { request: reply.request });
                self.remove_call(id);
                self.effects.push(Effect::Replay { call: id, answer });
            }
            FetchResult::Free => {
                let replaces = Some(reply.request);
                self.set_stage(id, Stage::Claiming { requested_at: Timestamp(0), replaces });
                self.send_key_claim(id);
            }
            FetchResult::Unknown => {
                let detail = format!("request {} under this key may have run", reply.request);
                self.refuse(id, Refusal::unknown(RefusalReason::AnswerLost, detail));
            }
        }
    }

    pub(crate) fn tick_keys(&mut self) {
        let now = self.now;
        let mut claims_to_resend = Vec::new();
        let mut fetches_to_resend = Vec::new();
        let mut keeper_timed_out = Vec::new();
        let mut holder_timed_out = Vec::new();
        for (id, call) in &self.calls {
            let waited = now.since(call.stage_entered_at);
            match &call.stage {
                Stage::Claiming { .. } if waited >= KEEPER_TIMEOUT => keeper_timed_out.push(*id),
                Stage::Claiming { requested_at, .. }
                    if now.since(*requested_at) >= RESEND_INTERVAL =>
                {
                    claims_to_resend.push(*id);
                }
                Stage::Fetching { .. } if waited >= HOLDER_TIMEOUT => holder_timed_out.push(*id),
                Stage::Fetching { requested_at, .. }
                    if now.since(*requested_at) >= RESEND_INTERVAL =>
                {
                    fetches_to_resend.push(*id);
                }
                _ => {}
            }
        }
        for id in keeper_timed_out {
            self.refuse_keeper_unreachable(id);
        }
        for id in holder_timed_out {
            let detail = "the machine that works on this key's request does not answer";
            let refusal = Refusal::unknown(RefusalReason::AnswerLost, detail);
            self.refuse(id, refusal.retry_after(RETRY_AFTER_PARTITION));
        }
        for id in claims_to_resend {
            self.send_key_claim(id);
        }
        for id in fetches_to_resend {
            self.fetch_answer(id);
        }
        self.tick_retention();
    }

    fn refuse_keeper_unreachable(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(key) = &call.key else { return };
        let detail = format!("zone {} keeps this key and does not answer", key.zone);
        // This router does not know whether an earlier request under the key has run.
        let refusal = Refusal::unknown(RefusalReason::KeyKeeperUnreachable, detail);
        self.refuse(id, refusal.retry_after(RETRY_AFTER_PARTITION));
    }
}
