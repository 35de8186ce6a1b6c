//! Sending orders to engines.

use crate::replica_handle::ReplicaHandle;
use stackpost_control_core::{ControlEvent, EngineOrder};
use stackpost_http::{Bytes, Client, StatusCode};
use stackpost_types::BackEndName;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an engine to reach the ordered state.
const ORDER_TIMEOUT: Duration = Duration::from_secs(9);

/// An order and the engine it is for.
pub struct AddressedOrder {
    /// The engine.
    pub back_end: BackEndName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The order.
    pub order: EngineOrder,
}

/// Sends an order and reports the answer. `may_send` is asked just before the order leaves: the
/// lease may have ended since the order was decided on.
pub async fn send(
    client: Client,
    replica_handle: ReplicaHandle,
    addressed: AddressedOrder,
    may_send: impl Fn() -> bool,
) {
    let AddressedOrder { back_end, address, order } = addressed;
    let result = if may_send() {
        post(&client, address, &order).await
    } else {
        Err("the lease ended before the order was sent".to_string())
    };
    log::info!(
        peer = back_end.to_string(), step = "order",
        term = order.term, version = order.version.0;
        "{}", result.as_ref().map_or_else(String::as_str, |()| "done")
    );
    replica_handle.event(ControlEvent::OrderAnswered { back_end, order, result });
}

async fn post(client: &Client, address: SocketAddr, order: &EngineOrder) -> Result<(), String> {
    let body = serde_json::to_vec(order).map_err(|error| error.to_string())?;
    let request = hyper::http::Request::post(format!("http://{address}/v1/engine/orders"))
        .header("content-type", "application/json")
        .body(Bytes::from(body))
        .map_err(|error| error.to_string())?;
    let answered = client.exchange(request, ORDER_TIMEOUT).await;
    let (status, text) = answered.map_err(|error| error.reason)?;
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(format!("status {status}: {}", String::from_utf8_lossy(&text)))
}
