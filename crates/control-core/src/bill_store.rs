//! Durable storage of the bills of all routers on this replica's disk.

use serde::{Deserialize, Serialize};
use stackpost_ledger::Bill;
use stackpost_storage::{Disk, RecordLog, StoreError};
use stackpost_types::{AccountId, BudgetName, Tokens};
use std::collections::BTreeMap;

/// Name of the record log that holds the bills.
const BILL_FILE: &str = "bills";

#[derive(Serialize, Deserialize)]
struct StoredBills {
    account: AccountId,
    bills: Vec<Bill>,
}

/// Stored bills, by account and in the order in which they were settled.
#[derive(Debug)]
pub struct BillStore<D> {
    log: RecordLog<D>,
    last_sequences: BTreeMap<AccountId, u64>,
    spent: BTreeMap<BudgetName, Tokens>,
    unsynced: BTreeMap<AccountId, u64>,
}

impl<D: Disk> BillStore<D> {
    /// Opens the store and reads the last sequence number of each account and the spent tokens of
    /// each budget from the log.
    pub fn open(disk: D) -> Result<Self, StoreError> {
        let (log, records) = RecordLog::open(disk, BILL_FILE)?;
        let mut store = Self {
            log,
            last_sequences: BTreeMap::new(),
            spent: BTreeMap::new(),
            unsynced: BTreeMap::new(),
        };
        for record in records {
            if let Ok(stored) = postcard::from_bytes::<StoredBills>(&record) {
                store.record_totals(&stored);
            }
        }
        Ok(store)
    }

    /// Appends the bills that are not stored yet. They are durable after [`Self::sync`].
    ///
    /// Bills up to `archived` are stored by a majority of the other replicas and are not resent, so
    /// a gap up to that sequence number is accepted. Bills after any other gap are ignored, since
    /// the sender resends everything from the gap on.
    pub fn add(
        &mut self,
        account: &AccountId,
        archived: u64,
        bills: &[Bill],
    ) -> Result<(), StoreError> {
        let mut last = self.last_sequences.get(account).copied().unwrap_or_default().max(archived);
        let mut new_bills = Vec::new();
        for bill in bills {
            if bill.sequence == last + 1 {
                last = bill.sequence;
                new_bills.push(bill.clone());
            }
        }
        if !new_bills.is_empty() {
            let stored = StoredBills { account: account.clone(), bills: new_bills };
            let record = postcard::to_stdvec(&stored).expect("bills can be encoded");
            self.log.append(&record)?;
            self.record_totals(&stored);
        }
        self.unsynced.insert(account.clone(), last);
        Ok(())
    }

    /// Syncs the appended bills to disk. Returns the sequence number of the last durable bill of
    /// each account that has sent bills since the last call.
    pub fn sync(&mut self) -> Result<Vec<(AccountId, u64)>, StoreError> {
        if self.unsynced.is_empty() {
            return Ok(Vec::new());
        }
        self.log.sync()?;
        Ok(std::mem::take(&mut self.unsynced).into_iter().collect())
    }

    /// Reads every bill stored on this replica, with the account that settled it.
    pub fn read_all(&self) -> Result<Vec<(AccountId, Bill)>, StoreError> {
        let mut all = Vec::new();
        for record in self.log.read_all()? {
            if let Ok(stored) = postcard::from_bytes::<StoredBills>(&record) {
                let account = stored.account;
                all.extend(stored.bills.into_iter().map(|bill| (account.clone(), bill)));
            }
        }
        Ok(all)
    }

    /// Sum of the bills stored on this replica, by budget.
    pub fn spent(&self) -> &BTreeMap<BudgetName, Tokens> {
        &self.spent
    }

    fn record_totals(&mut self, stored: &StoredBills) {
        for bill in &stored.bills {
            *self.spent.entry(bill.budget.clone()).or_default() += bill.tokens;
            let last = self.last_sequences.entry(stored.account.clone()).or_default();
            *last = bill.sequence.max(*last);
        }
    }
}
