//! The bytes of a connection to an engine through another router.

use stackpost_gateway::engine_relay::RelayedStream;
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

const FIRST: &[u8] = b"HTTP/1.1 200 OK";
const SECOND: &[u8] = b"rest";

fn frame(content: &[u8]) -> Vec<u8> {
    let mut bytes = (content.len() as u16).to_be_bytes().to_vec();
    bytes.extend_from_slice(content);
    bytes
}

/// Reads everything that a relay sends in pieces of `piece` bytes before it closes the connection.
async fn read_all(sent: Vec<u8>, piece: usize) -> (Vec<u8>, Option<ErrorKind>) {
    let (router_side, mut relay_side) = tokio::io::duplex(64);
    let relay = async move {
        for bytes in sent.chunks(piece) {
            relay_side.write_all(bytes).await.expect("sent");
            tokio::task::yield_now().await;
        }
    };
    let mut stream: RelayedStream<DuplexStream> = RelayedStream::new(router_side);
    let mut received = Vec::new();
    let read = async { stream.read_to_end(&mut received).await.err().map(|error| error.kind()) };
    let ((), error) = tokio::join!(relay, read);
    (received, error)
}

#[tokio::test]
async fn frames_are_joined_however_they_are_split() {
    let sent = [frame(FIRST), frame(SECOND), frame(b"")].concat();
    for piece in 1..=sent.len() {
        let (received, error) = read_all(sent.clone(), piece).await;
        assert_eq!((received, error), ([FIRST, SECOND].concat(), None), "pieces of {piece}");
    }
}

#[tokio::test]
async fn response_cut_by_the_end_of_the_relay_is_never_complete() {
    let sent = [frame(FIRST), frame(SECOND)].concat();
    for length in 0..=sent.len() {
        let (_, error) = read_all(sent[..length].to_vec(), 5).await;
        assert_eq!(error, Some(ErrorKind::ConnectionReset), "{length} bytes");
    }
}
