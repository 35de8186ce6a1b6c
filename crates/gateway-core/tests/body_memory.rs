//! Bounds on the memory for bodies, over drawn histories.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;
use std::collections::BTreeMap;

const TOTAL: u64 = 8 * 1024 * 1024;
const LARGE: u64 = 4 * 1024 * 1024;
const SMALL: u64 = 64 * 1024;
const TINY: u64 = 4 * 1024;
/// Bytes within a second that count as progress.
const PROGRESS: u64 = 16 * 1024;

fn memory() -> BodyMemory {
    BodyMemory::new(BodyLimits { total: TOTAL })
}

fn at(ms: u64) -> Timestamp {
    Timestamp::PROCESS_START + Millis(ms)
}

/// A body that is admitted with this room.
fn admitted(memory: &mut BodyMemory, now: Timestamp, room: u64) -> BodyId {
    let id = memory.open(now);
    assert_eq!(memory.take(now, id, room), Ok(Vec::new()));
    id
}

#[derive(Clone, Debug)]
enum Step {
    Open { room: u64 },
    Grow { body: usize, by: u64 },
    Receive { body: usize, bytes: u64 },
    Whole { body: usize },
    Close { body: usize },
    Wait { ms: u64 },
}

fn room() -> impl Strategy<Value = u64> {
    prop_oneof![1..=TINY, 1..=SMALL, 1..=LARGE, Just(TINY), Just(SMALL), Just(LARGE)]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => room().prop_map(|room| Step::Open { room }),
        2 => (0..64usize, room()).prop_map(|(body, by)| Step::Grow { body, by }),
        3 => (0..64usize, 1..=PROGRESS).prop_map(|(body, bytes)| Step::Receive { body, bytes }),
        1 => (0..64usize).prop_map(|body| Step::Whole { body }),
        1 => (0..64usize).prop_map(|body| Step::Close { body }),
        2 => (0..1_500u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// What the test knows of a body.
#[derive(Clone, Copy, Debug)]
struct Known {
    room: u64,
    progress_at: Timestamp,
    unaccounted: u64,
    is_whole: bool,
}

#[derive(Default)]
struct Model {
    bodies: BTreeMap<BodyId, Known>,
}

impl Model {
    fn pick(&self, body: usize) -> Option<BodyId> {
        let count = self.bodies.len().max(1);
        self.bodies.keys().nth(body % count).copied()
    }

    fn taken_from(&self, least: u64) -> u64 {
        self.bodies.values().map(|body| body.room).filter(|room| *room > least).sum()
    }

    /// Applies the outcome of taking room, and checks who gave way.
    fn on_taken(&mut self, now: Timestamp, id: BodyId, room: u64, given_way: &[BodyId]) {
        for other in given_way {
            let body = self.bodies.remove(other).expect("a known body gives way");
            assert!(!body.is_whole, "a whole body gave way");
            assert!(now.since(body.progress_at) >= STALL_TIME, "a body with progress gave way");
            assert_ne!(*other, id);
        }
        self.bodies.get_mut(&id).expect("the body itself stays").room = room;
    }

    fn check(&self, memory: &BodyMemory) {
        assert_eq!(memory.taken(), self.taken_from(0), "the room of all bodies is counted");
        assert!(self.taken_from(0) <= TOTAL);
        assert!(self.taken_from(TINY) <= TOTAL * 90 / 100, "room for tiny bodies is taken");
        assert!(self.taken_from(SMALL) <= TOTAL * 80 / 100, "room for small bodies is taken");
    }
}

proptest! {
    /// Guards against bodies that take more than their limits, and against bodies that give way
    /// although they make progress.
    #[test]
    fn bodies_stay_within_their_limits_and_only_stalled_ones_give_way(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let (mut memory, mut model, mut now) = (memory(), Model::default(), at(0));
        for step in steps {
            match step {
                Step::Open { room } => {
                    let id = memory.open(now);
                    let known =
                        Known { room: 0, progress_at: now, unaccounted: 0, is_whole: false };
                    model.bodies.insert(id, known);
                    match memory.take(now, id, room) {
                        Ok(given_way) => model.on_taken(now, id, room, &given_way),
                        Err(NoRoom) => {
                            memory.close(id);
                            model.bodies.remove(&id);
                        }
                    }
                }
                Step::Grow { body, by } => {
                    let Some(id) = model.pick(body) else { continue };
                    let room = model.bodies[&id].room + by;
                    if let Ok(given_way) = memory.take(now, id, room) {
                        model.on_taken(now, id, room, &given_way);
                    }
                }
                Step::Receive { body, bytes } => {
                    let Some(id) = model.pick(body) else { continue };
                    memory.on_received(now, id, bytes);
                    let known = model.bodies.get_mut(&id).expect("picked");
                    known.unaccounted += bytes;
                    if known.unaccounted >= PROGRESS {
                        (known.unaccounted, known.progress_at) = (0, now);
                    }
                }
                Step::Whole { body } => {
                    let Some(id) = model.pick(body) else { continue };
                    memory.on_whole(id, u64::MAX);
                    model.bodies.get_mut(&id).expect("picked").is_whole = true;
                }
                Step::Close { body } => {
                    let Some(id) = model.pick(body) else { continue };
                    memory.close(id);
                    model.bodies.remove(&id);
                }
                Step::Wait { ms } => now = now + Millis(ms),
            }
            model.check(&memory);
        }
        let open: Vec<BodyId> = model.bodies.keys().copied().collect();
        open.into_iter().for_each(|id| memory.close(id));
        prop_assert_eq!(memory.taken(), 0);
    }

    /// Guards against a crowd that stalls and keeps others out for as long as it stays.
    #[test]
    fn a_body_finds_room_beside_any_crowd_that_stalls(
        rooms in prop::collection::vec(room(), 0..200),
        wanted in room(),
    ) {
        let mut memory = memory();
        for room in rooms {
            let id = memory.open(at(0));
            if memory.take(at(0), id, room).is_err() {
                memory.close(id);
            }
        }
        let late = at(STALL_TIME.0);
        let id = memory.open(late);
        prop_assert!(memory.take(late, id, wanted).is_ok());
    }
}

#[test]
fn stalled_bodies_give_way_in_the_order_of_their_last_progress() {
    let mut memory = memory();
    let first = admitted(&mut memory, at(0), LARGE / 2);
    let second = admitted(&mut memory, at(0), LARGE / 2);
    let third = admitted(&mut memory, at(0), LARGE / 2);
    memory.on_received(at(100), first, PROGRESS);
    memory.on_received(at(50), third, PROGRESS);
    let now = at(2_000);
    let newcomer = memory.open(now);
    assert_eq!(memory.take(now, newcomer, LARGE / 2), Ok(vec![second]));
}

/// Guards against waiting bodies that are overtaken, and against those that give way because they
/// wait.
#[test]
fn waiting_bodies_get_room_in_their_order_and_need_make_no_progress() {
    let mut memory = memory();
    let holder = admitted(&mut memory, at(0), LARGE);
    let grows = admitted(&mut memory, at(0), LARGE / 4);
    let (first, second) = (memory.open(at(0)), memory.open(at(0)));
    for (id, room) in [(first, LARGE), (second, LARGE), (grows, LARGE)] {
        assert_eq!(memory.take(at(1), id, room), Err(NoRoom));
        assert_eq!(memory.wait_for(id, room), Ok(()));
    }
    let late = at(10 * STALL_TIME.0);
    memory.on_received(late, holder, PROGRESS);
    memory.on_whole(holder, LARGE);
    assert_eq!(memory.take(late, first, LARGE), Err(NoRoom));
    memory.close(holder);
    assert_eq!(memory.take(late, second, LARGE), Err(NoRoom));
    assert_eq!(memory.take(late, first, LARGE), Err(NoRoom));
    assert_eq!(memory.first_waiting(), vec![grows]);
    assert_eq!(memory.take(late, grows, LARGE), Ok(Vec::new()));
    memory.close(grows);
    assert_eq!(memory.take(late, second, LARGE), Err(NoRoom));
    assert_eq!(memory.take(late, first, LARGE), Ok(Vec::new()));
}

#[test]
fn the_largest_body_finds_room_when_there_is_no_other_one() {
    let mut memory = memory();
    let largest = memory.largest_body();
    let id = admitted(&mut memory, at(0), largest);
    memory.close(id);
    let id = memory.open(at(0));
    assert_eq!(memory.take(at(0), id, largest + 1), Err(NoRoom));
}

/// Guards against waiting bodies whose bytes pile up in sockets.
#[test]
fn only_so_many_bodies_wait_as_their_unread_bytes_have_room() {
    let mut memory = memory();
    admitted(&mut memory, at(0), LARGE);
    let mut waiting = 0;
    while memory.taken() > 0 {
        let id = memory.open(at(0));
        assert_eq!(memory.take(at(0), id, LARGE), Err(NoRoom));
        match memory.wait_for(id, LARGE) {
            Ok(()) => waiting += 1,
            Err(NoRoom) => break,
        }
        assert!(waiting < 1_000, "any number of bodies may wait");
    }
    assert_eq!(waiting, TOTAL / 4 / (64 * 1024));
}

#[test]
fn small_bodies_find_room_beside_large_ones_with_progress() {
    let mut memory = memory();
    admitted(&mut memory, at(0), LARGE);
    admitted(&mut memory, at(0), LARGE / 2);
    let large = memory.open(at(0));
    assert_eq!(memory.take(at(0), large, LARGE), Err(NoRoom));
    for _ in 0..8 {
        admitted(&mut memory, at(0), SMALL);
    }
    admitted(&mut memory, at(0), TINY);
}
