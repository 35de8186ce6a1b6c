//! Engines as they announce themselves.
//!
//! Announcements reach control replicas, which pass them on to every router. Notices of the same
//! engine may come late, twice and from several replicas; the one with the highest sequence
//! number wins, and a life of an engine that has left never comes back.
//!
//! An engine may start again under its id. Its name then tells its lives apart, and the newest one holds:
//! its counts have begun anew, so they say nothing about which announcement is newer. A former life ends
//! when a newer one is heard of and never comes back, and what is heard of it late ends nothing.
//!
//! What engines say of their end is also written down by the control replicas ([`crate::Departures`]), and counts here
//! whether or not the announcement itself was heard.
//!
//! Two engines may claim one address: an engine that has ended and its successor, of which the first
//! may be heard of last, since announcements can be held up by a cut. A name that was not known yet takes
//! the address over; the other one gets it back by being announced on while the first is not.

use crate::departures::DepartureRecord;
use crate::engine_notice::{DirectoryDelta, EngineNotice, EngineState, MergeOutcome};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How long an engine that has left is remembered, so that late notices do not revive it.
const REMEMBER_GONE: Millis = Millis(180_000);
/// An engine that was announced longer ago than this may be gone.
const SILENCE_LIMIT: Millis = Millis(4_500);
/// An engine that has been silent for so long is taken for gone.
const GIVE_UP_AFTER: Millis = Millis(180_000);

/// A call of an engine may come this much late: engines give a call up after one second and may be held up
/// by a cut of some seconds.
const LEAVE_ON_ITS_WAY: Millis = Millis(5_000);

/// Announcements in a row that give an address back to the engine that had lost it. One may have been
/// held up; its sender's successor is heard of in between.
const ANNOUNCEMENTS_TO_RETURN: u32 = 2;

/// An engine as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRecord {
    /// The newest announcement.
    pub notice: EngineNotice,
    /// When it was made, by this process's clock.
    pub announced_at: Timestamp,
    /// When the announcement before that was made; zero if there was none.
    announced_before: Timestamp,
    /// When the first process heard of this life, as far as is known here, by this process's clock.
    known_since: Timestamp,
    /// Set if it is taken for gone because another engine was announced at its address.
    replaced: Option<Replaced>,
    /// The directory's revision that brought its state.
    revision: u64,
}

impl EngineRecord {
    fn has_left(&self) -> bool {
        self.notice.state == EngineState::Gone && self.replaced.is_none()
    }

    /// The newest announcement as a notice of the present moment.
    pub fn to_notice(&self, now: Timestamp) -> EngineNotice {
        EngineNotice {
            age: now.since(self.announced_at),
            known_for: now.since(self.known_since),
            ..self.notice.clone()
        }
    }

    /// Whether no more is known of the engine than its name and that it leaves.
    pub fn is_name_only(&self) -> bool {
        self.notice.is_name_only()
    }
}

/// Which engine has taken an address, and how often the one before has been announced since the last
/// announcement of that engine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Replaced {
    by: BackEndName,
    announcements: u32,
}

/// All engines known to a process.
#[derive(Clone, Debug)]
pub struct EngineDirectory {
    engines: BTreeMap<BackEndName, EngineRecord>,
    /// See [`Self::revision`].
    revision: u64,
    /// Announcements in a row that bring back an engine that was taken for replaced.
    announcements_to_return: u32,
    /// Engines that have not been announced of late, by the word of control.
    silent: BTreeSet<BackEndName>,
}

impl Default for EngineDirectory {
    /// For a process that hears every announcement.
    fn default() -> Self {
        Self {
            engines: BTreeMap::new(),
            revision: 0,
            announcements_to_return: ANNOUNCEMENTS_TO_RETURN,
            silent: BTreeSet::new(),
        }
    }
}

impl EngineDirectory {
    /// For a process that is told of changes only, after they have been decided elsewhere.
    pub fn follower() -> Self {
        Self { announcements_to_return: 1, ..Self::default() }
    }

    /// Takes in a notice.
    pub fn merge(&mut self, now: Timestamp, notice: EngineNotice) -> MergeOutcome {
        let announced_at = Timestamp(now.0.saturating_sub(notice.age.0));
        if notice.state != EngineState::Gone && self.has_newer_life(&notice.engine) {
            return MergeOutcome::Stale;
        }
        let change = match self.engines.get(&notice.engine) {
            None => MergeOutcome::Changed,
            Some(known) if known.has_left() => return MergeOutcome::Stale,
            Some(known)
                if notice.state != EngineState::Gone
                    && notice.sequence <= known.notice.sequence =>
            {
                return MergeOutcome::Stale;
            }
            Some(known) if known.replaced.is_some() && notice.state != EngineState::Gone => {
                if !self.returns(&notice, announced_at) {
                    return MergeOutcome::Stale;
                }
                MergeOutcome::Changed
            }
            Some(known) if known.notice.state == notice.state => MergeOutcome::Refreshed,
            Some(_) => MergeOutcome::Changed,
        };
        if change == MergeOutcome::Changed {
            self.replace_at_address(now, &notice);
            self.end_former_lives(now, &notice.engine);
        }
        self.insert(now, notice, announced_at, change);
        change
    }

    fn insert(
        &mut self,
        now: Timestamp,
        notice: EngineNotice,
        announced_at: Timestamp,
        change: MergeOutcome,
    ) {
        self.revision += u64::from(change == MergeOutcome::Changed);
        let known = self.engines.get(&notice.engine);
        let told_since = Timestamp(now.0.saturating_sub(notice.known_for.0));
        let known_since = known.map_or(told_since, |known| known.known_since.min(told_since));
        let announced_before = known.map_or(Timestamp(0), |known| known.announced_at);
        let unchanged = known.filter(|_| change != MergeOutcome::Changed);
        let revision = unchanged.map_or(self.revision, |known| known.revision);
        let replaced = None;
        let record = EngineRecord {
            notice,
            announced_at,
            announced_before,
            known_since,
            replaced,
            revision,
        };
        self.engines.insert(record.notice.engine.clone(), record);
    }

    /// The lives of an engine, the one that does not say when it began among them. Names sort by id, and
    /// those of one id by what follows it.
    fn lives<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a EngineRecord> {
        let from = self.engines.range(BackEndName::new(id)..);
        let same_beginning = from.take_while(move |(name, _)| name.as_str().starts_with(id));
        same_beginning.filter(move |(name, _)| name.id() == id).map(|(_, record)| record)
    }

    fn has_newer_life(&self, engine: &BackEndName) -> bool {
        let started_at_ms = engine.started_at_ms();
        self.lives(engine.id()).any(|record| record.notice.engine.started_at_ms() > started_at_ms)
    }

    fn end_former_lives(&mut self, now: Timestamp, engine: &BackEndName) {
        let former: Vec<BackEndName> = self
            .lives(engine.id())
            .map(|record| &record.notice.engine)
            .filter(|life| life.started_at_ms() < engine.started_at_ms())
            .cloned()
            .collect();
        for life in former {
            self.mark_gone(now, &life);
        }
    }

    /// Counts an announcement of an engine that was taken for replaced. Returns whether it has its
    /// address back. Only announcements later than the last one of the engine in its place count.
    fn returns(&mut self, notice: &EngineNotice, announced_at: Timestamp) -> bool {
        let holder_heard_at = self.holder_heard_at(&notice.engine);
        let enough = self.announcements_to_return;
        let Some(known) = self.engines.get_mut(&notice.engine) else {
            return false;
        };
        let in_a_row = known.announced_at > holder_heard_at;
        known.notice.sequence = notice.sequence;
        known.announced_at = announced_at;
        if announced_at <= holder_heard_at {
            return false;
        }
        known.replaced.as_mut().is_none_or(|replaced| {
            replaced.announcements = if in_a_row { replaced.announcements + 1 } else { 1 };
            replaced.announcements >= enough
        })
    }

    /// When the engine that took the place of `engine` was last announced.
    fn holder_heard_at(&self, engine: &BackEndName) -> Timestamp {
        let replaced = self.engines.get(engine).and_then(|known| known.replaced.as_ref());
        let holder = replaced.and_then(|replaced| self.engines.get(&replaced.by));
        holder.map_or(Timestamp(0), |holder| holder.announced_at)
    }

    /// Which life of an engine is meant by a leave that does not say so: the newest, unless that is so new
    /// that a leave of the one before may still be on its way.
    pub fn departing_incarnation(&self, now: Timestamp, id: &str) -> BackEndName {
        let mut lives: Vec<&EngineRecord> = self.lives(id).collect();
        lives.sort_by_key(|record| std::cmp::Reverse(record.notice.engine.started_at_ms()));
        let meant = match lives.as_slice() {
            [newest, former, ..] if now.since(newest.known_since) < LEAVE_ON_ITS_WAY => former,
            [newest, ..] => newest,
            [] => return BackEndName::of_incarnation(id, None),
        };
        meant.notice.engine.clone()
    }

    /// Notes that an engine has left and returns the notice to pass on. An engine that is not known
    /// here may be known elsewhere, so it is remembered as well.
    pub fn mark_gone(&mut self, now: Timestamp, engine: &BackEndName) -> EngineNotice {
        let known = self.engines.get(engine);
        let is_known = known.is_some_and(EngineRecord::has_left);
        let mut notice =
            known.map_or_else(|| EngineNotice::name_only(engine), |known| known.notice.clone());
        notice.state = EngineState::Gone;
        notice.age = Millis(0);
        let change = if is_known { MergeOutcome::Refreshed } else { MergeOutcome::Changed };
        self.insert(now, notice.clone(), now, change);
        notice
    }

    /// Takes in what the control replicas have written down of an engine's end. Returns whether its state is another one now.
    pub fn apply_departure(&mut self, now: Timestamp, word: &DepartureRecord) -> bool {
        let Some(known) = self.engines.get_mut(&word.engine) else {
            return self.depart_unknown(now, word);
        };
        let before = known.notice.state;
        if word.state == EngineState::Gone && !known.has_left() {
            known.notice.state = EngineState::Gone;
            known.announced_at = now;
            known.replaced = None;
        } else if word.state != EngineState::Gone && word.sequence >= known.notice.sequence {
            known.notice.sequence = word.sequence;
            if before != EngineState::Gone {
                known.notice.state = word.state;
            }
        }
        let has_changed = known.notice.state != before;
        if has_changed {
            self.revision += 1;
            known.revision = self.revision;
        }
        has_changed
    }

    fn depart_unknown(&mut self, now: Timestamp, word: &DepartureRecord) -> bool {
        if word.state == EngineState::Ready {
            return false;
        }
        let (state, sequence) = (word.state, word.sequence);
        let notice = EngineNotice { state, sequence, ..EngineNotice::name_only(&word.engine) };
        self.insert(now, notice, now, MergeOutcome::Changed);
        true
    }

    /// An engine that is announced for the first time at an address, or has it back, has taken the
    /// place of whichever had it before.
    fn replace_at_address(&mut self, now: Timestamp, notice: &EngineNotice) {
        let known = self.engines.get(&notice.engine);
        let held_it = known.is_some_and(|record| {
            record.replaced.is_none() && record.notice.address == notice.address
        });
        if notice.state == EngineState::Gone || held_it {
            return;
        }
        for record in self.engines.values_mut() {
            if record.notice.address == notice.address && record.notice.state != EngineState::Gone {
                record.notice.state = EngineState::Gone;
                record.announced_at = now;
                record.replaced = Some(Replaced { by: notice.engine.clone(), announcements: 0 });
            }
        }
    }

    /// Whether an engine has certainly run later than `time`: it has announced itself twice since. One
    /// announcement may have been held up on its way.
    pub fn has_run_after(&self, engine: &BackEndName, time: Timestamp) -> bool {
        self.engines.get(engine).is_some_and(|record| {
            record.notice.state != EngineState::Gone && record.announced_before > time
        })
    }

    /// Whether an engine says that it takes work.
    pub fn accepts_requests(&self, engine: &BackEndName) -> bool {
        self.get(engine).is_some_and(|record| record.notice.state == EngineState::Ready)
    }

    /// One engine.
    pub fn get(&self, engine: &BackEndName) -> Option<&EngineRecord> {
        self.engines.get(engine)
    }

    /// All engines, those that have left among them.
    pub fn iter(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values()
    }

    /// All engines as notices of the present moment, but for those of which it was only concluded
    /// that they have been replaced, and those that are known by name only and have not left.
    pub fn notices(&self, now: Timestamp) -> Vec<EngineNotice> {
        self.changes_since(now, 0).notices
    }

    /// Rises whenever an engine comes, changes its state or has its address back.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The same of the engines that have changed after revision `base`.
    pub fn changes_since(&self, now: Timestamp, base: u64) -> DirectoryDelta {
        let is_notice = |record: &&EngineRecord| {
            let is_whole = !record.is_name_only() || record.notice.state == EngineState::Gone;
            record.revision > base && record.replaced.is_none() && is_whole
        };
        let records = self.engines.values().filter(is_notice);
        let notices = records.map(|record| record.to_notice(now)).collect();
        DirectoryDelta { base, revision: self.revision, notices }
    }

    /// Engines that should be announcing themselves and have not of late.
    pub fn silent_engines(&self, now: Timestamp) -> BTreeSet<BackEndName> {
        let is_silent = |record: &&EngineRecord| {
            record.notice.state != EngineState::Gone
                && now.since(record.announced_at) >= SILENCE_LIMIT
        };
        self.engines.values().filter(is_silent).map(|record| record.notice.engine.clone()).collect()
    }

    /// Takes over which engines are silent.
    pub fn set_silent(&mut self, silent: BTreeSet<BackEndName>) {
        self.silent = silent;
    }

    /// Whether an engine is silent, by the word of control.
    pub fn is_silent(&self, engine: &BackEndName) -> bool {
        self.silent.contains(engine)
    }

    /// Forgets engines that have been silent for so long that they are taken for gone, and returns them. One that was only
    /// out of sight is new when it is announced again.
    pub fn evict_silent(&mut self, now: Timestamp) -> Vec<BackEndName> {
        let is_given_up = |record: &&EngineRecord| {
            record.notice.state != EngineState::Gone
                && now.since(record.announced_at) >= GIVE_UP_AFTER
        };
        let given_up = self.engines.values().filter(is_given_up);
        let given_up: Vec<BackEndName> =
            given_up.map(|record| record.notice.engine.clone()).collect();
        given_up.iter().for_each(|engine| self.forget(engine));
        given_up
    }

    /// Forgets an engine that another process has given up. One that has left is remembered.
    pub fn forget(&mut self, engine: &BackEndName) {
        if self.engines.get(engine).is_some_and(|record| !record.has_left()) {
            self.engines.remove(engine);
        }
    }

    /// Forgets engines that left long ago.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.engines.retain(|_, record| {
            record.notice.state != EngineState::Gone
                || now.since(record.announced_at) < REMEMBER_GONE
        });
    }
}
