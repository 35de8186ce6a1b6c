//! Connections of clients over real sockets.

use futures::FutureExt;
use stackpost_gateway::client_connections::{ClientConnection, ClientConnections, ClientStream};
use stackpost_gateway_core::{ClientTimeouts, ConnectionLimits};
use stackpost_types::Millis;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const LIMITS: ConnectionLimits = ConnectionLimits { connections: 10, head_bytes: 1024 * 1024 };
/// Heads are closed the next time that they are looked at.
const TIMEOUTS: ClientTimeouts = ClientTimeouts { head: Millis(0), send: Millis(60_000) };

/// One end of a connection and the server's side of the other.
struct Pair {
    client: TcpStream,
    connection: Rc<ClientConnection>,
    stream: ClientStream,
}

impl Pair {
    async fn open(connections: &Rc<ClientConnections>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("connected");
        let (accepted, _) = listener.accept().await.expect("accepted");
        let connection = connections.open().expect("admitted");
        let stream = connection.wrap(accepted);
        Self { client, connection, stream }
    }

    async fn send_and_read(&mut self) {
        self.client.write_all(b"bytes").await.expect("written");
        self.stream.read_exact(&mut [0; 5]).await.expect("read");
    }
}

/// Guards against closing the connection of a client that is still sending the body of a refused
/// request, as though that were an unfinished head: the client would not receive the refusal.
#[tokio::test]
async fn a_client_that_still_sends_a_refused_body_keeps_its_connection() {
    let test = async {
        let connections = ClientConnections::new(LIMITS);
        tokio::task::spawn_local(connections.clone().run_timeouts(|| TIMEOUTS));
        let (mut refused, mut head) =
            (Pair::open(&connections).await, Pair::open(&connections).await);
        let response = refused.connection.begin_request(true);
        let discard = refused.connection.guard_request();
        drop(response);
        refused.stream.flush().await.expect("flushed");
        refused.send_and_read().await;
        head.send_and_read().await;
        head.connection.closed().await;
        assert!(refused.connection.closed().now_or_never().is_none(), "closed while it sends");
        drop(discard);
        refused.stream.flush().await.expect("flushed");
        refused.send_and_read().await;
        refused.connection.closed().await;
    };
    LocalSet::new().run_until(test).await;
}
