//! TCP options of connections to engines and between routers.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Time without an acknowledgement of bytes or keepalive probes after which a connection breaks. A
/// sound engine may be silent for a second, and what is lost meanwhile is sent again after growing
/// pauses. On Linux this limit decides for keepalive probes too, whatever their number.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Idle time before TCP keepalive probes, and their interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Sets the options of an established connection.
pub(crate) fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    // These shorten delays and detect a lost peer; the connection works without them.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let _ = socket.set_tcp_keepalive(&probes);
}
