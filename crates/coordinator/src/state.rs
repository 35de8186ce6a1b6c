//! The replicated state.

use crate::message::Document;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{
    DepartureChange, Departures, EvacuationOrder, Evacuations, Quarantine, QuarantineChange,
    Suspect,
};
use stackpost_prepaid::{BootTimestamp, Charge, Grant, IncarnationEnd, PrepaidLedger, TokenReturn};
use stackpost_types::{BackEndName, NodeId, TenantName, Tokens};

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if its version is higher.
    PutDocument {
        /// The new configuration.
        document: Document,
        /// The prepaid budgets in the document.
        limits: Vec<(TenantName, Tokens)>,
    },
    /// Grants tokens to routers.
    Grant(Vec<Grant>),
    /// Records the total tokens that routers have returned.
    ReturnTokens(Vec<TokenReturn>),
    /// Closes a router incarnation.
    CloseRouter {
        /// The router incarnation.
        router: NodeId,
        /// What is known of its end.
        end: IncarnationEnd,
    },
    /// Records a router's last contact with the leader. Written by versions before
    /// [`Command::RecordContacts`].
    RecordContact {
        /// The router.
        router: NodeId,
        /// Time of the contact.
        contact: BootTimestamp,
        /// Tokens consumed of each of its allotments some time after the contact.
        consumed: Vec<(TenantName, Tokens)>,
    },
    /// Changes the record of requests under which engines have crashed.
    Quarantine(QuarantineChange),
    /// Changes the engines' departures.
    Departures(DepartureChange),
    /// Records the last contacts of routers with the leader.
    RecordContacts(Vec<RouterContact>),
    /// Evacuates a zone or ends its evacuation.
    Evacuate(EvacuationOrder),
}

/// A router's last contact with the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterContact {
    /// The router.
    pub router: NodeId,
    /// Time of the contact.
    pub contact: BootTimestamp,
    /// Tokens consumed of each of its allotments some time after the contact.
    pub consumed: Vec<(TenantName, Tokens)>,
}

/// Result of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Nothing to report.
    Done,
    /// The configuration of the command is in force.
    DocumentAccepted,
    /// A configuration with the same or a higher version was in force already.
    DocumentSuperseded,
    /// The quarantine notice for routers has changed.
    QuarantineChanged,
    /// The engines' departures have changed.
    DeparturesChanged,
    /// The evacuated zones have changed.
    EvacuationsChanged,
}

/// The state that is replicated between the control replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    /// The configuration in force.
    pub document: Option<Document>,
    /// The prepaid budgets.
    pub ledger: PrepaidLedger,
    /// Requests under which engines have crashed. Replicated because a caller may resend a request
    /// after all processes have been killed.
    pub quarantine: Quarantine,
    /// The engines' departures. Replicated because an engine whose departure was acknowledged does
    /// not repeat it.
    pub departures: Departures,
    /// The evacuated zones.
    pub evacuations: Evacuations,
}

/// The state as written by versions without evacuations.
#[derive(Deserialize)]
struct StateWithoutEvacuations {
    document: Option<Document>,
    ledger: PrepaidLedger,
    quarantine: Quarantine,
    departures: Departures,
}

/// The state as written by versions without departures.
#[derive(Deserialize)]
struct StateWithoutDepartures {
    document: Option<Document>,
    ledger: PrepaidLedger,
    quarantine: Quarantine,
}

/// The state as written by versions without a quarantine.
#[derive(Deserialize)]
struct StateWithoutQuarantine {
    document: Option<Document>,
    ledger: PrepaidLedger,
}

impl FleetState {
    /// Version of the configuration in force; zero if there is none.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> ApplyOutcome {
        match command {
            Command::PutDocument { document, limits } => return self.put(document, &limits),
            Command::Grant(grants) => {
                for grant in grants {
                    self.ledger.allot(&grant);
                }
            }
            Command::ReturnTokens(returns) => {
                for token_return in returns {
                    self.ledger.record_return(&token_return);
                }
            }
            Command::CloseRouter { router, end } => {
                for charge in self.ledger.close(&router, &end) {
                    log_charge(&router, &end, &charge);
                }
            }
            Command::RecordContact { router, contact, consumed } => {
                self.ledger.record_contact(&router, contact, &consumed);
            }
            Command::RecordContacts(contacts) => {
                for RouterContact { router, contact, consumed } in contacts {
                    self.ledger.record_contact(&router, contact, &consumed);
                }
            }
            Command::Quarantine(change) => return self.change_quarantine(change),
            Command::Departures(change) => {
                if self.departures.apply(change) {
                    return ApplyOutcome::DeparturesChanged;
                }
            }
            Command::Evacuate(order) => {
                if self.evacuations.apply(order) {
                    return ApplyOutcome::EvacuationsChanged;
                }
            }
        }
        ApplyOutcome::Done
    }

    fn put(&mut self, document: Document, limits: &[(TenantName, Tokens)]) -> ApplyOutcome {
        if self.document.is_some() && document.version <= self.document_version() {
            return ApplyOutcome::DocumentSuperseded;
        }
        self.document = Some(document);
        self.ledger.set_limits(limits);
        ApplyOutcome::DocumentAccepted
    }

    fn change_quarantine(&mut self, change: QuarantineChange) -> ApplyOutcome {
        let before = self.quarantine.notice();
        self.quarantine.apply(change);
        let after = self.quarantine.notice();
        for request in after.quarantined.difference(&before.quarantined) {
            let engines = self.quarantine.suspect(request).into_iter().flat_map(Suspect::engines);
            let engines: Vec<&str> = engines.map(BackEndName::as_str).collect();
            let (fingerprint, engines) = (request.to_string(), engines.join(","));
            log::warn!(
                fingerprint = fingerprint.as_str(),
                engines = engines.as_str();
                "request quarantined"
            );
        }
        for request in before.quarantined.difference(&after.quarantined) {
            log::info!(fingerprint = request.to_string().as_str(); "request let in again");
        }
        if after.has_same_requests(&before) {
            ApplyOutcome::Done
        } else {
            ApplyOutcome::QuarantineChanged
        }
    }

    /// Encodes the state.
    pub fn to_snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state can be encoded")
    }

    /// Decodes a state written by this version or an earlier one.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let newest = postcard::from_bytes(bytes);
        newest.or_else(|error| Self::from_earlier_version(bytes).map_err(|_| error))
    }

    fn from_earlier_version(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if let Ok(state) = postcard::from_bytes::<StateWithoutEvacuations>(bytes) {
            let StateWithoutEvacuations { document, ledger, quarantine, departures } = state;
            return Ok(Self { document, ledger, quarantine, departures, ..Self::default() });
        }
        if let Ok(state) = postcard::from_bytes::<StateWithoutDepartures>(bytes) {
            let StateWithoutDepartures { document, ledger, quarantine } = state;
            return Ok(Self { document, ledger, quarantine, ..Self::default() });
        }
        let StateWithoutQuarantine { document, ledger } = postcard::from_bytes(bytes)?;
        Ok(Self { document, ledger, ..Self::default() })
    }
}

fn log_charge(router: &NodeId, end: &IncarnationEnd, charge: &Charge) {
    let end = match end {
        IncarnationEnd::Reported(_) => "told",
        IncarnationEnd::EndedBefore(_) => "bounded",
        IncarnationEnd::Unknown => "unknown",
    };
    log::info!(
        router = router.to_string().as_str(),
        tenant = charge.tenant.as_str(),
        end = end,
        outstanding = charge.outstanding.0,
        charge = charge.charge.0;
        "router life charged"
    );
}
