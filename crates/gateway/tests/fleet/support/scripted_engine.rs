//! Engines that write prepared bytes in answer to each request.

use super::Fleet;
use stackpost_gateway_core::{EngineNotice, EngineState};
use stackpost_types::BackEndName;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The head of a request as an engine reads it.
pub struct RequestHead(String);

impl RequestHead {
    /// The value of a header of the tests' codec.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.0.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// The id of the request.
    pub fn id(&self) -> &str {
        self.header("id").unwrap_or_default()
    }
}

/// What an engine writes after a request.
pub struct Script {
    pub bytes: Vec<u8>,
    /// Whether it closes the connection afterwards.
    pub closes: bool,
}

impl Script {
    /// Bytes after which the connection stays open.
    pub fn kept(bytes: impl Into<Vec<u8>>) -> Self {
        Self { bytes: bytes.into(), closes: false }
    }

    /// Bytes after which the connection is closed.
    pub fn closing(bytes: impl Into<Vec<u8>>) -> Self {
        Self { bytes: bytes.into(), closes: true }
    }
}

/// Replaces the engines of a fleet by `count` engines that follow `script`.
pub async fn replace_engines(
    fleet: &Fleet,
    count: usize,
    script: impl Fn(&RequestHead) -> Script + 'static,
) {
    let script: Rc<dyn Fn(&RequestHead) -> Script> = Rc::new(script);
    for number in 0..count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let template = fleet.notice(&fleet.engines[0], 1, EngineState::Ready);
        let engine = BackEndName::new(format!("scripted-{number}"));
        let script = script.clone();
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepted");
                tokio::task::spawn_local(serve(stream, script.clone()));
            }
        });
        let notice = EngineNotice { engine, address, ..template };
        fleet.control.announce(notice).await.expect("accepted");
    }
    for other in &fleet.engines {
        fleet.leave(other.name.id()).await;
    }
    super::wait_until(|| fleet.router.ready_engine_count() == count).await;
}

async fn serve(mut stream: TcpStream, script: Rc<dyn Fn(&RequestHead) -> Script>) {
    let mut request = vec![0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut request).await {
        let head = RequestHead(String::from_utf8_lossy(&request[..length]).to_string());
        let Script { bytes, closes } = script(&head);
        // The router may have closed the connection.
        let is_written = stream.write_all(&bytes).await.is_ok();
        if closes || !is_written {
            return;
        }
    }
}
