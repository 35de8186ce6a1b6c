//! What control processes say of engines.

use super::FleetLink;
use stackpost_gateway_core::{
    DepartureDelta, DepartureRecord, DirectoryDelta, EngineNotice, EngineState, MergeOutcome,
};
use stackpost_mesh::LinkId;
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeSet;

/// Engines of one message that come and get a line each; a router that starts hears of all engines at once.
const MOST_ARRIVAL_LINES: usize = 4;

impl FleetLink {
    /// Takes in what is new in the directory of a control process. What does not build on what this router has been told
    /// leaves a gap, and is told again.
    pub(super) fn on_engine_changes(&self, link: LinkId, news: DirectoryDelta) {
        let (base, revision) = (news.base, news.revision);
        self.on_engines(link, news.notices);
        self.versions_of(link, |versions| {
            if base <= versions.engines {
                versions.engines = versions.engines.max(revision);
            }
        });
    }

    fn on_engines(&self, link: LinkId, notices: Vec<EngineNotice>) {
        let now = self.router.now();
        let mut arrivals = Vec::new();
        for notice in notices {
            let before = self.state_of(&notice.engine);
            let merged = self.router.directory.borrow_mut().merge(now, notice.clone());
            if merged != MergeOutcome::Changed {
                continue;
            }
            self.on_engine_changed(now, &notice.engine, notice.state);
            if notice.state == EngineState::Ready {
                arrivals.push(notice);
            } else if before != Some(notice.state) {
                let (state, sequence) = (notice.state, notice.sequence);
                let word = DepartureRecord { engine: notice.engine, state, sequence };
                self.on_departure(now, link, &word, Some(notice.age));
            }
        }
        self.log_arrivals(link, &arrivals);
    }

    /// Takes in what the control replicas have written down of engines' ends, and confirms it.
    pub(super) fn on_departures(&self, link: LinkId, news: &DepartureDelta) {
        let now = self.router.now();
        for word in &news.records {
            let has_changed = self.router.directory.borrow_mut().apply_departure(now, word);
            if has_changed && word.state != EngineState::Ready {
                self.on_departure(now, link, word, None);
            }
        }
        self.router.on_departures_received(news);
        self.send_sign(link);
    }

    fn state_of(&self, engine: &BackEndName) -> Option<EngineState> {
        self.router.directory.borrow().get(engine).map(|record| record.notice.state)
    }

    /// A life that has begun shows that the one before has ended.
    fn on_engine_changed(&self, now: Timestamp, engine: &BackEndName, state: EngineState) {
        let mut memory = self.router.crash_tracker.borrow_mut();
        if state != EngineState::Gone && memory.on_incarnation_started(now, engine) {
            self.router.crash_report_due.notify_one();
        }
    }

    /// An engine takes no more work. Says how late this router hears of it, and what it sent there meanwhile, if `age`
    /// tells when the engine said so.
    fn on_departure(
        &self,
        now: Timestamp,
        link: LinkId,
        word: &DepartureRecord,
        age: Option<Millis>,
    ) {
        let sent_since = age.map(|age| {
            let left_at = Timestamp(now.0.saturating_sub(age.0));
            let sent_since = self.router.picker.borrow().sent_since(&word.engine, left_at);
            self.router.metrics.on_departure(age, sent_since);
            sent_since
        });
        log::info!(
            engine = word.engine.as_str(),
            state = word.state.as_str(),
            sequence = word.sequence,
            age_ms = age.map(|age| age.0),
            sent_since = sent_since,
            peer = self.name_of(link).as_str();
            "engine goes"
        );
    }

    fn log_arrivals(&self, link: LinkId, arrivals: &[EngineNotice]) {
        let peer = self.name_of(link);
        for notice in arrivals.iter().take(MOST_ARRIVAL_LINES) {
            log::info!(
                engine = notice.engine.as_str(),
                sequence = notice.sequence,
                age_ms = notice.age.0,
                peer = peer.as_str();
                "engine comes"
            );
        }
        if arrivals.len() > MOST_ARRIVAL_LINES {
            let others = arrivals.len() - MOST_ARRIVAL_LINES;
            log::info!(others = others, peer = peer.as_str(); "engines come");
        }
    }

    /// The process at the other end of a connection to control.
    fn name_of(&self, link: LinkId) -> String {
        self.links.borrow().get(&link).map_or_else(String::new, ToString::to_string)
    }

    pub(super) fn on_silent_engines(&self, link: LinkId, engines: BTreeSet<BackEndName>) {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|known, _| self.links.borrow().contains_key(known));
        silent.insert(link, engines);
        drop(silent);
        self.take_over_silent();
    }

    /// What one control process said counts no more, unless it was the last: out of sight of all of
    /// them the last word stands.
    pub(super) fn on_control_down(&self, link: LinkId) {
        let mut silent = self.silent.borrow_mut();
        if silent.len() > 1 {
            silent.remove(&link);
        }
        drop(silent);
        self.take_over_silent();
        self.router_lists.borrow_mut().on_down(self.router.now(), link);
    }

    /// An engine is silent if no control process hears it.
    fn take_over_silent(&self) {
        let silent = self.silent.borrow();
        let mut sets = silent.values();
        let Some(first) = sets.next() else {
            return;
        };
        let by_all =
            sets.fold(first.clone(), |common, set| common.intersection(set).cloned().collect());
        self.router.directory.borrow_mut().set_silent(by_all);
    }
}
