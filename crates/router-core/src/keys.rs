//! Idempotency keys, from the side of the router that serves the request.

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

/// Time after which an unanswered question is asked again.
const ASK_AGAIN_AFTER: Millis = Millis(100);
/// Longest silence of a key's keeper before the request is refused.
const KEEPER_TIMEOUT: Millis = Millis(800);
/// Longest silence of the account that ran the first attempt.
const HOLDER_TIMEOUT: Millis = Millis(5_000);

/// The slot of a zone that keeps `key`.
pub(crate) fn slot_of(key: &KeyDigest) -> usize {
    (key.to_u64() % KEY_SLOT_COUNT as u64) as usize
}

impl Router {
    /// Asks the keeper of a call's key for the right to run it.
    pub(crate) fn ask_for_key(&mut self, id: CallId) {
        let now = self.now;
        let main = self.main.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(key) = call.key.clone() else { return };
        let Stage::Claiming { asked_at, replaces } = &mut call.stage else {
            return;
        };
        *asked_at = now;
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
        let Some(id) = self.call_of_request.get(&reply.request).copied() else {
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
                self.take_key(id);
                self.request_rights(id);
            }
            ClaimResult::HeldBy(claim) => {
                let (account, request) = (claim.holder, claim.request);
                self.trace_call_step(id, TraceStep::KeyHeld { request, account: account.clone() });
                self.set_stage(id, Stage::Fetching { account, request, asked_at: self.now });
                self.fetch(id);
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

    /// A key that was taken over from an earlier request leaves open whether that one ran.
    fn take_key(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.key_granted = true;
        call.earlier_attempt_sent |=
            matches!(call.stage, Stage::Claiming { replaces: Some(_), .. });
    }

    /// Asks whoever answers for the first attempt what became of it.
    fn fetch(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let requester = call.call.request;
        let Stage::Fetching { account, request, asked_at } = &mut call.stage else {
            return;
        };
        *asked_at = now;
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
        let Some(id) = self.call_of_request.get(&reply.requester).copied() else {
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
            FetchResult::Running => call.stage_since = self.now,
            FetchResult::Answer(answer) => {
                self.trace_call_step(id, TraceStep::Replayed { request: reply.request });
                self.remove_call(id);
                self.effects.push(Effect::Replay { call: id, answer });
            }
            FetchResult::Free => {
                let replaces = Some(reply.request);
                self.set_stage(id, Stage::Claiming { asked_at: Timestamp(0), replaces });
                self.ask_for_key(id);
            }
            FetchResult::Unknown => {
                let detail = format!("request {} under this key may have run", reply.request);
                self.refuse(id, Refusal::unknown(RefusalReason::AnswerLost, detail));
            }
        }
    }

    pub(crate) fn tick_keys(&mut self) {
        let now = self.now;
        let mut ask_again = Vec::new();
        let mut fetch_again = Vec::new();
        let mut keeper_silent = Vec::new();
        let mut holder_silent = Vec::new();
        for (id, call) in &self.calls {
            let waited = now.since(call.stage_since);
            match &call.stage {
                Stage::Claiming { .. } if waited >= KEEPER_TIMEOUT => keeper_silent.push(*id),
                Stage::Claiming { asked_at, .. } if now.since(*asked_at) >= ASK_AGAIN_AFTER => {
                    ask_again.push(*id);
                }
                Stage::Fetching { .. } if waited >= HOLDER_TIMEOUT => holder_silent.push(*id),
                Stage::Fetching { asked_at, .. } if now.since(*asked_at) >= ASK_AGAIN_AFTER => {
                    fetch_again.push(*id);
                }
                _ => {}
            }
        }
        for id in keeper_silent {
            self.refuse_keeper_silent(id);
        }
        for id in holder_silent {
            let detail = "the machine that works on this key's request does not answer";
            let refusal = Refusal::unknown(RefusalReason::AnswerLost, detail);
            self.refuse(id, refusal.retry_after(RETRY_AFTER_PARTITION));
        }
        for id in ask_again {
            self.ask_for_key(id);
        }
        for id in fetch_again {
            self.fetch(id);
        }
        self.tick_retention();
    }

    fn refuse_keeper_silent(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(key) = &call.key else { return };
        let detail = format!("zone {} keeps this key and does not answer", key.zone);
        // Whether an earlier request under the key has run, nobody here knows.
        let refusal = Refusal::unknown(RefusalReason::KeyKeeperUnreachable, detail);
        self.refuse(id, refusal.retry_after(RETRY_AFTER_PARTITION));
    }
}
