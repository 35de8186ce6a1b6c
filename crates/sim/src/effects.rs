//! Applies the effects that the state machines of the processes return.

use crate::back_ends::is_engine;
use crate::callers::AttemptEnd;
use crate::process::ProcessId;
use crate::step::Step;
use crate::world::{Action, World};
use stackpost_control_core::ControlEffect;
use stackpost_protocol::{Message, Peer};
use stackpost_router_core::*;
use stackpost_types::*;

impl World {
    pub(crate) fn apply_effect(&mut self, node: &NodeId, effect: Effect) {
        let sender = Peer::Router(node.clone());
        if let Some(step) = Step::of_effect(&effect) {
            self.observe_step(step, &sender);
        }
        match effect {
            Effect::Send { to, message } => self.transmit(sender, to, message),
            Effect::Dispatch(dispatch) => {
                self.history.note(
                    self.now,
                    node,
                    format!(
                        "sends {} (attempt {}) to {}",
                        dispatch.request, dispatch.number, dispatch.back_end
                    ),
                );
                let action = Action::Attempt { node: node.clone(), dispatch: Box::new(dispatch) };
                self.schedule(1, action);
            }
            Effect::Cancel { call, number } => self.cancel(node, call, number),
            Effect::StartResponse(_) => {}
            Effect::Dropped(call) => {
                self.end_attempt(&(node.clone(), call), AttemptEnd::Disconnected)
            }
            Effect::Finish { call, billed } => {
                self.history.note(self.now, node, format!("finishes {}: {billed}", call.0));
                let key = (node.clone(), call);
                if let Some(caller) = self.callers.open.get(&key).copied() {
                    self.end_attempt(&key, AttemptEnd::Answered { content: caller });
                }
            }
            Effect::Replay { call, answer } => self.replay(node, call, &answer),
            Effect::Refuse { call, refusal } => {
                self.history.note(
                    self.now,
                    node,
                    format!(
                        "refuses {}: {} ({})",
                        call.0,
                        refusal.reason,
                        refusal.outcome.as_str()
                    ),
                );
                self.end_attempt(&(node.clone(), call), AttemptEnd::Refused(refusal));
            }
            Effect::QueryUsage { account, request, back_end, .. } => {
                if !is_engine(&back_end) {
                    let violation =
                        format!("{node}: queried the usage of plain service {back_end}");
                    self.immediate_violations.push(violation);
                }
                self.query_usage(node, account, request, &back_end);
            }
            Effect::Fenced => self.fence(node),
            Effect::Drained => self.kill_router(&node.machine, true),
            Effect::Warn(text) => self.history.note(self.now, node, text),
        }
    }

    pub(crate) fn fence(&mut self, node: &NodeId) {
        self.history.note(self.now, node, "was fenced: continues as a new incarnation");
        self.engines_lose_router(node);
        let now = self.now;
        let control: Vec<MachineName> = self.replicas.keys().cloned().collect();
        let defects = self.defect.router;
        let Some(process) = self.routers.get_mut(&node.machine) else { return };
        let Some(ended) = process.router.take() else { return };
        process.incarnation += 1;
        let config = process.config(&node.machine, control, defects);
        process.router = Some(ended.next_incarnation(config, process.clock(now)));
        self.begin_incarnation(&node.machine);
    }

    pub(crate) fn apply_control_effect(&mut self, machine: &MachineName, effect: ControlEffect) {
        match effect {
            ControlEffect::Send { to, message } => {
                self.transmit(Peer::Control(machine.clone()), to, message);
            }
            ControlEffect::EditReply { token, reply } => self.receive_edit_reply(token, reply),
            ControlEffect::Order { .. } => {}
            ControlEffect::Warn(text) => {
                self.history.note(self.now, format!("control {machine}"), text);
            }
        }
    }

    pub(crate) fn transmit(&mut self, from: Peer, to: Peer, message: Message) {
        for step in Step::of_message(&message) {
            self.observe_step(step, &from);
        }
        if self.peer_has_ended(&from) {
            return;
        }
        if let Some(traffic) = &mut self.traffic {
            let bytes = postcard::to_stdvec(&message).map_or(0, |encoded| encoded.len());
            traffic.count(&from, &to, bytes as u64);
        }
        for delay in self.network.delays(&mut self.rng, &from, &to) {
            let message = Box::new(message.clone());
            self.schedule(delay, Action::Deliver { from: from.clone(), to: to.clone(), message });
        }
    }

    /// Whether a process has ended, or this incarnation of it. A fault injected at the sending of a
    /// message thus also loses the message.
    pub(crate) fn peer_has_ended(&self, peer: &Peer) -> bool {
        match peer {
            Peer::Router(node) => self.routers.get(&node.machine).is_none_or(|process| {
                !process.is_running() || process.node(&node.machine) != *node
            }),
            Peer::Control(machine) => {
                self.replicas.get(machine).is_none_or(|process| process.replica.is_none())
            }
        }
    }

    /// Records that a process takes a step, and injects the fault that waits for this step.
    pub(crate) fn observe_step(&mut self, step: Step, at: &Peer) {
        let now = self.now;
        let Some(step_trigger) = &mut self.step_trigger else { return };
        if step_trigger.step != step || step_trigger.injected_at.is_some() {
            return;
        }
        step_trigger.remaining = step_trigger.remaining.saturating_sub(1);
        if step_trigger.remaining == 0 {
            step_trigger.injected_at = Some(now);
            let fault = step_trigger.fault;
            self.inject(fault, Some(ProcessId::of(at)));
        }
    }
}
