//! What a control process knows of engines, connections and configurations.

use crate::departures::UncommittedDepartures;
use crate::document_delta::DocumentDelta;
use crate::links::Links;
use crate::message::Document;
use crate::packed_document::PackedDocument;
use crate::replica_api::{PutReply, ReadReply};
use crate::router_updates::{RouterList, SilentEngineList};
use stackpost_gateway_core::{EngineDirectory, KnownDepartures, RouterEndpoint};
use stackpost_mesh::{LinkId, PeerRole};
use stackpost_types::BackEndName;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Configurations kept as bases for differences.
const RECENT_DOCUMENTS: usize = 6;

/// What a control process knows.
pub(crate) struct ControlState {
    pub directory: EngineDirectory,
    pub silent: SilentEngineList,
    /// Departures that are written down, by the own replica or by the leader's word.
    pub departures: KnownDepartures,
    pub uncommitted: UncommittedDepartures,
    /// Engines announced since the last status.
    pub refreshed: BTreeSet<BackEndName>,
    pub links: Links,
    pub control_peers: BTreeSet<SocketAddr>,
    /// The newest configurations, by version, as bases for differences.
    pub recent_documents: BTreeMap<u64, Document>,
    /// The newest configuration as differences to earlier ones.
    pub deltas: BTreeMap<u64, DocumentDelta>,
    /// The newest configuration that was sent whole.
    pub packed: Option<PackedDocument>,
    pub puts: HashMap<u64, oneshot::Sender<PutReply>>,
    pub reads: HashMap<u64, oneshot::Sender<ReadReply>>,
    pub next_token: u64,
    pub routers: RouterList,
}

impl ControlState {
    /// Keeps a configuration as a base for differences.
    pub fn cache_document(&mut self, document: &Document) {
        self.deltas.clear();
        self.recent_documents.insert(document.version, document.clone());
        while self.recent_documents.len() > RECENT_DOCUMENTS {
            self.recent_documents.pop_first();
        }
    }

    /// `document` as it is sent whole.
    pub fn packed(&mut self, document: &Document) -> PackedDocument {
        if let Some(packed) =
            self.packed.as_ref().filter(|packed| packed.version == document.version)
        {
            return packed.clone();
        }
        self.packed.insert(PackedDocument::pack(document)).clone()
    }

    /// `document` as the difference to the version `base`, if that is still here.
    pub fn delta(&mut self, base: u64, document: &Document) -> Option<DocumentDelta> {
        if let Some(delta) =
            self.deltas.get(&base).filter(|delta| delta.version == document.version)
        {
            return Some(delta.clone());
        }
        let delta = DocumentDelta::between(self.recent_documents.get(&base)?, document);
        self.deltas.insert(base, delta.clone());
        Some(delta)
    }

    /// The routers and a connection to each, by zone and address.
    pub fn router_endpoints(&self) -> BTreeMap<RouterEndpoint, LinkId> {
        let routers = self.links.peers(PeerRole::Router).map(|(link, _)| link);
        routers.filter_map(|link| Some((self.links.endpoint(link)?, link))).collect()
    }
}
