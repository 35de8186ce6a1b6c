//! What a router is told of something that has versions.

use stackpost_coordinator::DeliveryTracker;
use stackpost_types::Timestamp;

const NOW: Timestamp = Timestamp(10_000);
/// Longer than a confirmation is waited for.
const LATER: Timestamp = Timestamp(11_000);

#[test]
fn what_is_on_its_way_is_built_on_and_not_sent_twice() {
    let mut delivery = DeliveryTracker::default();
    assert_eq!(delivery.begin_send(NOW, 0), None, "there is nothing to tell");
    assert_eq!(delivery.begin_send(NOW, 3), Some(0));
    assert_eq!(delivery.begin_send(NOW, 3), None);
    assert_eq!(delivery.begin_send(NOW, 5), Some(3));
}

#[test]
fn what_is_not_confirmed_in_time_is_told_again_from_what_is() {
    let mut delivery = DeliveryTracker::default();
    delivery.begin_send(NOW, 3);
    delivery.confirm(3);
    delivery.begin_send(NOW, 5);
    assert_eq!(delivery.begin_send(LATER, 5), Some(3), "version 5 was lost");
    delivery.confirm(5);
    assert_eq!(delivery.begin_send(LATER, 5), None);
}
