//! State of a control process: engines, connections and configurations.

use crate::departures::UncommittedDepartures;
use crate::document_delta::DocumentDelta;
use crate::links::Links;
use crate::message::Document;
use crate::packed_document::PackedDocument;
use crate::quiescence::{Quiescence, QuiescenceTracker};
use crate::replica_api::{PutReply, ReadReply};
use crate::router_updates::RouterList;
use crate::silent_engines::SilentEngineList;
use stackpost_gateway_core::{ColdEngines, EngineDirectory, KnownDepartures, RouterEndpoint};
use stackpost_mesh::{LinkId, PeerRole};
use stackpost_types::BackEndName;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Configurations kept as bases for deltas.
const RECENT_DOCUMENTS: usize = 6;

/// The state of a control process.
pub(crate) struct ControlState {
    pub directory: EngineDirectory,
    pub silent: SilentEngineList,
    pub cold: ColdEngines,
    /// Committed departures, as applied by this process's replica or received from the leader.
    pub departures: KnownDepartures,
    pub uncommitted: UncommittedDepartures,
    pub quiescence: QuiescenceTracker,
    /// The leader's latest replies to this process's waiting calls, by token.
    pub quiescence_replies: HashMap<u64, Quiescence>,
    /// Engines that have repeated their announcement since the last status.
    pub refreshed: BTreeSet<BackEndName>,
    pub links: Links,
    pub control_peers: BTreeSet<SocketAddr>,
    /// The latest configurations, by version, as bases for deltas.
    pub recent_documents: BTreeMap<u64, Document>,
    /// Deltas from earlier configurations to the latest one, by base version.
    pub deltas: BTreeMap<u64, DocumentDelta>,
    /// The latest configuration that was sent in full, compressed.
    pub packed: Option<PackedDocument>,
    pub puts: HashMap<u64, oneshot::Sender<PutReply>>,
    pub reads: HashMap<u64, oneshot::Sender<ReadReply>>,
    pub next_token: u64,
    /// Status intervals since the role last changed.
    pub status_ticks: u32,
    pub routers: RouterList,
}

impl ControlState {
    /// Keeps a configuration as a base for deltas.
    pub fn cache_document(&mut self, document: &Document) {
        self.deltas.clear();
        self.recent_documents.insert(document.version, document.clone());
        while self.recent_documents.len() > RECENT_DOCUMENTS {
            self.recent_documents.pop_first();
        }
    }

    /// `document` compressed, as it is sent in full.
    pub fn packed(&mut self, document: &Document) -> PackedDocument {
        if let Some(packed) =
            self.packed.as_ref().filter(|packed| packed.version == document.version)
        {
            return packed.clone();
        }
        self.packed.insert(PackedDocument::pack(document)).clone()
    }

    /// The delta from version `base` to `document`; `None` if that version is no longer cached.
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

    /// The connected routers by zone and address, with a connection to each.
    pub fn router_endpoints(&self) -> BTreeMap<RouterEndpoint, LinkId> {
        let routers = self.links.peers(PeerRole::Router).map(|(link, _)| link);
        routers.filter_map(|link| Some((self.links.endpoint(link)?, link))).collect()
    }
}
