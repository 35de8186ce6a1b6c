//! Deltas between configurations, and compressed configurations.

use proptest::prelude::*;
use stackpost_coordinator::{Document, DocumentDelta, PackedDocument};

fn document(version: u64, text: &str) -> Document {
    Document { version, bytes: text.as_bytes().into() }
}

fn routes(changed: usize) -> String {
    (0..300)
        .map(|route| {
            let service = if route == changed { "new" } else { "old" };
            format!("{{\"name\":\"r{route}\",\"prefix\":\"/p{route}/\",\"to\":\"{service}\"}},")
        })
        .collect()
}

#[test]
fn small_change_of_a_large_document_has_a_small_delta() {
    let base = document(1, &routes(999));
    let changed = document(2, &routes(150));
    let delta = DocumentDelta::between(&base, &changed);
    assert_eq!(delta.apply(&base), Some(changed));
    let size = postcard::to_stdvec(&delta).expect("encoded").len();
    assert!(size < 200, "{size} bytes for one route");
}

#[test]
fn delta_does_not_apply_to_another_base() {
    let base = document(1, &routes(999));
    let delta = DocumentDelta::between(&base, &document(2, &routes(5)));
    assert_eq!(delta.apply(&document(3, &routes(999))), None);
    assert_eq!(delta.apply(&document(1, &routes(7))), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn delta_between_any_two_documents_applies(
        left in "[ab]{0,400}",
        right in "[ab]{0,400}",
        shared in "[a-z]{0,300}",
    ) {
        let base = document(1, &format!("{left}{shared}"));
        let new = document(2, &format!("{shared}{right}{shared}"));
        prop_assert_eq!(DocumentDelta::between(&base, &new).apply(&base), Some(new));
    }
}

#[test]
fn packed_document_is_small_and_unpacks_byte_for_byte() {
    let text: String = (0..5).map(routes).collect();
    let document = document(7, &text);
    let packed = PackedDocument::pack(&document);
    assert!(packed.packed_len() * 8 < text.len(), "{} of {}", packed.packed_len(), text.len());
    let bytes = postcard::to_stdvec(&packed).expect("encoded");
    let read: PackedDocument = postcard::from_bytes(&bytes).expect("read");
    assert_eq!(read.unpack().expect("intact"), document);
}

#[test]
fn truncated_packed_document_is_rejected() {
    let packed = PackedDocument::pack(&document(7, &routes(3)));
    let bytes = postcard::to_stdvec(&packed).expect("encoded");
    let (version, packed_bytes): (u64, Vec<u8>) = postcard::from_bytes(&bytes).expect("read");
    let half =
        postcard::to_stdvec(&(version, &packed_bytes[..packed_bytes.len() / 2])).expect("encoded");
    let truncated: PackedDocument = postcard::from_bytes(&half).expect("read");
    assert!(truncated.unpack().is_err());
}
