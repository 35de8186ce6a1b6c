//! Journals of the back ends and bills of the control replicas.

use crate::fleet::Fleet;
use serde::Deserialize;
use stackpost_control::views::BillView;
use std::collections::BTreeMap;

/// A line of the journal of a stand-in back end.
#[derive(Clone, Debug, Deserialize)]
pub struct JournalEntry {
    /// Kind of the event.
    pub event: String,
    /// Id of the request, or the fencing token of the order.
    pub subject: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// A bill that a control replica has stored.
#[derive(Clone, Debug)]
pub struct StoredBill {
    /// Id of the request.
    pub request: String,
    /// The budget.
    pub budget: String,
    /// The billed tokens.
    pub tokens: u64,
}

impl Fleet {
    /// Every journal line of all back ends.
    pub fn journal(&self) -> Vec<JournalEntry> {
        let mut entries = Vec::new();
        for entry in
            std::fs::read_dir(self.folder()).expect("the fleet's folder can be read").flatten()
        {
            let name = entry.file_name().to_string_lossy().into_owned();
            if name.starts_with("journal-") {
                let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
                entries.extend(text.lines().filter_map(|line| serde_json::from_str(line).ok()));
            }
        }
        entries
    }

    /// Journal lines of one request.
    pub fn journal_of(&self, request: &str) -> Vec<JournalEntry> {
        self.journal().into_iter().filter(|entry| entry.subject == request).collect()
    }

    /// Every bill that some running replica has stored, without duplicates.
    pub async fn bills(&self) -> Vec<StoredBill> {
        let mut unique = BTreeMap::new();
        for address in self.control_admins() {
            let views: Vec<BillView> = self.get(address, "/v1/bills").await.unwrap_or_default();
            for view in views {
                unique.insert((view.account.clone(), view.bill.sequence), view.bill);
            }
        }
        unique
            .into_values()
            .map(|bill| StoredBill {
                request: bill.request.to_string(),
                budget: bill.budget.to_string(),
                tokens: bill.tokens.0,
            })
            .collect()
    }

    /// Bills of one request.
    pub async fn bills_of(&self, request: &str) -> Vec<StoredBill> {
        self.bills().await.into_iter().filter(|bill| bill.request == request).collect()
    }
}
