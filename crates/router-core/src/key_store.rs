//! Idempotency keys, from the side of the account that keeps them, and the answers kept for them.

use crate::deferred::DeferredAction;
use crate::keys::slot_of;
use crate::router::Router;
use stackpost_ledger::{KeyDigest, Record};
use stackpost_protocol::*;
use stackpost_types::*;
use std::collections::VecDeque;

/// Answers outlive their keys by this much, so that a kept key always leads to what became of it.
const ANSWER_GRACE: Millis = Millis(60_000);

/// When keys and answers of an account were last touched.
#[derive(Debug)]
pub(crate) struct Retention {
    /// When this router began to keep the account.
    since: Timestamp,
    claims: VecDeque<(Timestamp, KeyDigest, RequestId)>,
    answers: VecDeque<(Timestamp, RequestId)>,
}

impl Router {
    fn retention(&mut self, account: &AccountId) -> &mut Retention {
        let since = self.now;
        self.key_retention.entry(account.clone()).or_insert_with(|| Retention {
            since,
            claims: VecDeque::new(),
            answers: VecDeque::new(),
        })
    }

    /// Starts the clock for everything that an account which was taken over keeps.
    pub(crate) fn start_retention(&mut self, account: &AccountId) {
        let now = self.now;
        let Some(owned) = self.owned.get(account) else {
            return;
        };
        let claims = owned.state().claims().iter();
        let claims = claims.map(|(key, claim)| (now, *key, claim.request)).collect();
        let answers = owned.state().answers().keys().map(|request| (now, *request)).collect();
        self.key_retention.insert(account.clone(), Retention { since: now, claims, answers });
    }

    pub(crate) fn retain_answer(&mut self, account: &AccountId, request: RequestId) {
        let now = self.now;
        self.retention(account).answers.push_back((now, request));
    }

    /// A router asks for the right to run a request under a key.
    pub(crate) fn on_claim_key(&mut self, from: NodeId, ask: ClaimKey) {
        let slot = self.directory.key_slot(&ask.zone, slot_of(&ask.key));
        let Some((account, forgotten)) = slot.map(|(id, forgotten)| (id.clone(), forgotten)) else {
            return;
        };
        let still_forgotten = forgotten && !self.forgetting_has_passed(&account);
        let Some(owned) = self.owned.get(&account) else {
            return;
        };
        let request = ask.claim.request;
        let result = match owned.state().claim(&ask.key) {
            Some(held) if held.request == request => ClaimResult::Granted,
            Some(held) if held.fingerprint != ask.claim.fingerprint => {
                ClaimResult::FingerprintMismatch
            }
            Some(held) if ask.replaces != Some(held.request) => ClaimResult::HeldBy(held.clone()),
            None if still_forgotten => ClaimResult::Forgotten,
            _ => {
                let now = self.now;
                let (key, claim) = (ask.key, ask.claim);
                self.record(&account, Record::Claim { key, claim });
                self.retention(&account).claims.push_back((now, key, request));
                ClaimResult::Granted
            }
        };
        // Whatever is said must outlive this machine: the answer waits for the backup.
        let sequence = self.owned.get(&account).map_or(0, |owned| owned.sequence());
        let message = Message::ClaimReply(ClaimReply { request, result });
        self.defer(&account, sequence, DeferredAction::Reply { to: from, message });
    }

    /// Whether all keys that were lost with the zone's records are past their retention.
    fn forgetting_has_passed(&mut self, account: &AccountId) -> bool {
        let keep = Millis(self.directory.policy().key_retention_ms);
        let now = self.now;
        now.since(self.retention(account).since) > keep
    }

    /// A router asks what became of a request.
    pub(crate) fn on_fetch_answer(&mut self, from: NodeId, fetch: FetchAnswer) {
        let Some(owned) = self.owned.get(&fetch.account) else {
            return;
        };
        let FetchAnswer { account, request, requester } = fetch;
        let state = owned.state();
        let result = if self.call_of_request.contains_key(&request) {
            FetchResult::Running
        } else if let Some(answer) = state.answer(&request) {
            if answer.is_unknown() {
                FetchResult::Unknown
            } else {
                FetchResult::Answer(answer.clone())
            }
        } else {
            match state.intents().get(&request) {
                Some(intent) if !intent.repeatable => FetchResult::Unknown,
                Some(_) => {
                    // Its router died while it ran. It was not billed and may run again: the
                    // rights are freed first, so that it is billed only where it runs next.
                    self.record(&account, Record::Release { request });
                    FetchResult::Free
                }
                None => FetchResult::Free,
            }
        };
        let result = self.maybe_cross(&account, result);
        let sequence = self.owned.get(&account).map_or(0, |owned| owned.sequence());
        let message = Message::FetchReply(FetchReply { requester, request, result });
        self.defer(&account, sequence, DeferredAction::Reply { to: from, message });
    }

    /// The deliberate fault `swap_answers`.
    fn maybe_cross(&self, account: &AccountId, result: FetchResult) -> FetchResult {
        let newest =
            self.owned.get(account).and_then(|owned| owned.state().answers().values().last());
        match newest {
            Some(answer) if self.config.defects.swap_answers => FetchResult::Answer(answer.clone()),
            _ => result,
        }
    }

    /// Drops keys and answers whose retention has passed.
    pub(crate) fn tick_retention(&mut self) {
        let keep = Millis(self.directory.policy().key_retention_ms);
        let keep_answers = Millis(keep.0 + ANSWER_GRACE.0);
        let now = self.now;
        let mut drops = Vec::new();
        for (account, retention) in &mut self.key_retention {
            let old = |touched: Timestamp, span: Millis| now.since(touched) > span;
            while retention.claims.front().is_some_and(|(at, ..)| old(*at, keep)) {
                let Some((_, key, request)) = retention.claims.pop_front() else {
                    break;
                };
                let state = self.owned.get(account).map(|owned| owned.state());
                let held = state.and_then(|state| state.claim(&key));
                if held.is_some_and(|claim| claim.request == request) {
                    drops.push((account.clone(), Record::DropKey { key }));
                }
            }
            while retention.answers.front().is_some_and(|(at, _)| old(*at, keep_answers)) {
                let Some((_, request)) = retention.answers.pop_front() else {
                    break;
                };
                drops.push((account.clone(), Record::DropAnswer { request }));
            }
        }
        for (account, record) in drops {
            self.record(&account, record);
        }
    }
}
