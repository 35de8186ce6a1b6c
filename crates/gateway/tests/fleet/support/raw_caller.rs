//! A caller that reads its connection byte by byte, or does not read it.

use super::KEY;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Receive buffer of the connection. Small, so that the system buffers little for the caller.
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;
/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 2_000;
/// Longest wait for the end of a connection.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// What a caller has received.
#[derive(Debug)]
pub struct RawResponse {
    /// The head.
    pub head: String,
    /// The decoded body.
    pub body: String,
    /// Whether its end was received, by the rules of HTTP.
    pub is_whole: bool,
}

/// A caller without an HTTP library.
pub struct RawCaller(TcpStream);

impl RawCaller {
    /// Connects and sends the head of a request, which may have further headers.
    pub async fn send(callers: SocketAddr, path: &str, id: &str, headers: &str) -> Self {
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: ferry.example\r\nid: {id}\r\nkey: {KEY}\r\n{headers}\r\n"
        );
        Self::send_bytes(callers, head.as_bytes()).await
    }

    /// Connects and sends bytes.
    pub async fn send_bytes(callers: SocketAddr, bytes: &[u8]) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("set");
        let mut stream = socket.connect(callers).await.expect("connected");
        stream.write_all(bytes).await.expect("sent");
        Self(stream)
    }

    /// Sends further bytes.
    pub async fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).await.expect("sent");
    }

    /// Reads until the response or the connection has ended.
    pub async fn read_rest(mut self) -> RawResponse {
        let reading = async {
            let mut received = Vec::new();
            loop {
                match self.0.read_buf(&mut received).await {
                    Ok(0) => return received,
                    Ok(_) if is_whole(&received) => return received,
                    Ok(_) => {}
                    Err(error) if error.kind() == ErrorKind::ConnectionReset => return received,
                    Err(error) => panic!("{error}"),
                }
            }
        };
        let received = timeout(END_TIMEOUT, reading).await.expect("an end of the connection");
        decode(&received)
    }
}

/// Whether the end of a response was received.
fn is_whole(received: &[u8]) -> bool {
    if received.ends_with(b"\r\n0\r\n\r\n") {
        return true;
    }
    let text = String::from_utf8_lossy(&received[..received.len().min(MAX_HEAD_BYTES)]);
    let Some((head, _)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|length| Ok(received.len() - head.len() - 4) == length.parse())
}

fn decode(received: &[u8]) -> RawResponse {
    let is_whole = is_whole(received);
    let text = String::from_utf8_lossy(received);
    let (head, mut rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let mut body = String::new();
    if !head.contains("transfer-encoding: chunked") {
        return RawResponse { head: head.into(), body: rest.into(), is_whole };
    }
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("the size of a chunk");
        body.push_str(after.get(..size).unwrap_or(after));
        rest = after.get(size + 2..).unwrap_or("");
    }
    RawResponse { head: head.into(), body, is_whole }
}
