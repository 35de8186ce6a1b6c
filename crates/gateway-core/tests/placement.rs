//! The placement of generations by the load of the engines.

use stackpost_gateway_core::*;
use stackpost_types::*;

const START: Timestamp = Timestamp(10_000);

fn directory(engines: &[&str]) -> EngineDirectory {
    let mut directory = EngineDirectory::default();
    for (number, engine) in engines.iter().enumerate() {
        let notice = EngineNotice {
            engine: BackEndName::new(engine),
            sequence: 1,
            service: "models".into(),
            address: ([10, 0, 0, number as u8 + 1], 80).into(),
            zone: "hall".into(),
            slots: 64,
            state: EngineState::Ready,
            age: Millis(0),
            known_for: Millis(0),
            software: Default::default(),
        };
        directory.merge(START, notice);
    }
    directory
}

fn work(shared: u64, own: u64) -> GenerationWork {
    GenerationWork {
        shared: Tokens(shared),
        own: Tokens(own),
        objective: Millis(500),
        gap_objective: Millis(500),
    }
}

fn pick(
    picker: &EnginePicker,
    now: Timestamp,
    directory: &EngineDirectory,
    prefix_hash: u64,
    work: GenerationWork,
) -> EngineChoice {
    let service = ServiceName::new("models");
    let query = PickQuery {
        service: &service,
        prefix_hash: Some(prefix_hash),
        work: Some(work),
        tried: &[],
        has_room: &|_| true,
        is_retry: false,
        tie_breaker: prefix_hash,
    };
    picker.pick(now, directory, &query).expect("there are engines")
}

fn send(
    picker: &mut EnginePicker,
    now: Timestamp,
    directory: &EngineDirectory,
    prefix_hash: u64,
    work: GenerationWork,
) -> EngineChoice {
    let choice = pick(picker, now, directory, prefix_hash, work);
    picker.on_sent(now, &choice.engine.notice.engine, choice.placement.as_ref());
    choice
}

fn name(choice: &EngineChoice) -> &str {
    choice.engine.notice.engine.as_str()
}

#[test]
fn a_subject_keeps_its_engine_while_no_request_is_late() {
    let directory = directory(&["e1", "e2", "e3", "e4"]);
    let mut picker = EnginePicker::new("hall".into());
    let home = send(&mut picker, START, &directory, 7, work(4_000, 800));
    for _ in 0..3 {
        let next = send(&mut picker, START, &directory, 7, work(4_000, 800));
        assert_eq!(name(&next), name(&home));
    }
}

#[test]
fn a_short_request_does_not_wait_behind_a_long_prompt() {
    let directory = directory(&["e1", "e2", "e3", "e4"]);
    let mut picker = EnginePicker::new("hall".into());
    let home = pick(&picker, START, &directory, 7, work(100, 300));
    let engine = home.engine.notice.engine.clone();
    let long = EngineLoadUpdate { new_prefill: 60_000, ..EngineLoadUpdate::default() };
    picker.on_peer_update(START, 1, engine.clone(), &long);
    let moved = pick(&picker, START, &directory, 7, work(100, 300));
    assert_ne!(moved.engine.notice.engine, engine);
    let later = START + Millis(30_000);
    let back = pick(&picker, later, &directory, 7, work(100, 300));
    assert_eq!(back.engine.notice.engine, engine, "the tokens have been prefilled by then");
}

#[test]
fn a_long_prompt_goes_to_the_engine_with_few_streams() {
    let directory = directory(&["e1", "e2", "e3"]);
    let mut picker = EnginePicker::new("hall".into());
    for engine in ["e1", "e3"] {
        let busy = EngineLoadUpdate { running: 12.0, ..EngineLoadUpdate::default() };
        picker.on_peer_update(START, 1, BackEndName::new(engine), &busy);
    }
    for prefix_hash in 0..20 {
        let choice = pick(&picker, START, &directory, prefix_hash, work(0, 45_000));
        assert_eq!(name(&choice), "e2");
    }
}

#[test]
fn an_engine_with_an_overdue_first_event_is_avoided() {
    let directory = directory(&["e1", "e2", "e3"]);
    let mut picker = EnginePicker::new("hall".into());
    let overdue = send(&mut picker, START, &directory, 7, work(100, 300));
    let later = START + Millis(1_500);
    let next = pick(&picker, later, &directory, 7, work(100, 300));
    assert_ne!(name(&next), name(&overdue));
    let sent = overdue.placement.as_ref();
    picker.on_attempt_end(later, &overdue.engine, sent, AttemptEnd::Abandoned);
    let again = pick(&picker, later, &directory, 7, work(100, 300));
    assert_eq!(name(&again), name(&overdue), "no first event is outstanding there");
}

#[test]
fn the_prefill_speed_is_learned_and_ignores_an_outlier() {
    let mut load = EngineLoad::default();
    let generation = work(0, 20_000);
    let mut now = START;
    let mut run_prefill = |load: &mut EngineLoad, elapsed: u64| {
        let estimate = load.estimate(now, None, &generation, false);
        let sent = Placement {
            work: generation,
            prefix_hash: None,
            estimate,
            cost: PlacementCost::default(),
        };
        load.on_sent(now, None, &sent);
        now = now + Millis(elapsed);
        load.on_first_event(now, None, &estimate, Millis(elapsed));
        load.on_attempt_end(&generation, &estimate);
        now = now + Millis(5_000);
    };
    for _ in 0..60 {
        run_prefill(&mut load, 230);
    }
    let learned = load.prefill_speed(None);
    assert!((85.0..115.0).contains(&learned), "20,000 tokens in 200 ms: {learned}");
    run_prefill(&mut load, 32);
    assert!(
        load.prefill_speed(None) < learned * 1.1,
        "one unexpectedly cached prompt changes little"
    );
}

#[test]
fn a_first_event_completes_the_prefill_before_it() {
    let mut load = EngineLoad::default();
    let generation = work(0, 30_000);
    let estimate = load.estimate(START, None, &generation, false);
    let sent =
        Placement { work: generation, prefix_hash: None, estimate, cost: PlacementCost::default() };
    load.on_sent(START, None, &sent);
    assert!(
        load.pending_prefill(START + Millis(5_000), None) >= 30_000.0,
        "its first event is outstanding"
    );
    load.on_first_event(START + Millis(5_000), None, &estimate, Millis(5_000));
    assert_eq!(load.pending_prefill(START + Millis(5_000), None), 0.0);
}

#[test]
fn load_is_reported_once_and_again_when_streams_have_ended() {
    let directory = directory(&["e1"]);
    let mut picker = EnginePicker::new("hall".into());
    let sent = send(&mut picker, START, &directory, 7, work(4_000, 1_000));
    let engine = sent.engine.notice.engine.clone();
    assert!(picker.unreported(&engine) >= Tokens(1_000));
    let updates = picker.take_updates(false);
    assert_eq!(updates.len(), 1);
    assert_eq!(updates[0].1.prefixes, vec![7]);
    assert!(updates[0].1.running > 0.0);
    assert_eq!(picker.unreported(&engine), Tokens::ZERO);
    assert!(picker.take_updates(true).is_empty(), "no unreported tokens to prefill");
    assert_eq!(picker.take_updates(false)[0].1.new_prefill, 0, "already reported");
    picker.on_attempt_end(START, &sent.engine, sent.placement.as_ref(), AttemptEnd::Responded);
    assert_eq!(picker.take_updates(false)[0].1.running, 0.0);
    assert!(picker.take_updates(false).is_empty(), "everything has been reported");
}

#[test]
fn the_load_reported_by_a_stopped_router_expires() {
    let mut load = EngineLoad::default();
    let update = EngineLoadUpdate { running: 9.0, ..EngineLoadUpdate::default() };
    load.on_peer_update(START, None, 1, &update);
    assert_eq!(load.running(START + Millis(1_000)), 9.0);
    assert_eq!(load.running(START + Millis(4_500)), 0.0);
}

/// Any host may send a datagram that looks like an update of another router.
#[test]
fn updates_about_unknown_engines_are_bounded() {
    let mut picker = EnginePicker::new("hall".into());
    let mut sender = EnginePicker::new("hall".into());
    let choice = pick(&sender, START, &directory(&["e1"]), 1, work(0, 1_000));
    sender.on_sent(START, &choice.engine.notice.engine, choice.placement.as_ref());
    let (_, update) = sender.take_updates(false).pop().expect("an update is due");
    for number in 0..10_000 {
        picker.on_peer_update(START, 7, BackEndName::new(format!("x{number}")), &update);
    }
    let known = (0..10_000).filter(|number| {
        let engine = BackEndName::new(format!("x{number}"));
        picker.pending_prefill(START, &engine) > Tokens::ZERO
    });
    assert!(known.count() <= 4_096);
    picker.remove_unknown(START, &EngineDirectory::default());
    assert_eq!(picker.pending_prefill(START, &"x1".into()), Tokens::ZERO);
}
