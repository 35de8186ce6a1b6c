//! Faults of routers and control processes in one run of the quiescence property.

use crate::support::START;
use crate::{CONTACT_TIME, CONTROLS, FAULT_TIME_MS, FIRST_FAULT, LEASE, ROUTERS};
use proptest::prelude::*;
use stackpost_types::{Millis, Timestamp};
use std::ops::Range;

/// A span of time in which a fault lasts.
pub type Span = Range<Timestamp>;

pub fn lasts(spans: &[Span], now: Timestamp) -> bool {
    spans.iter().any(|span| span.contains(&now))
}

/// Whether a fault lasted at any time in the last `time`.
pub fn lasted_within(spans: &[Span], now: Timestamp, time: Millis) -> bool {
    let from = Timestamp(now.0 - time.0);
    spans.iter().any(|span| span.start <= now && span.end > from)
}

#[derive(Clone, Debug)]
pub struct RouterFaults {
    /// Cut off from all control processes.
    pub cuts: Vec<Span>,
    /// Killed at the start, and another process runs from the end on.
    pub kills: Vec<Span>,
}

#[derive(Clone, Debug)]
pub struct ControlFaults {
    /// Separated from everything else.
    pub cuts: Vec<Span>,
    /// Standing still.
    pub pauses: Vec<Span>,
    /// Killed at the start, and another process runs from the end on.
    pub kills: Vec<Span>,
    /// Offset of its clock.
    pub clock_offset: Millis,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub routers: Vec<RouterFaults>,
    pub controls: Vec<ControlFaults>,
    /// All routers are cut off from all control processes.
    pub common_cuts: Vec<Span>,
    /// When each control process is preferred as the leader.
    pub elections: Vec<(Timestamp, usize)>,
    /// When the engine stops reading, and when it goes on.
    pub unread: Span,
    pub loss_percent: u32,
    /// Share of the connections to the engine that are lost.
    pub lost_connections_percent: u32,
    pub seed: u64,
}

pub fn span(max_ms: u64) -> impl Strategy<Value = Span> {
    (0..FAULT_TIME_MS, 0..max_ms).prop_map(|(from, length)| {
        let from = FIRST_FAULT + Millis(from);
        from..from + Millis(length)
    })
}

pub fn spans(max_ms: u64) -> impl Strategy<Value = Vec<Span>> {
    prop::collection::vec(span(max_ms), 0..2)
}

pub fn scenarios() -> impl Strategy<Value = Scenario> {
    let router =
        (spans(9_000), spans(5_000)).prop_map(|(cuts, kills)| RouterFaults { cuts, kills });
    let control = (spans(8_000), spans(4_000), spans(3_000), 0..1_000_000_u64).prop_map(
        |(cuts, pauses, kills, offset)| ControlFaults {
            cuts,
            pauses,
            kills,
            clock_offset: Millis(offset),
        },
    );
    let election = (0..FAULT_TIME_MS, 0..CONTROLS)
        .prop_map(|(at, control)| (FIRST_FAULT + Millis(at), control));
    let unread = (0..3_000_u64, 0..7_000_u64)
        .prop_map(|(before, after)| Timestamp(START.0 - before)..START + Millis(after));
    (
        prop::collection::vec(router, ROUTERS),
        prop::collection::vec(control, CONTROLS),
        prop::collection::vec(span(8_000), 0..2),
        prop::collection::vec(election, 0..4),
        unread,
        0..50_u32,
        any::<u64>(),
    )
        .prop_map(
            |(routers, controls, common_cuts, mut elections, unread, loss_percent, seed)| {
                elections.sort();
                Scenario {
                    routers,
                    controls,
                    common_cuts,
                    elections,
                    unread,
                    loss_percent,
                    lost_connections_percent: 10,
                    seed,
                }
            },
        )
}

impl Scenario {
    /// Nothing fails.
    pub fn steady(seed: u64) -> Self {
        let router = RouterFaults { cuts: Vec::new(), kills: Vec::new() };
        let control = ControlFaults {
            cuts: Vec::new(),
            pauses: Vec::new(),
            kills: Vec::new(),
            clock_offset: Millis(0),
        };
        Self {
            routers: vec![router; ROUTERS],
            controls: vec![control; CONTROLS],
            common_cuts: Vec::new(),
            elections: Vec::new(),
            unread: START..START,
            loss_percent: 10,
            lost_connections_percent: 0,
            seed,
        }
    }

    pub fn is_router_cut(&self, router: usize, now: Timestamp) -> bool {
        lasts(&self.routers[router].cuts, now) || lasts(&self.common_cuts, now)
    }

    pub fn is_router_down(&self, router: usize, now: Timestamp) -> bool {
        lasts(&self.routers[router].kills, now)
    }

    /// Whether a rule counts what a router sends now.
    pub fn is_in_touch(&self, router: usize, now: Timestamp) -> bool {
        let faults = &self.routers[router];
        ![&faults.cuts, &faults.kills, &self.common_cuts]
            .into_iter()
            .any(|spans| lasted_within(spans, now, CONTACT_TIME))
    }

    pub fn is_control_running(&self, control: usize, now: Timestamp) -> bool {
        let faults = &self.controls[control];
        !lasts(&faults.pauses, now) && !lasts(&faults.kills, now)
    }

    pub fn is_control_reachable(&self, control: usize, now: Timestamp) -> bool {
        self.is_control_running(control, now) && !lasts(&self.controls[control].cuts, now)
    }

    pub fn has_majority(&self, control: usize, now: Timestamp) -> bool {
        let reachable =
            (0..CONTROLS).filter(|other| self.is_control_reachable(*other, now)).count();
        self.is_control_reachable(control, now) && reachable * 2 > CONTROLS
    }

    /// Whether a control process has been able to lead since its lease began.
    pub fn holds_lease(&self, control: usize, now: Timestamp) -> bool {
        let faults = &self.controls[control];
        let is_disturbed = [&faults.cuts, &faults.pauses, &faults.kills]
            .into_iter()
            .any(|spans| lasted_within(spans, now, LEASE));
        !is_disturbed && self.has_majority(control, now)
    }

    /// The process that leads: the one that is preferred, or else any that can.
    pub fn leader(&self, now: Timestamp) -> Option<usize> {
        let preferred = self.elections.iter().rev().find(|(at, _)| *at <= now);
        let preferred = preferred.map_or(0, |(_, control)| *control);
        let candidates = (0..CONTROLS).map(|offset| (preferred + offset) % CONTROLS);
        candidates.into_iter().find(|control| self.holds_lease(*control, now))
    }

    pub fn last_fault(&self) -> Timestamp {
        let of_routers = self.routers.iter().flat_map(|faults| [&faults.cuts, &faults.kills]);
        let of_controls =
            self.controls.iter().flat_map(|faults| [&faults.cuts, &faults.pauses, &faults.kills]);
        let spans = of_routers.chain(of_controls).chain([&self.common_cuts]).flatten();
        let ends = spans.map(|span| span.end).chain(self.elections.iter().map(|(at, _)| *at));
        ends.chain([START, self.unread.end]).max().expect("not empty")
    }
}
