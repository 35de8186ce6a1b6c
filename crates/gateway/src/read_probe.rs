//! Health checks of departing engines that may not have read all requests. The response shows that an
//! engine has accepted all connections that were opened before, and reads.

use crate::router::Router;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Uri, header};
use stackpost_gateway_core::{EngineRecord, EngineTraffic};
use stackpost_types::BackEndName;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for the response to a health check. An engine that is full lets it wait for a slot.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent probes.
const MAX_PROBES: usize = 8;

/// Engines that are being probed.
#[derive(Debug, Default)]
pub(crate) struct ReadProbes(RefCell<BTreeSet<BackEndName>>);

impl Router {
    /// What this router knows of its requests at a departing engine.
    pub(crate) fn traffic(&self, engine: &BackEndName) -> EngineTraffic {
        if self.directory.borrow().accepts_requests(engine) {
            return EngineTraffic::Ongoing;
        }
        let picker = self.picker.borrow();
        let newest = picker.unread(engine).and_then(|unread| unread.newest(self.now()));
        newest.map_or(EngineTraffic::AllRead, EngineTraffic::UnreadSince)
    }

    /// Starts a health check of a departing engine, unless one is running.
    pub(crate) fn probe_reading(self: &Rc<Self>, engine: &BackEndName) {
        let record = self.directory.borrow().get(engine).cloned();
        let Some((record, path)) = record.and_then(|record| {
            let path = self.health_path(&record)?;
            Some((record, path))
        }) else {
            return;
        };
        let mut running = self.read_probes.0.borrow_mut();
        if running.len() >= MAX_PROBES || !running.insert(engine.clone()) {
            return;
        }
        drop(running);
        let router = self.clone();
        tokio::task::spawn_local(async move {
            let opened_at = router.now();
            let answered = timeout(PROBE_TIMEOUT, router.check_health(&record, path)).await;
            let engine = &record.notice.engine;
            let was_answered = answered.unwrap_or(false);
            if was_answered {
                router.picker.borrow_mut().on_probe_answered(engine, opened_at);
            }
            log::info!(engine = engine.as_str(), answered = was_answered; "departing engine probed");
            router.read_probes.0.borrow_mut().remove(engine);
        });
    }

    fn health_path(&self, record: &EngineRecord) -> Option<Uri> {
        let table = self.table()?;
        let service = table.config().services.get(&record.notice.service)?;
        service.health_path.as_ref()?.parse().ok()
    }

    /// Whether an engine responds to a health check over a new connection, whatever the response.
    async fn check_health(self: &Rc<Self>, record: &EngineRecord, path: Uri) -> bool {
        let Ok(mut connection) = self.connect(record, true).await else {
            return false;
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path;
        let host = record.notice.address.to_string();
        if let Ok(host) = host.parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        let was_answered = connection.sender.try_send_request(request).await.is_ok();
        connection.close();
        was_answered
    }
}
