//! Whether a router asks the platform for no new connections because its machine is full.
//!
//! The load that this handles: a router resets most new connections of a large caller, but the
//! bodies of reset connections arrive all the same, and 350 of them a second saturate a link of 10
//! Mbit/s. Only the platform can then send them elsewhere. It removes a router that is not ready,
//! so this is left to few routers of a zone at a time, and to those whose neighbours have room.
//!
//! What reset connections bring is an estimate. So a link counts as full only if the time that new
//! connections take shows it as well. That time alone shows nothing: engines may be slow to accept.
//!
//! A router that resets no connections withdraws as soon as its link is crowded. The platform sends
//! it the connections of two more seconds all the same, some 700 of a large caller, so each tenth
//! of a second counts. Its neighbours take the large caller in turn.

use crate::machine_pressure::{CROWDED_FROM, PressureReading, PressureState, Utilization};
use crate::zone_pressure::{LinkLoad, Neighbours};
use stackpost_types::{Millis, Timestamp};

/// Time for which a machine is full before its router withdraws. Shedding takes some tenths of a
/// second.
const FULL_FOR: Millis = Millis(1_000);
/// Minimum time of a withdrawal. The platform needs two seconds to notice it, and the bytes that
/// have queued take some more to drain.
const MIN_WITHDRAWAL: Millis = Millis(5_000);
/// Largest part of a zone's routers that may be full for one of them to withdraw.
const MAX_FULL_PART: f64 = 0.2;

/// The same for routers that reset no connections. The platform ignores readiness if fewer than
/// half of a zone's routers are ready.
const MAX_EARLY_PART: f64 = 0.4;
/// Minimum time of an early withdrawal: with turns of two seconds, five neighbours take the large
/// caller before this router does again, and its queue has drained.
const MIN_EARLY_WITHDRAWAL: Millis = Millis(10_000);

/// When a router withdraws.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithdrawalPolicy {
    /// The router resets connections first. It withdraws if that does not help.
    #[default]
    AfterResets,
    /// Nothing else relieves the link. It withdraws as soon as the link is crowded.
    Early,
}

impl WithdrawalPolicy {
    fn min_withdrawal(self) -> Millis {
        match self {
            Self::AfterResets => MIN_WITHDRAWAL,
            Self::Early => MIN_EARLY_WITHDRAWAL,
        }
    }

    fn max_part(self) -> f64 {
        match self {
            Self::AfterResets => MAX_FULL_PART,
            Self::Early => MAX_EARLY_PART,
        }
    }
}

/// The state of one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Withdrawal {
    policy: WithdrawalPolicy,
    since: Option<Timestamp>,
}

impl Withdrawal {
    /// A router that has not withdrawn.
    pub fn new(policy: WithdrawalPolicy) -> Self {
        Self { policy, since: None }
    }

    /// Whether the router asks for no new connections.
    pub fn is_withdrawn(&self) -> bool {
        self.since.is_some()
    }

    /// Updates the state. `is_delayed`: whether new connections take as long as they do over a
    /// saturated link. Returns whether the state has changed.
    pub fn update(
        &mut self,
        now: Timestamp,
        reading: &PressureReading,
        is_delayed: bool,
        own: LinkLoad,
        neighbours: &Neighbours,
    ) -> bool {
        let was_withdrawn = self.is_withdrawn();
        let (is_pressed, is_due) = match self.policy {
            WithdrawalPolicy::AfterResets => self.after_resets(now, reading, is_delayed),
            WithdrawalPolicy::Early => {
                let is_crowded = reading.utilization.link() >= CROWDED_FROM;
                (is_crowded, is_crowded)
            }
        };
        let is_wanted = match self.since {
            Some(since) => is_pressed || now.since(since) < self.policy.min_withdrawal(),
            None => is_due,
        };
        // A router that has withdrawn is one of the full ones that it allowed for.
        let others_allowed = self.policy.max_part() * (neighbours.routers + 1) as f64;
        let full = neighbours.full + usize::from(!was_withdrawn);
        let has_room = neighbours.reporting > 0 && neighbours.zone_load(own) < CROWDED_FROM;
        self.since = match is_wanted && full as f64 <= others_allowed && has_room {
            true => self.since.or(Some(now)),
            false => None,
        };
        was_withdrawn != self.is_withdrawn()
    }

    /// Whether the machine is full, and whether it has been for long enough.
    fn after_resets(
        &self,
        now: Timestamp,
        reading: &PressureReading,
        is_delayed: bool,
    ) -> (bool, bool) {
        let Utilization { descriptors, memory, .. } = reading.utilization;
        let is_confirmed = is_delayed || descriptors.max(memory) >= CROWDED_FROM;
        let is_full = reading.state == PressureState::Full && is_confirmed;
        (is_full, is_full && now.since(reading.since) >= FULL_FOR)
    }
}
