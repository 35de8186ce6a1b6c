//! Actions of operators: sending edits and resending them until they are settled.

use crate::caller_actions::CALLER_DELAY_MS;
use crate::operators::{EditRecord, PlannedEdit};
use crate::step::Step;
use crate::world::{Action, World};
use stackpost_control_core::*;
use stackpost_protocol::Peer;
use stackpost_table::{BackEndState, Edit, EditId, Row, RowKey};
use stackpost_types::*;

/// Interval at which an edit is resent until its outcome is known.
const EDIT_RESEND_INTERVAL_MS: u64 = 300;

impl World {
    pub(crate) fn plan_edit(&mut self, planned: PlannedEdit) -> usize {
        let index = self.edits.len();
        let edit = Edit {
            id: EditId(format!("edit-{index}")),
            operator: OperatorName::new("operator"),
            origin: "127.0.0.1:1".into(),
            received_at: self.wall(),
            key: planned.key,
            based_on: planned.based_on.unwrap_or(Version(u64::MAX)),
            row: planned.row,
        };
        let names: Vec<&MachineName> = self.replicas.keys().collect();
        let first =
            planned.first_replica.and_then(|wanted| names.iter().position(|name| **name == wanted));
        self.edits.push(EditRecord {
            edit,
            replies: Vec::new(),
            sent_at: self.now,
            next_replica: first.unwrap_or_default(),
            settled: false,
        });
        // Edits are sent one after the other in the order of planning, since rows refer to earlier
        // rows.
        self.next_edit_at = (self.next_edit_at + 1).max(self.now);
        self.schedule(self.next_edit_at - self.now, Action::SendEdit(index));
        index
    }

    /// Edits the row `key`: the operator reads its version at the leader and sends the new row.
    pub fn edit(&mut self, key: RowKey, row: Option<Row>) -> usize {
        let first_replica = self.leader();
        self.plan_edit(PlannedEdit { key, row, based_on: None, first_replica })
    }

    /// Resends an edit under the same id, even if its outcome is known.
    pub fn resend_edit(&mut self, index: usize) {
        self.edits[index].settled = false;
        self.schedule(1, Action::SendEdit(index));
    }

    pub(crate) fn send_edit(&mut self, index: usize) {
        if self.edits[index].settled {
            return;
        }
        let names: Vec<MachineName> = self.replicas.keys().cloned().collect();
        let replica = names[self.edits[index].next_replica % names.len()].clone();
        self.schedule(CALLER_DELAY_MS, Action::ReceiveEdit { replica, index });
        // Covers lost edits and lost replies.
        self.schedule(EDIT_RESEND_INTERVAL_MS, Action::SendEdit(index));
    }

    pub(crate) fn receive_edit(&mut self, machine: &MachineName, index: usize) {
        let Some(replica) = self.replicas.get(machine).and_then(|process| process.replica.as_ref())
        else {
            self.edits[index].next_replica += 1;
            return;
        };
        let record = &mut self.edits[index];
        if record.edit.based_on == Version(u64::MAX) {
            let stored = replica.state().table().get_versioned(&record.edit.key);
            let current = stored.filter(|stored| stored.row.is_some());
            record.edit.based_on = current.map(|stored| stored.version).unwrap_or_default();
        }
        let edit = record.edit.clone();
        let peer = Peer::Control(machine.clone());
        self.observe_step(Step::EditProposed, &peer);
        let token = EditToken(index as u64);
        self.replica_event(machine, ControlEvent::Edit { token, edit });
    }

    pub(crate) fn receive_edit_reply(&mut self, token: EditToken, reply: EditReply) {
        let now = self.now;
        let names: Vec<MachineName> = self.replicas.keys().cloned().collect();
        let record = &mut self.edits[token.0 as usize];
        match &reply {
            EditReply::Outcome(outcome) => {
                record.settled = true;
                let text = format!("{}: {outcome:?}", record.edit.key);
                self.history.note(now, "operator", text);
            }
            EditReply::NotLeader { leader } => {
                let known = names.iter().position(|name| Some(name) == leader.as_ref());
                record.next_replica = known.unwrap_or(record.next_replica + 1);
            }
            EditReply::Unconfirmed => record.next_replica += 1,
        }
        record.replies.push((now, reply));
    }

    /// Edits the state of a back end in the table.
    pub fn edit_back_end_state(&mut self, name: &BackEndName, state: BackEndState) {
        let rows = self.shape.rows();
        let key = RowKey::BackEnd(name.clone());
        let row = rows.into_iter().find(|(row_key, _)| *row_key == key);
        if let Some((key, Row::BackEnd(mut row))) = row {
            row.state = state;
            self.edit(key, Some(Row::BackEnd(row)));
        }
    }
}
