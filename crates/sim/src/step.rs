//! Steps of a request, a budget transfer, an edit and a change of backups or leaders, at which a
//! fault can be injected.

use stackpost_ledger::{MirrorMessage, Record};
use stackpost_protocol::Message;
use stackpost_router_core::Effect;

/// A step at which a fault can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs)]
pub enum Step {
    // Of a request.
    KeyAsked,
    KeyGranted,
    IntentMirrored,
    Dispatched,
    FirstBytes,
    Answered,
    BillMirrored,
    Finished,
    BillsSent,
    BillsStored,
    AnswerFetched,
    // Of a budget transfer.
    RightsAsked,
    RightsSent,
    TransferOnTheWay,
    TransferAcknowledged,
    // Of an edit.
    EditProposed,
    EntriesOnTheWay,
    EntriesAcknowledged,
    ConfigurationPushed,
    // Of a change of backups or leaders.
    BaseCopied,
    BackupRequested,
    VoteAsked,
    VoteGiven,
}

impl Step {
    /// Every step, in the order of the columns of the fault matrix.
    pub const ALL: [Self; 23] = [
        Self::KeyAsked,
        Self::KeyGranted,
        Self::IntentMirrored,
        Self::Dispatched,
        Self::FirstBytes,
        Self::Answered,
        Self::BillMirrored,
        Self::Finished,
        Self::BillsSent,
        Self::BillsStored,
        Self::AnswerFetched,
        Self::RightsAsked,
        Self::RightsSent,
        Self::TransferOnTheWay,
        Self::TransferAcknowledged,
        Self::EditProposed,
        Self::EntriesOnTheWay,
        Self::EntriesAcknowledged,
        Self::ConfigurationPushed,
        Self::BaseCopied,
        Self::BackupRequested,
        Self::VoteAsked,
        Self::VoteGiven,
    ];

    /// The steps that sending a message between processes represents.
    pub fn of_message(message: &Message) -> Vec<Self> {
        use stackpost_consensus::Message as Raft;
        match message {
            Message::ClaimKey(_) => vec![Self::KeyAsked],
            Message::ClaimReply(_) => vec![Self::KeyGranted],
            Message::FetchAnswer(_) => vec![Self::AnswerFetched],
            Message::Mirror(MirrorMessage::Snapshot { .. }) => vec![Self::BaseCopied],
            Message::Mirror(MirrorMessage::Batch { records, .. }) => of_records(records),
            Message::Pull(_) => vec![Self::RightsAsked],
            Message::Transfer(_) => vec![Self::TransferOnTheWay],
            Message::TransferAck(_) => vec![Self::TransferAcknowledged],
            Message::Bills { .. } => vec![Self::BillsSent],
            Message::BillsStored { .. } => vec![Self::BillsStored],
            Message::ChangeBackup { .. } => vec![Self::BackupRequested],
            Message::Configuration { .. } => vec![Self::ConfigurationPushed],
            Message::Raft(envelope) => match &envelope.message {
                Raft::Append { entries, .. } if !entries.is_empty() => {
                    vec![Self::EntriesOnTheWay]
                }
                Raft::AppendReply { accepted: true, .. } => vec![Self::EntriesAcknowledged],
                Raft::Vote { .. } => vec![Self::VoteAsked],
                Raft::VoteReply { granted: true, .. } => vec![Self::VoteGiven],
                _ => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// The step that an effect of a router, other than sending a message, represents.
    pub fn of_effect(effect: &Effect) -> Option<Self> {
        match effect {
            Effect::Dispatch(_) => Some(Self::Dispatched),
            Effect::StartResponse(_) => Some(Self::FirstBytes),
            Effect::Finish { .. } => Some(Self::Finished),
            _ => None,
        }
    }
}

fn of_records(records: &[Record]) -> Vec<Step> {
    let mut steps: Vec<Step> = records
        .iter()
        .filter_map(|record| match record {
            Record::Intent { .. } => Some(Step::IntentMirrored),
            Record::Settle { .. } => Some(Step::BillMirrored),
            Record::Sent { .. } => Some(Step::RightsSent),
            _ => None,
        })
        .collect();
    steps.dedup();
    steps
}
