//! HTTP client that sends orders to engines.

use crate::replica_handle::ReplicaHandle;
use stackpost_control_core::{ControlEvent, EngineOrder};
use stackpost_http::{Bytes, Client, StatusCode};
use stackpost_types::BackEndName;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an engine's response, which it sends once it is in the desired state.
const ORDER_TIMEOUT: Duration = Duration::from_secs(9);

/// An order with the engine that receives it.
pub struct AddressedOrder {
    /// The engine.
    pub back_end: BackEndName,
    /// Address of the engine.
    pub address: SocketAddr,
    /// The order.
    pub order: EngineOrder,
}

/// Sends an order and reports the result to the replica. `may_send` is called just before the
/// order is sent, since the lease may have ended since the order was created.
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
        Err("the lease expired before the order was sent".to_string())
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
    let response = client.exchange(request, ORDER_TIMEOUT).await;
    let (status, text) = response.map_err(|error| error.reason)?;
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(format!("status {status}: {}", String::from_utf8_lossy(&text)))
}
