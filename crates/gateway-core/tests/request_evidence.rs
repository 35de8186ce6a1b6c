//! What a connection may show of a request, and what follows from it.

use proptest::prelude::*;
use stackpost_gateway_core::{ConnectionFailure, ConnectionPath, Evidence, RequestEvidence};

const ID_HEADER: &str = "call-id";
const ID: &str = "9c41d07be2a35f68";
const OTHER_ID: &str = "9c41d07be2a35f69";

fn evidence() -> RequestEvidence {
    RequestEvidence::new(ConnectionPath::Direct, ID_HEADER, ID)
}

fn head(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nCall-Id: {id}\r\ncontent-length: 2\r\n\r\nok").into_bytes()
}

#[test]
fn response_that_names_the_request_shows_that_it_was_read() {
    for line in ["call-id: 9c41d07be2a35f68\r\n", "Call-Id:9c41d07be2a35f68 \n"] {
        let mut evidence = evidence();
        evidence.on_bytes(b"HTTP/1.1 503 Service Unavailable\r\n");
        assert_eq!(evidence.shown(), None);
        evidence.on_bytes(line.as_bytes());
        assert_eq!(evidence.shown(), Some(Evidence::Response), "{line:?}");
    }
}

#[test]
fn bytes_that_do_not_name_the_request_show_nothing() {
    let lines: [&[u8]; 8] = [
        &head(OTHER_ID),
        b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"\x16\x03\x01\xff\r\n\r\n",
        b"call-id: 9c41d07be2a35f68",
        b"call-id: 9c41d07be2a35f68 and more\r\n",
        b"call-ids: 9c41d07be2a35f68\r\n",
        b"9c41d07be2a35f68\r\n",
    ];
    for line in lines {
        let mut evidence = evidence();
        evidence.on_bytes(line);
        assert_eq!(evidence.shown(), None, "{line:?}");
    }
}

#[test]
fn response_behind_one_to_another_request_counts() {
    let mut evidence = evidence();
    evidence.on_bytes(&head(OTHER_ID));
    assert_eq!(evidence.shown(), None);
    evidence.on_bytes(&head(ID));
    assert_eq!(evidence.shown(), Some(Evidence::Response));
}

#[test]
fn request_without_an_id_is_never_named() {
    let mut evidence = RequestEvidence::new(ConnectionPath::Direct, ID_HEADER, "");
    evidence.on_bytes(b"HTTP/1.1 200 OK\r\ncall-id:\r\ncall-id: \r\n\r\n");
    assert_eq!(evidence.shown(), None);
}

#[test]
fn end_before_this_routers_own_shows_nothing() {
    let mut evidence = evidence();
    evidence.on_end();
    assert_eq!((evidence.shown(), evidence.has_ended()), (None, true));
    evidence.on_own_end();
    evidence.on_end();
    assert_eq!(evidence.shown(), None);
    evidence.on_failure(ConnectionFailure::Reset);
    assert_eq!(evidence.shown(), Some(Evidence::Reset));
}

#[test]
fn end_after_this_routers_own_counts_unless_other_bytes_came_before() {
    let mut silent = evidence();
    silent.on_own_end();
    silent.on_end();
    assert_eq!(silent.shown(), Some(Evidence::EndAfterOwn));
    let mut other = evidence();
    other.on_bytes(&head(OTHER_ID));
    other.on_own_end();
    other.on_end();
    assert_eq!(other.shown(), Some(Evidence::Lost));
}

#[test]
fn reset_counts_on_direct_connections_only() {
    let shown = |path, failure| {
        let mut evidence = RequestEvidence::new(path, ID_HEADER, ID);
        evidence.on_failure(failure);
        evidence.shown()
    };
    let direct = |failure| shown(ConnectionPath::Direct, failure);
    assert_eq!(direct(ConnectionFailure::Reset), Some(Evidence::Reset));
    assert_eq!(direct(ConnectionFailure::Other), Some(Evidence::Lost));
    let relayed = shown(ConnectionPath::Relayed, ConnectionFailure::Reset);
    assert_eq!(relayed, Some(Evidence::Lost));
}

/// What the engine, the router or the network does.
#[derive(Clone, Debug)]
enum Step {
    /// The engine sends bytes that it can know without having read the request.
    OtherBytes(Vec<u8>),
    OtherResponse,
    /// The engine reads the request.
    Read,
    /// The engine responds to what it has read, in parts of this many bytes.
    Respond(usize),
    /// The engine closes its direction alone.
    EngineEnd,
    /// The engine's process closes the connection: what it has not read is discarded.
    EngineClose,
    /// The engine reads up to the router's end and closes the connection.
    EngineFollowsEnd,
    OwnEnd,
    /// The network or this machine fails.
    Failure,
    GiveUp,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let other_bytes =
        prop::collection::vec(prop_oneof![any::<u8>(), Just(b'\n'), Just(b':'), Just(b'x')], 0..80);
    let step = prop_oneof![
        4 => other_bytes.prop_map(Step::OtherBytes),
        3 => Just(Step::OtherResponse),
        2 => Just(Step::Read),
        2 => (1_usize..40).prop_map(Step::Respond),
        1 => Just(Step::EngineEnd),
        1 => Just(Step::EngineClose),
        1 => Just(Step::EngineFollowsEnd),
        2 => Just(Step::OwnEnd),
        1 => Just(Step::Failure),
        1 => Just(Step::GiveUp),
    ];
    prop::collection::vec(step, 1..14)
}

/// An engine and the connection of one request.
struct Connection {
    evidence: RequestEvidence,
    path: ConnectionPath,
    is_read: bool,
    /// Whether the engine's process has closed the connection.
    is_closed: bool,
    has_engine_end: bool,
    has_own_end: bool,
}

impl Connection {
    fn new(path: ConnectionPath) -> Self {
        Self {
            evidence: RequestEvidence::new(path, ID_HEADER, ID),
            path,
            is_read: false,
            is_closed: false,
            has_engine_end: false,
            has_own_end: false,
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        if !self.has_engine_end && !self.is_closed {
            self.evidence.on_bytes(bytes);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::OtherBytes(bytes) => self.send(&bytes),
            Step::OtherResponse => self.send(&head(OTHER_ID)),
            Step::Read => self.is_read |= !self.is_closed,
            Step::Respond(size) if self.is_read => {
                self.send(b"\r\n");
                head(ID).chunks(size).for_each(|part| self.send(part));
            }
            Step::Respond(_) => {}
            Step::EngineEnd => self.end(),
            Step::EngineClose => self.close(),
            Step::EngineFollowsEnd => self.follow_end(),
            Step::OwnEnd => {
                self.has_own_end = true;
                self.evidence.on_own_end();
            }
            Step::Failure => self.evidence.on_failure(ConnectionFailure::Other),
            Step::GiveUp => self.evidence.on_given_up(),
        }
    }

    fn end(&mut self) {
        if !std::mem::replace(&mut self.has_engine_end, true) {
            self.evidence.on_end();
        }
    }

    /// The kernel resets a connection that is closed while something is unread.
    fn close(&mut self) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        match self.is_read {
            true => self.end(),
            false => self.evidence.on_failure(ConnectionFailure::Reset),
        }
    }

    fn follow_end(&mut self) {
        if self.has_own_end && !self.is_closed && !self.has_engine_end {
            self.is_read = true;
            self.close();
        }
    }

    /// Whether the engine may still read the request.
    fn may_be_read(&self) -> bool {
        !self.is_read && !self.is_closed
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    /// Whatever the order of what an engine and the network do.
    #[test]
    fn request_that_may_still_be_read_is_never_settled(
        steps in steps(),
        is_direct in any::<bool>(),
    ) {
        let path = if is_direct { ConnectionPath::Direct } else { ConnectionPath::Relayed };
        let mut connection = Connection::new(path);
        for step in steps {
            let before = connection.evidence.shown();
            connection.apply(step);
            let shown = connection.evidence.shown();
            prop_assert!(before.is_none() || shown == before, "evidence is final");
            match shown {
                Some(Evidence::Response) => prop_assert!(connection.is_read),
                Some(Evidence::Reset) => {
                    prop_assert!(!connection.may_be_read());
                    prop_assert_eq!(connection.path, ConnectionPath::Direct);
                }
                Some(Evidence::NotWritten) => prop_assert!(false, "it was written"),
                Some(Evidence::EndAfterOwn | Evidence::Lost) | None => {}
            }
        }
    }

    /// An engine that has read a request and responds is believed, whatever came before and however
    /// its bytes are split.
    #[test]
    fn response_is_found_behind_any_other_bytes(
        other in prop::collection::vec(any::<u8>(), 0..2_000),
        size in 1_usize..60,
    ) {
        let mut evidence = evidence();
        other.chunks(size).for_each(|part| evidence.on_bytes(part));
        evidence.on_bytes(b"\n");
        head(ID).chunks(size).for_each(|part| evidence.on_bytes(part));
        prop_assert_eq!(evidence.shown(), Some(Evidence::Response));
    }
}
