//! Resending of versioned updates until they are confirmed.

use stackpost_coordinator::DeliveryTracker;
use stackpost_types::Timestamp;

const NOW: Timestamp = Timestamp(10_000);
/// Later than `NOW` by more than the resend interval.
const LATER: Timestamp = Timestamp(11_000);

#[test]
fn version_in_flight_is_the_base_and_not_sent_twice() {
    let mut delivery = DeliveryTracker::default();
    assert_eq!(delivery.begin_send(NOW, 0), None, "nothing to send");
    assert_eq!(delivery.begin_send(NOW, 3), Some(0));
    assert_eq!(delivery.begin_send(NOW, 3), None);
    assert_eq!(delivery.begin_send(NOW, 5), Some(3));
}

#[test]
fn unconfirmed_version_is_resent_from_the_confirmed_one() {
    let mut delivery = DeliveryTracker::default();
    delivery.begin_send(NOW, 3);
    delivery.confirm(3);
    delivery.begin_send(NOW, 5);
    assert_eq!(delivery.begin_send(LATER, 5), Some(3), "version 5 was lost");
    delivery.confirm(5);
    assert_eq!(delivery.begin_send(LATER, 5), None);
}

#[test]
fn lost_version_is_resent_while_later_ones_follow() {
    let mut delivery = DeliveryTracker::default();
    let bases = (0..20u64).map(|step| {
        let now = Timestamp(NOW.0 + step * 100);
        delivery.begin_send(now, step + 1)
    });
    let resent = bases.skip(1).filter(|base| *base == Some(0)).count();
    assert!(resent >= 2, "nothing was confirmed for two seconds, and {resent} deltas had its base");
}
