//! Idempotency keys on the side of the account that stores them, and the responses stored for
//! them.

use crate::deferred::DeferredAction;
use crate::keys::slot_of;
use crate::router::Router;
use stackpost_ledger::{KeyDigest, Record};
use stackpost_protocol::*;
use stackpost_types::*;
use std::collections::VecDeque;

/// Stored responses outlive their keys by this much, so that the outcome of every stored key can
/// still be fetched.
const ANSWER_GRACE: Millis = Millis(60_000);

/// Retention times of an account's keys and stored responses.
#[derive(Debug)]
pub(crate) struct Retention {
    /// When this router adopted the account or first used its key store.
    started_at: Timestamp,
    claims: VecDeque<(Timestamp, KeyDigest, RequestId)>,
    answers: VecDeque<(Timestamp, RequestId)>,
}

impl Router {
    fn retention(&mut self, account: &AccountId) -> &mut Retention {
        let started_at = self.now;
        self.key_retention.entry(account.clone()).or_insert_with(|| Retention {
            started_at,
            claims: VecDeque::new(),
            answers: VecDeque::new(),
        })
    }

    /// Starts the retention period of all keys and responses of an adopted account.
    pub(crate) fn start_retention(&mut self, account: &AccountId) {
        let now = self.now;
        let Some(owned) = self.owned.get(account) else {
            return;
        };
        let claims = owned.state().claims().iter();
        let claims = claims.map(|(key, claim)| (now, *key, claim.request)).collect();
        let answers = owned.state().answers().keys().map(|request| (now, *request)).collect();
        self.key_retention.insert(account.clone(), Retention { started_at: now, claims, answers });
    }

    pub(crate) fn retain_answer(&mut self, account: &AccountId, request: RequestId) {
        let now = self.now;
        self.retention(account).answers.push_back((now, request));
    }

    /// Handles a router's claim to run a request under a key.
    pub(crate) fn on_claim_key(&mut self, from: NodeId, claim_key: ClaimKey) {
        let slot = self.directory.key_slot(&claim_key.zone, slot_of(&claim_key.key));
        let Some((account, forgotten)) = slot.map(|(id, forgotten)| (id.clone(), forgotten)) else {
            return;
        };
        let still_forgotten = forgotten && !self.forgotten_keys_expired(&account);
        let Some(owned) = self.owned.get(&account) else {
            return;
        };
        let request = claim_key.claim.request;
        let result = match owned.state().claim(&claim_key.key) {
            Some(held) if held.request == request => ClaimResult::Granted,
            Some(held) if held.fingerprint != claim_key.claim.fingerprint => {
                ClaimResult::FingerprintMismatch
            }
            Some(held) if claim_key.replaces != Some(held.request) => {
                ClaimResult::HeldBy(held.clone())
            }
            None if still_forgotten => ClaimResult::Forgotten,
            _ => {
                let now = self.now;
                let (key, claim) = (claim_key.key, claim_key.claim);
                self.record(&account, Record::Claim { key, claim });
                self.retention(&account).claims.push_back((now, key, request));
                ClaimResult::Granted
            }
        };
        // The reply has to stay valid if this machine fails, so it waits for the backup.
        let sequence = self.owned.get(&account).map_or(0, |owned| owned.sequence());
        let message = Message::ClaimReply(ClaimReply { request, result });
        self.defer(&account, sequence, DeferredAction::Reply { to: from, message });
    }

    /// Whether the retention of all keys that were lost with the zone's records has passed.
    fn forgotten_keys_expired(&mut self, account: &AccountId) -> bool {
        let key_retention_period = Millis(self.directory.policy().key_retention_ms);
        let now = self.now;
        now.since(self.retention(account).started_at) > key_retention_period
    }

    /// Handles a router's query for the outcome of a request.
    pub(crate) fn on_fetch_answer(&mut self, from: NodeId, fetch: FetchAnswer) {
        let Some(owned) = self.owned.get(&fetch.account) else {
            return;
        };
        let FetchAnswer { account, request, requester } = fetch;
        let state = owned.state();
        let result = if self.call_by_request.contains_key(&request) {
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
                    // Its router crashed while the request ran. It was not billed and may run
                    // again: the rights are released first, so that it is billed only where it
                    // runs next.
                    self.record(&account, Record::Release { request });
                    FetchResult::Free
                }
                None => FetchResult::Free,
            }
        };
        let result = self.apply_swap_answers_fault(&account, result);
        let sequence = self.owned.get(&account).map_or(0, |owned| owned.sequence());
        let message = Message::FetchReply(FetchReply { requester, request, result });
        self.defer(&account, sequence, DeferredAction::Reply { to: from, message });
    }

    /// Injects the fault `swap_answers`.
    fn apply_swap_answers_fault(&self, account: &AccountId, result: FetchResult) -> FetchResult {
        let newest =
            self.owned.get(account).and_then(|owned| owned.state().answers().values().last());
        match newest {
            Some(answer) if self.config.defects.swap_answers => FetchResult::Answer(answer.clone()),
            _ => result,
        }
    }

    /// Drops keys and stored responses whose retention has passed.
    pub(crate) fn tick_retention(&mut self) {
        let key_retention_period = Millis(self.directory.policy().key_retention_ms);
        let answer_retention_period = Millis(key_retention_period.0 + ANSWER_GRACE.0);
        let now = self.now;
        let mut expired_records = Vec::new();
        for (account, retention) in &mut self.key_retention {
            let is_expired = |recorded_at: Timestamp, span: Millis| now.since(recorded_at) > span;
            while retention
                .claims
                .front()
                .is_some_and(|(at, ..)| is_expired(*at, key_retention_period))
            {
                let Some((_, key, request)) = retention.claims.pop_front() else {
                    break;
                };
                let state = self.owned.get(account).map(|owned| owned.state());
                let held = state.and_then(|state| state.claim(&key));
                if held.is_some_and(|claim| claim.request == request) {
                    expired_records.push((account.clone(), Record::DropKey { key }));
                }
            }
            while retention
                .answers
                .front()
                .is_some_and(|(at, _)| is_expired(*at, answer_retention_period))
            {
                let Some((_, request)) = retention.answers.pop_front() else {
                    break;
                };
                expired_records.push((account.clone(), Record::DropAnswer { request }));
            }
        }
        for (account, record) in expired_records {
            self.record(&account, record);
        }
    }
}
