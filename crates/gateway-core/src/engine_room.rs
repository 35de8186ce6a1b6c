//! How many requests a brittle engine has room for, learned from its rejections.
//!
//! A brittle engine falls over if it has to reject many requests within a second, and may hold
//! fewer than the slots it announces. All routers are told of each rejection, and each of them
//! then pauses and halves the room. The room grows again with time.

use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::HashMap;

/// Time for which an engine gets no requests after a rejection: requests that are on their way may
/// be rejected as well.
const PAUSE: Millis = Millis(250);
/// Time in which several rejections halve the room only once: they have the same cause.
const SAME_CAUSE_TIME: Millis = Millis(500);
/// Time in which the room grows from nothing to all slots.
const GROWTH_TIME: Millis = Millis(10_000);

#[derive(Clone, Copy, Debug)]
struct Room {
    slots: u32,
    rejected_at: Timestamp,
}

/// The room of the engines that rejected requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineRooms {
    rooms: HashMap<BackEndName, Room>,
}

impl EngineRooms {
    /// Records a rejection by an engine that announces `announced` slots.
    pub fn on_rejection(&mut self, now: Timestamp, engine: &BackEndName, announced: u32) {
        let is_same_cause = self
            .rooms
            .get(engine)
            .is_some_and(|room| now.since(room.rejected_at) < SAME_CAUSE_TIME);
        if is_same_cause {
            return;
        }
        let slots = (self.grown(now, engine, announced) / 2).max(1);
        self.rooms.insert(engine.clone(), Room { slots, rejected_at: now });
    }

    /// The slots of an engine that may be used now.
    pub fn slots(&self, now: Timestamp, engine: &BackEndName, announced: u32) -> u32 {
        match self.rooms.get(engine) {
            Some(room) if now.since(room.rejected_at) < PAUSE => 0,
            _ => self.grown(now, engine, announced),
        }
    }

    /// Removes engines whose room is no longer reduced.
    pub fn remove_grown(&mut self, now: Timestamp) {
        self.rooms.retain(|_, room| now.since(room.rejected_at) < GROWTH_TIME);
    }

    fn grown(&self, now: Timestamp, engine: &BackEndName, announced: u32) -> u32 {
        let Some(room) = self.rooms.get(engine) else {
            return announced;
        };
        let elapsed = now.since(room.rejected_at).0;
        let growth = u64::from(announced).saturating_mul(elapsed) / GROWTH_TIME.0;
        let growth = u32::try_from(growth).unwrap_or(u32::MAX);
        announced.min(room.slots.saturating_add(growth))
    }
}
