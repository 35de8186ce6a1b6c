//! Watching back ends and the platform's machine list.

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

/// Longest wait for an answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two readings of the platform's list.
const PLATFORM_INTERVAL: Duration = Duration::from_millis(1_000);

/// The process that usage answers go back to.
static SHELL: OnceLock<Weak<RouterServer>> = OnceLock::new();

/// A question about a request whose router died.
pub struct UsageQuery {
    /// The account that holds the intent.
    pub account: AccountId,
    /// The request.
    pub request: RequestId,
    /// The back end.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
struct CacheEvents {
    first: u64,
    changes: Vec<CacheChange>,
}

#[derive(Deserialize)]
struct WholeCache {
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
struct Target {
    name: BackEndName,
    address: SocketAddr,
    kind: ServiceKind,
    next_event: Option<u64>,
}

/// Watches the back ends of the own zone for ever, each on a task of its own.
pub async fn watch_back_ends(server: Arc<RouterServer>) {
    let _ = SHELL.set(Arc::downgrade(&server));
    let interval = Duration::from_millis(server.options().poll_interval_ms);
    let mut watched: HashSet<BackEndName> = HashSet::new();
    loop {
        for target in targets(&server) {
            if watched.insert(target.name.clone()) {
                tokio::spawn(watch_one(server.clone(), target.name, interval));
            }
        }
        tokio::time::sleep(interval).await;
    }
}

async fn watch_one(server: Arc<RouterServer>, name: BackEndName, interval: Duration) {
    let client = server.client(true);
    loop {
        if let Some(target) = targets(&server).into_iter().find(|target| target.name == name) {
            poll_load(&server, &client, &target).await;
            if target.kind == ServiceKind::Model {
                poll_cache(&server, &client, &target).await;
            }
        }
        tokio::time::sleep(interval).await;
    }
}

fn targets(server: &RouterServer) -> Vec<Target> {
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
            .map(|(name, back_end)| Target {
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

async fn poll_load(server: &RouterServer, client: &Client, target: &Target) {
    let back_end = target.name.clone();
    let body = get(client, target.address, "/v1/engine/load").await;
    let report = body.and_then(|body| serde_json::from_slice::<LoadReport>(&body).ok());
    match report {
        Some(report) => server.handle(Event::Load { back_end, report }),
        None => server.handle(Event::LoadFailed { back_end }),
    }
}

/// Follows an engine's cache events; after a gap the whole cache is read.
async fn poll_cache(server: &RouterServer, client: &Client, target: &Target) {
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
            if let Ok(whole) = serde_json::from_slice::<WholeCache>(&body) {
                let WholeCache { next, blocks } = whole;
                server.handle(Event::CacheSnapshot { back_end, next, blocks });
            }
        }
    }
}

/// Reads the platform's machine list for ever.
pub async fn watch_platform(server: Arc<RouterServer>, address: SocketAddr) {
    let client = server.client(true);
    loop {
        if let Some(body) = get(&client, address, "/v1/machines").await
            && let Ok(listed) = serde_json::from_slice::<Vec<ListedMachine>>(&body)
        {
            let entries = listed
                .into_iter()
                .map(|line| PlatformEntry { back_end: line.back_end, leaving: line.leaving })
                .collect();
            server.handle(Event::Platform(entries));
        }
        tokio::time::sleep(PLATFORM_INTERVAL).await;
    }
}

/// Asks a back end what a request used.
pub async fn query_usage(client: Client, query: UsageQuery) {
    let UsageQuery { account, request, address } = query;
    let body = get(&client, address, &format!("/v1/engine/requests/{request}")).await;
    let usage = body.and_then(|body| serde_json::from_slice::<RequestUsage>(&body).ok());
    let usage = usage.map(|known| Usage {
        prompt_tokens: known.prompt_tokens,
        completion_tokens: known.completion_tokens,
    });
    if let Some(server) = SHELL.get().and_then(Weak::upgrade) {
        server.handle(Event::UsageReceived { account, request, usage });
    }
}
