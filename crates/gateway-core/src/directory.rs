//! The known engines, from their announcements.
//!
//! Announcements reach control replicas, which pass them on to every router. Notices of the same
//! engine may arrive late, twice and from several replicas; the one with the highest sequence
//! number wins, and an incarnation that has left never returns.
//!
//! An engine may restart under the same id. Its name then distinguishes its incarnations, and the
//! newest one wins: its sequence numbers start again, so they do not show which announcement is
//! newer. An older incarnation ends when a newer one becomes known, never returns, and its late
//! notices do not end the newer one.
//!
//! Departures of engines are also committed by the control replicas ([`crate::Departures`]) and
//! take effect here whether or not the announcement itself was received.
//!
//! Two engines may claim one address: an engine that has ended and its successor. The announcement
//! of the former may be received last, since a partition can delay announcements. An engine that
//! was not known yet takes the address over; the other one reclaims it by continuing to announce
//! itself while the new one does not.

use crate::departures::DepartureRecord;
use crate::engine_notice::{DirectoryDelta, EngineNotice, EngineState, MergeOutcome};
use stackpost_types::{BackEndName, Millis, SoftwareVersion, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Time for which an engine that has left is remembered, so that late notices do not revive it.
const GONE_RETENTION: Millis = Millis(180_000);
/// Time since the last announcement after which an engine counts as silent.
const SILENCE_TIMEOUT: Millis = Millis(4_500);
/// Time since the last announcement after which a silent engine is evicted.
const EVICTION_TIMEOUT: Millis = Millis(180_000);

/// Maximum delay of an engine's leave call: engines give up a call after one second and may be
/// delayed by a partition of some seconds.
const MAX_LEAVE_DELAY: Millis = Millis(5_000);

/// Consecutive announcements with which an engine reclaims an address that it had lost. A single
/// one may have been delayed; between two, its sender's successor would announce itself.
const ANNOUNCEMENTS_TO_RECLAIM: u32 = 2;

/// A leave call may be of this incarnation of an engine or of the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the leave call may be of a predecessor of {0}")]
pub struct AmbiguousIncarnation(pub BackEndName);

/// An engine as known to this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRecord {
    /// The newest announcement.
    pub notice: EngineNotice,
    /// When it was made, by this process's clock.
    pub announced_at: Timestamp,
    /// When the previous announcement was made; zero if there was none.
    previously_announced_at: Timestamp,
    /// When the first process learned of this incarnation, as far as known here, by this process's
    /// clock.
    known_since: Timestamp,
    /// Set if the engine is considered gone because another one was announced at its address.
    replaced: Option<Replaced>,
    /// The revision of the directory that last changed the engine's state.
    revision: u64,
}

impl EngineRecord {
    fn has_left(&self) -> bool {
        self.notice.state == EngineState::Gone && self.replaced.is_none()
    }

    /// When the fleet learned of this incarnation, as far as known here, by this process's clock.
    pub fn known_since(&self) -> Timestamp {
        self.known_since
    }

    /// The newest announcement as a notice with ages as of `now`.
    pub fn to_notice(&self, now: Timestamp) -> EngineNotice {
        EngineNotice {
            age: now.since(self.announced_at),
            known_for: now.since(self.known_since),
            ..self.notice.clone()
        }
    }

    /// Whether only the engine's name and its departure are known.
    pub fn is_name_only(&self) -> bool {
        self.notice.is_name_only()
    }
}

/// The engine that has taken an address, and the announcements of the previous one since that
/// engine's last announcement.
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
    /// Consecutive announcements that restore an engine that was considered replaced.
    announcements_to_reclaim: u32,
    /// Engines that the control processes report as silent.
    silent: BTreeSet<BackEndName>,
    /// Zones whose engines an operator has taken out of service.
    evacuated_zones: BTreeSet<ZoneName>,
}

impl Default for EngineDirectory {
    /// A directory for a process that receives every announcement.
    fn default() -> Self {
        Self {
            engines: BTreeMap::new(),
            revision: 0,
            announcements_to_reclaim: ANNOUNCEMENTS_TO_RECLAIM,
            silent: BTreeSet::new(),
            evacuated_zones: BTreeSet::new(),
        }
    }
}

impl EngineDirectory {
    /// A directory for a process that receives only changes, after other processes have decided
    /// them.
    pub fn follower() -> Self {
        Self { announcements_to_reclaim: 1, ..Self::default() }
    }

    /// Merges a notice.
    pub fn merge(&mut self, now: Timestamp, mut notice: EngineNotice) -> MergeOutcome {
        let announced_at = Timestamp(now.0.saturating_sub(notice.age.0));
        if notice.state != EngineState::Gone && self.has_newer_incarnation(&notice.engine) {
            return MergeOutcome::Stale;
        }
        self.keep_known_software(&mut notice);
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
                if !self.reclaims_address(&notice, announced_at) {
                    return MergeOutcome::Stale;
                }
                MergeOutcome::Changed
            }
            Some(known)
                if known.notice.state == notice.state
                    && known.notice.software == notice.software =>
            {
                MergeOutcome::Refreshed
            }
            Some(_) => MergeOutcome::Changed,
        };
        if change == MergeOutcome::Changed {
            self.replace_at_address(now, &notice);
            self.end_older_incarnations(now, &notice.engine);
        }
        self.insert(now, notice, announced_at, change);
        change
    }

    /// A process of an earlier version passes notices on without the software version.
    fn keep_known_software(&self, notice: &mut EngineNotice) {
        if notice.software == SoftwareVersion::default()
            && let Some(known) = self.engines.get(&notice.engine)
        {
            notice.software = known.notice.software.clone();
        }
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
        let reported_since = Timestamp(now.0.saturating_sub(notice.known_for.0));
        let known_since =
            known.map_or(reported_since, |known| known.known_since.min(reported_since));
        // A departure is no announcement that shows that the engine was running.
        let previously_announced_at = known.map_or(Timestamp(0), |known| match notice.state {
            EngineState::Gone => known.previously_announced_at,
            EngineState::Ready | EngineState::Draining => known.announced_at,
        });
        let unchanged = known.filter(|_| change != MergeOutcome::Changed);
        let revision = unchanged.map_or(self.revision, |known| known.revision);
        let replaced = None;
        let record = EngineRecord {
            notice,
            announced_at,
            previously_announced_at,
            known_since,
            replaced,
            revision,
        };
        self.engines.insert(record.notice.engine.clone(), record);
    }

    /// The incarnations of an engine, including the one without a start time. Names sort by id, and
    /// those of one id by the part after it.
    fn incarnations<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a EngineRecord> {
        let from = self.engines.range(BackEndName::new(id)..);
        let same_prefix = from.take_while(move |(name, _)| name.as_str().starts_with(id));
        same_prefix.filter(move |(name, _)| name.id() == id).map(|(_, record)| record)
    }

    fn has_newer_incarnation(&self, engine: &BackEndName) -> bool {
        let started_at_ms = engine.started_at_ms();
        self.incarnations(engine.id())
            .any(|record| record.notice.engine.started_at_ms() > started_at_ms)
    }

    fn end_older_incarnations(&mut self, now: Timestamp, engine: &BackEndName) {
        let older: Vec<BackEndName> = self
            .incarnations(engine.id())
            .map(|record| &record.notice.engine)
            .filter(|incarnation| incarnation.started_at_ms() < engine.started_at_ms())
            .cloned()
            .collect();
        for incarnation in older {
            self.mark_gone(now, &incarnation);
        }
    }

    /// Counts an announcement of an engine that was considered replaced. Returns whether it has
    /// reclaimed its address. Only announcements later than the last one of the engine in its place
    /// count.
    fn reclaims_address(&mut self, notice: &EngineNotice, announced_at: Timestamp) -> bool {
        let holder_announced_at = self.holder_announced_at(&notice.engine);
        let required = self.announcements_to_reclaim;
        let Some(known) = self.engines.get_mut(&notice.engine) else {
            return false;
        };
        let is_consecutive = known.announced_at > holder_announced_at;
        known.notice.sequence = notice.sequence;
        known.announced_at = announced_at;
        if announced_at <= holder_announced_at {
            return false;
        }
        known.replaced.as_mut().is_none_or(|replaced| {
            replaced.announcements = if is_consecutive { replaced.announcements + 1 } else { 1 };
            replaced.announcements >= required
        })
    }

    /// When the engine that took the place of `engine` was last announced.
    fn holder_announced_at(&self, engine: &BackEndName) -> Timestamp {
        let replaced = self.engines.get(engine).and_then(|known| known.replaced.as_ref());
        let holder = replaced.and_then(|replaced| self.engines.get(&replaced.by));
        holder.map_or(Timestamp(0), |holder| holder.announced_at)
    }

    /// The incarnation of an engine that a leave call without a start time refers to: the newest.
    ///
    /// # Errors
    ///
    /// The newest is so new that a leave call of the previous one may still be in flight.
    pub fn departing_incarnation(
        &self,
        now: Timestamp,
        id: &str,
    ) -> Result<BackEndName, AmbiguousIncarnation> {
        let newest = self.incarnations(id).max_by_key(|one| one.notice.engine.started_at_ms());
        let Some(newest) = newest else {
            return Ok(BackEndName::of_incarnation(id, None));
        };
        let has_restarted = newest.notice.engine.started_at_ms() > 0;
        if has_restarted && now.since(newest.known_since) < MAX_LEAVE_DELAY {
            return Err(AmbiguousIncarnation(newest.notice.engine.clone()));
        }
        Ok(newest.notice.engine.clone())
    }

    /// The incarnations that a departure may concern: one without a start time may be that of any
    /// incarnation, since the process that received the leave call may not have known them.
    pub fn departing_incarnations<'a>(
        &'a self,
        departing: &'a BackEndName,
    ) -> impl Iterator<Item = &'a EngineRecord> {
        let names_any = departing.started_at_ms() == 0;
        self.incarnations(departing.id())
            .filter(move |record| names_any || record.notice.engine == *departing)
    }

    /// Records that an engine has left and returns the notice to pass on. An engine that is not
    /// known here may be known elsewhere, so it is remembered as well.
    pub fn mark_gone(&mut self, now: Timestamp, engine: &BackEndName) -> EngineNotice {
        let known = self.engines.get(engine);
        let already_left = known.is_some_and(EngineRecord::has_left);
        let mut notice =
            known.map_or_else(|| EngineNotice::name_only(engine), |known| known.notice.clone());
        notice.state = EngineState::Gone;
        notice.age = Millis(0);
        let change = if already_left { MergeOutcome::Refreshed } else { MergeOutcome::Changed };
        self.insert(now, notice.clone(), now, change);
        notice
    }

    /// Applies a departure that the control replicas have committed. Returns whether the engine's
    /// state has changed.
    pub fn apply_departure(&mut self, now: Timestamp, departure: &DepartureRecord) -> bool {
        let Some(known) = self.engines.get_mut(&departure.engine) else {
            return self.add_unknown_departure(now, departure);
        };
        let before = known.notice.state;
        if departure.state == EngineState::Gone && !known.has_left() {
            known.notice.state = EngineState::Gone;
            known.announced_at = now;
            known.replaced = None;
        } else if departure.state != EngineState::Gone
            && departure.sequence >= known.notice.sequence
        {
            known.notice.sequence = departure.sequence;
            if before != EngineState::Gone {
                known.notice.state = departure.state;
            }
        }
        let has_changed = known.notice.state != before;
        if has_changed {
            self.revision += 1;
            known.revision = self.revision;
        }
        has_changed
    }

    /// What the engine has announced since a committed departure, if that is another state. It
    /// takes effect elsewhere only once it is committed as well: a process that has not received
    /// the announcement would take the engine's next departure for the committed one.
    pub fn newer_announcement(&self, departure: &DepartureRecord) -> Option<DepartureRecord> {
        let known = self.engines.get(&departure.engine)?;
        let (state, sequence) = (known.notice.state, known.notice.sequence);
        let is_comparable = state != EngineState::Gone && departure.state != EngineState::Gone;
        let is_newer = sequence > departure.sequence && state != departure.state;
        let engine = departure.engine.clone();
        (is_comparable && is_newer).then_some(DepartureRecord { engine, state, sequence })
    }

    fn add_unknown_departure(&mut self, now: Timestamp, departure: &DepartureRecord) -> bool {
        if departure.state == EngineState::Ready {
            return false;
        }
        let (state, sequence) = (departure.state, departure.sequence);
        let notice = EngineNotice { state, sequence, ..EngineNotice::name_only(&departure.engine) };
        self.insert(now, notice, now, MergeOutcome::Changed);
        true
    }

    /// Marks the engine that held an address as replaced, if another one is announced there for the
    /// first time or reclaims it.
    fn replace_at_address(&mut self, now: Timestamp, notice: &EngineNotice) {
        let known = self.engines.get(&notice.engine);
        let held_address = known.is_some_and(|record| {
            record.replaced.is_none() && record.notice.address == notice.address
        });
        if notice.state == EngineState::Gone || held_address {
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

    /// Whether an incarnation of an engine has certainly run later than `time`, even if it has ended
    /// since: it has announced itself twice. A single announcement may have been delayed.
    pub fn has_run_after(&self, engine: &BackEndName, time: Timestamp) -> bool {
        self.engines.get(engine).is_some_and(|record| record.previously_announced_at > time)
    }

    /// Whether an engine may be sent requests: it is ready by its latest known state, and its zone
    /// is not evacuated.
    pub fn accepts_requests(&self, engine: &BackEndName) -> bool {
        self.get(engine).is_some_and(|record| self.is_in_service(record))
    }

    /// The same for a record of this directory.
    pub fn is_in_service(&self, record: &EngineRecord) -> bool {
        record.notice.state == EngineState::Ready
            && !self.evacuated_zones.contains(&record.notice.zone)
    }

    /// The engines that may be sent requests.
    pub fn in_service(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values().filter(|record| self.is_in_service(record))
    }

    /// Sets the zones whose engines an operator has taken out of service.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.evacuated_zones = zones;
    }

    /// Whether an engine of a zone is known.
    pub fn has_engine_in(&self, zone: &ZoneName) -> bool {
        self.engines.values().any(|record| record.notice.zone == *zone)
    }

    /// One engine.
    pub fn get(&self, engine: &BackEndName) -> Option<&EngineRecord> {
        self.engines.get(engine)
    }

    /// All engines, including those that have left.
    pub fn iter(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values()
    }

    /// All engines as notices with ages as of `now`. Engines that are only inferred to have been
    /// replaced are left out, and so are those known by name only that have not left.
    pub fn notices(&self, now: Timestamp) -> Vec<EngineNotice> {
        self.changes_since(now, 0).notices
    }

    /// Increases whenever an engine is added, changes its state or reclaims its address.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The notices of the engines that have changed after revision `base`.
    pub fn changes_since(&self, now: Timestamp, base: u64) -> DirectoryDelta {
        let is_notice = |record: &&EngineRecord| {
            let is_complete = !record.is_name_only() || record.notice.state == EngineState::Gone;
            record.revision > base && record.replaced.is_none() && is_complete
        };
        let records = self.engines.values().filter(is_notice);
        let notices = records.map(|record| record.to_notice(now)).collect();
        DirectoryDelta { base, revision: self.revision, notices }
    }

    /// Engines that have not left and were not announced recently.
    pub fn silent_engines(&self, now: Timestamp) -> BTreeSet<BackEndName> {
        let is_silent = |record: &&EngineRecord| {
            record.notice.state != EngineState::Gone
                && now.since(record.announced_at) >= SILENCE_TIMEOUT
        };
        self.engines.values().filter(is_silent).map(|record| record.notice.engine.clone()).collect()
    }

    /// Sets which engines are silent.
    pub fn set_silent(&mut self, silent: BTreeSet<BackEndName>) {
        self.silent = silent;
    }

    /// Whether the control processes report an engine as silent.
    pub fn is_silent(&self, engine: &BackEndName) -> bool {
        self.silent.contains(engine)
    }

    /// Evicts engines that have been silent for a long time, and returns them. An engine that had
    /// only been unreachable is added again with its next announcement.
    pub fn evict_silent(&mut self, now: Timestamp) -> Vec<BackEndName> {
        let is_expired = |record: &&EngineRecord| {
            record.notice.state != EngineState::Gone
                && now.since(record.announced_at) >= EVICTION_TIMEOUT
        };
        let evicted = self.engines.values().filter(is_expired);
        let evicted: Vec<BackEndName> =
            evicted.map(|record| record.notice.engine.clone()).collect();
        evicted.iter().for_each(|engine| self.forget(engine));
        evicted
    }

    /// Removes an engine that another process has evicted. One that has left is still remembered.
    pub fn forget(&mut self, engine: &BackEndName) {
        if self.engines.get(engine).is_some_and(|record| !record.has_left()) {
            self.engines.remove(engine);
        }
    }

    /// Removes engines that left a long time ago.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.engines.retain(|_, record| {
            record.notice.state != EngineState::Gone
                || now.since(record.announced_at) < GONE_RETENTION
        });
    }
}
