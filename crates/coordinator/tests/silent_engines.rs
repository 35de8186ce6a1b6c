//! What a zone of engines that falls silent and returns costs on the way to the routers.

use proptest::prelude::*;
use stackpost_coordinator::{SilentEngineList, SilentEnginesDelta};
use stackpost_gateway_core::{EngineDirectory, EngineNotice, EngineState};
use stackpost_types::{BackEndName, Timestamp};
use std::collections::BTreeSet;

/// Engines of a zone that is cut off, and of the whole fleet.
const ZONE_ENGINES: usize = 1_000;
const FLEET_ENGINES: usize = 3_000;
const CUT_MS: u64 = 8_000;
const TICK_MS: u64 = 200;
const HEARTBEAT_MS: u64 = 1_200;
const START: u64 = 100_000;
/// Bytes per second of all control messages that a router may receive, and the control processes
/// that send it some.
const ALLOWED_BYTES_PER_SECOND: usize = 13_000;
const CONTROL_PROCESSES: usize = 6;

fn announce(directory: &mut EngineDirectory, now: u64, engine: usize) {
    let name = BackEndName::new(format!("i-{engine:010x}"));
    let notice = EngineNotice {
        sequence: now,
        service: "models".into(),
        address: ([10, (engine >> 8) as u8, engine as u8, 1], 80).into(),
        zone: "hall".into(),
        slots: 48,
        state: EngineState::Ready,
        ..EngineNotice::name_only(&name)
    };
    directory.merge(Timestamp(now), notice);
}

/// The load: a third of 3,000 engines is cut off for eight seconds, and each falls silent and
/// returns at another moment. Counts what one router receives from one control process.
#[test]
fn a_zone_that_falls_silent_stays_within_the_bytes_of_a_router() {
    let (mut directory, mut list) = (EngineDirectory::default(), SilentEngineList::default());
    let (mut known, mut engines, mut bytes) = (0, BTreeSet::new(), 0);
    for now in (START..START + 3 * CUT_MS).step_by(TICK_MS as usize) {
        for engine in 0..FLEET_ENGINES {
            let is_due = (now + engine as u64) % HEARTBEAT_MS < TICK_MS;
            let is_cut = engine < ZONE_ENGINES && (CUT_MS..2 * CUT_MS).contains(&(now - START));
            if is_due && !is_cut {
                announce(&mut directory, now, engine);
            }
        }
        if list.refresh(Timestamp(now), &directory) {
            let delta = list.since(known);
            bytes += postcard::to_stdvec(&delta).expect("encoded").len();
            known = delta.apply(known, &mut engines).expect("it builds on the known version");
        }
    }
    assert!(engines.is_empty(), "all have returned");
    let seconds = (3 * CUT_MS / 1_000) as usize;
    println!("{} bytes per second", bytes / seconds);
    assert!(bytes / seconds <= ALLOWED_BYTES_PER_SECOND / CONTROL_PROCESSES);
}

proptest! {
    /// Deltas and their confirmations may be lost. A router that has applied the last one knows the
    /// list.
    #[test]
    fn a_router_ends_with_the_list(
        rounds in prop::collection::vec(
            (prop::collection::vec(0_usize..8, 0..4), any::<[bool; 2]>()),
            1..40,
        ),
    ) {
        let (mut directory, mut list) = (EngineDirectory::default(), SilentEngineList::default());
        let (mut known, mut confirmed, mut engines) = (0, 0, BTreeSet::new());
        let mut now = START;
        (0..8).for_each(|engine| announce(&mut directory, now, engine));
        let receive = |delta: SilentEnginesDelta, known: &mut u64, engines: &mut BTreeSet<_>| {
            if let Some(version) = delta.apply(*known, engines) {
                *known = version;
            }
        };
        for (announced, [arrives, is_confirmed]) in rounds {
            now += 1_500;
            announced.into_iter().for_each(|engine| announce(&mut directory, now, engine));
            list.refresh(Timestamp(now), &directory);
            if arrives {
                receive(list.since(confirmed), &mut known, &mut engines);
            }
            if is_confirmed {
                confirmed = known;
            }
            list.remove_expired(Timestamp(now));
        }
        receive(list.since(confirmed), &mut known, &mut engines);
        prop_assert_eq!(&engines, &directory.silent_engines(Timestamp(now)));
        prop_assert_eq!(engines.len(), list.count());
    }
}
