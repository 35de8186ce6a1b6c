//! Polling of back ends and of the platform's machine list.

use crate::server::RouterServer;
use serde::Deserialize;
use stackpost_balance::{BlockHash, CacheChange, LoadReport};
use stackpost_http::{Bytes, Client, StatusCode};
use stackpost_router_core::{Event, PlatformEntry, Usage};
use stackpost_table::ServiceKind;
use stackpost_table::{Row, RowKey};
use stackpost_types::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

/// Maximum wait for the response to a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two reads of the platform's machine list.
const PLATFORM_INTERVAL: Duration = Duration::from_millis(1_000);

/// The server that receives the results of usage queries.
static SERVER: OnceLock<Weak<RouterServer>> = OnceLock::new();

/// A usage query for a request whose router has crashed.
pub struct UsageQuery {
    /// The account that holds the intent.
    pub account: AccountId,
    /// The request.
    pub request: RequestId,
    /// The back end's address.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
struct CacheEvents {
    first: u64,
    changes: Vec<CacheChange>,
}

#[derive(Deserialize)]
struct CacheSnapshotBody {
    next: u64,
    blocks: Vec<BlockHash>,
}

#[derive(Deserialize)]
struct RequestUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

#[derive(Deserialize)]
struct ListedMachine {
    back_end: BackEndName,
    leaving: bool,
}

#[derive(Clone)]
struct PollTarget {
    name: BackEndName,
    address: SocketAddr,
    kind: ServiceKind,
    next_event: Option<u64>,
}

/// Polls the back ends of this router's zone, each in its own task. Never returns.
pub async fn watch_back_ends(server: Arc<RouterServer>) {
    let _ = SERVER.set(Arc::downgrade(&server));
    let interval = Duration::from_millis(server.options().poll_interval_ms);
    let mut watched: HashSet<BackEndName> = HashSet::new();
    loop {
        for target in poll_targets(&server) {
            if watched.insert(target.name.clone()) {
                tokio::spawn(watch_back_end(server.clone(), target.name, interval));
            }
        }
        tokio::time::sleep(interval).await;
    }
}

async fn watch_back_end(server: Arc<RouterServer>, name: BackEndName, interval: Duration) {
    let client = server.client(true);
    loop {
        if let Some(target) = poll_targets(&server).into_iter().find(|target| target.name == name) {
            poll_load(&server, &client, &target).await;
            if target.kind == ServiceKind::Model {
                poll_cache(&server, &client, &target).await;
            }
        }
        tokio::time::sleep(interval).await;
    }
}

fn poll_targets(server: &RouterServer) -> Vec<PollTarget> {
    let zone = server.entry().zone.clone();
    server.inspect(|router| {
        let kind_of =
            |service: &ServiceName| match router.table().get(&RowKey::Service(service.clone())) {
                Some(Row::Service(row)) => row.kind,
                _ => ServiceKind::Plain,
            };
        router
            .balancer()
            .iter()
            .filter(|(_, back_end)| back_end.row.zone == zone)
            .map(|(name, back_end)| PollTarget {
                name: name.clone(),
                address: back_end.row.address,
                kind: kind_of(&back_end.row.service),
                next_event: back_end.cache.next_sequence(),
            })
            .collect()
    })
}

async fn get(client: &Client, address: SocketAddr, path: &str) -> Option<Bytes> {
    let request = hyper::http::Request::get(format!("http://{address}{path}"));
    let request = request.body(Bytes::new()).ok()?;
    match client.exchange(request, POLL_TIMEOUT).await {
        Ok((StatusCode::OK, body)) => Some(body),
        Ok((status, _)) => {
            log::debug!("poll {address}{path}: status {status}");
            None
        }
        Err(error) => {
            log::debug!("poll {address}{path}: {error}");
            None
        }
    }
}

async fn poll_load(server: &RouterServer, client: &Client, target: &PollTarget) {
    let back_end = target.name.clone();
    let body = get(client, target.address, "/v1/engine/load").await;
    let report = body.and_then(|body| serde_json::from_slice::<LoadReport>(&body).ok());
    match report {
        Some(report) => server.handle(Event::Load { back_end, report }),
        None => server.handle(Event::LoadFailed { back_end }),
    }
}

/// Reads an engine's cache events; if their sequence number is unknown, as after a gap, reads a
/// snapshot of the cache.
async fn poll_cache(server: &RouterServer, client: &Client, target: &PollTarget) {
    let back_end = target.name.clone();
    match target.next_event {
        Some(next) => {
            let path = format!("/v1/engine/cache/events?from={next}");
            let Some(body) = get(client, target.address, &path).await else {
                return;
            };
            if let Ok(events) = serde_json::from_slice::<CacheEvents>(&body) {
                let CacheEvents { first, changes } = events;
                server.handle(Event::Cache { back_end, first, changes });
            }
        }
        None => {
            let Some(body) = get(client, target.address, "/v1/engine/cache").await else {
                return;
            };
            if let Ok(snapshot) = serde_json::from_slice::<CacheSnapshotBody>(&body) {
                let CacheSnapshotBody { next, blocks } = snapshot;
                server.handle(Event::CacheSnapshot { back_end, next, blocks });
            }
        }
    }
}

/// Polls the platform's machine list. Never returns.
pub async fn watch_platform(server: Arc<RouterServer>, address: SocketAddr) {
    let client = server.client(true);
    loop {
        if let Some(body) = get(&client, address, "/v1/machines").await
            && let Ok(listed) = serde_json::from_slice::<Vec<ListedMachine>>(&body)
        {
            let entries = listed
                .into_iter()
                .map(|machine| PlatformEntry {
                    back_end: machine.back_end,
                    leaving: machine.leaving,
                })
                .collect();
            server.handle(Event::Platform(entries));
        }
        tokio::time::sleep(PLATFORM_INTERVAL).await;
    }
}

/// Queries a back end for the usage of a request.
pub async fn query_usage(client: Client, query: UsageQuery) {
    let UsageQuery { account, request, address } = query;
    let body = get(&client, address, &format!("/v1/engine/requests/{request}")).await;
    let usage = body.and_then(|body| serde_json::from_slice::<RequestUsage>(&body).ok());
    let usage = usage.map(|reported| Usage {
        prompt_tokens: reported.prompt_tokens,
        completion_tokens: reported.completion_tokens,
    });
    if let Some(server) = SERVER.get().and_then(Weak::upgrade) {
        server.handle(Event::UsageReceived { account, request, usage });
    }
}
