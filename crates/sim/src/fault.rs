//! Faults, and the triggers that inject a fault at a step.

use crate::engines::CrashPoint;
use crate::network::Cut;
use crate::operators::PlannedEdit;
use crate::process::ProcessId;
use crate::step::Step;
use crate::world::{Action, World};
use rand::Rng;
use stackpost_router_core::Event;
use stackpost_table::{BudgetRow, Row, RowKey};
use stackpost_types::*;

/// Duration of a partition, a freeze or a bad network.
const FAULT_DURATION_MS: u64 = 12_000;
/// Time between the end of a killed process and its restart.
const RESTART_DELAY_MS: u64 = 4_000;
/// Bytes of an unsynced write that reach the disk on power loss: a torn write.
const TORN_BYTES: usize = 7;
/// Edits sent before the restart of [`Fault::RestartAfterManyEdits`].
const EDITS_BEFORE_RESTART: usize = 520;

/// A fault that the simulation can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs)]
pub enum Fault {
    RouterKilled,
    LeaderKilled,
    SecondMachineLostAfterRepair,
    ZoneLost,
    DiskLost,
    LogTorn,
    ZoneCutOff,
    RegionsCutOff,
    LeaderCutOffSilently,
    OneWayCut,
    RouterFrozen,
    LeaderFrozen,
    BadNetwork,
    RacingEdits,
    ResentEdit,
    EngineDiesBefore,
    EngineDiesDuring,
    EngineDiesAfter,
    EngineLeaves,
    PlannedStop,
    RestartAfterManyEdits,
    ClockJump,
    LaggingMachineList,
}

impl Fault {
    /// Every fault, in the order of the rows of the fault matrix.
    pub const ALL: [Self; 23] = [
        Self::RouterKilled,
        Self::LeaderKilled,
        Self::SecondMachineLostAfterRepair,
        Self::ZoneLost,
        Self::DiskLost,
        Self::LogTorn,
        Self::ZoneCutOff,
        Self::RegionsCutOff,
        Self::LeaderCutOffSilently,
        Self::OneWayCut,
        Self::RouterFrozen,
        Self::LeaderFrozen,
        Self::BadNetwork,
        Self::RacingEdits,
        Self::ResentEdit,
        Self::EngineDiesBefore,
        Self::EngineDiesDuring,
        Self::EngineDiesAfter,
        Self::EngineLeaves,
        Self::PlannedStop,
        Self::RestartAfterManyEdits,
        Self::ClockJump,
        Self::LaggingMachineList,
    ];

    /// Whether it can destroy both copies of an account at once, and with them bills that are not
    /// yet archived.
    pub fn may_lose_both_copies(self) -> bool {
        matches!(self, Self::ZoneLost | Self::SecondMachineLostAfterRepair)
    }
}

/// Injects a fault when a step has been taken a given number of times.
#[derive(Clone, Debug)]
pub(crate) struct StepTrigger {
    pub fault: Fault,
    pub step: Step,
    /// Occurrences of the step until the fault is injected.
    pub remaining: u32,
    pub injected_at: Option<u64>,
}

impl World {
    /// Injects a fault: at the process `at`, or at a random machine if `at` is `None` or names no
    /// machine with a router.
    pub(crate) fn inject(&mut self, fault: Fault, at: Option<ProcessId>) {
        self.history.note(self.now, "fault", format!("{fault:?}"));
        let machine = self.faulted_machine(&at);
        match fault {
            Fault::RouterKilled => self.kill_and_restart_router(&machine, RESTART_DELAY_MS),
            Fault::LeaderKilled => {
                if let Some(leader) = self.leader() {
                    self.kill_replica(&leader, Some(0));
                    self.schedule(RESTART_DELAY_MS, Action::Start(ProcessId::Replica(leader)));
                }
            }
            Fault::SecondMachineLostAfterRepair => self.lose_second_machine(&machine),
            Fault::ZoneLost => self.lose_zone(&machine),
            Fault::DiskLost => self.lose_disk(&machine),
            Fault::LogTorn => {
                let replica = self.nearest_replica(&machine);
                self.kill_replica(&replica, Some(TORN_BYTES));
                self.schedule(500, Action::Start(ProcessId::Replica(replica)));
            }
            Fault::ZoneCutOff => {
                let zone = self.zone_of(&machine);
                self.partition_temporarily(Cut::Zone(zone));
            }
            Fault::RegionsCutOff => {
                let half = self.shape.zones.len() / 2;
                let zones = self.shape.zones.iter().take(half).map(ZoneName::new).collect();
                self.partition_temporarily(Cut::Region(zones));
            }
            Fault::LeaderCutOffSilently => {
                if let Some(leader) = self.leader() {
                    self.partition_temporarily(Cut::Replica(leader));
                }
            }
            Fault::OneWayCut => {
                let zone = self.zone_of(&machine);
                self.partition_temporarily(Cut::IntoZone(zone));
            }
            Fault::RouterFrozen => self.freeze_temporarily(ProcessId::Router(machine)),
            Fault::LeaderFrozen => {
                if let Some(leader) = self.leader() {
                    self.freeze_temporarily(ProcessId::Replica(leader));
                }
            }
            Fault::BadNetwork => {
                self.network.drop_permille = 60;
                self.network.duplicate_permille = 100;
                self.network.late_permille = 100;
                self.schedule(FAULT_DURATION_MS, Action::Heal);
            }
            Fault::RacingEdits => self.race_edits(),
            Fault::ResentEdit => {
                let last = self.edits.len() - 1;
                self.resend_edit(last);
            }
            Fault::EngineDiesBefore => self.plan_engine_crashes(CrashPoint::Before),
            Fault::EngineDiesDuring => self.plan_engine_crashes(CrashPoint::During),
            Fault::EngineDiesAfter => self.plan_engine_crashes(CrashPoint::After),
            Fault::EngineLeaves => {
                let name = self.random_engine();
                self.back_end_leaves(&name);
            }
            Fault::PlannedStop => self.drain_router(&machine),
            Fault::RestartAfterManyEdits => self.restart_after_many_edits(&machine),
            Fault::ClockJump => self.wall_jump = 86_400_000,
            Fault::LaggingMachineList => {
                self.platform_extra_lag = 500;
                let name = self.random_engine();
                self.back_end_leaves(&name);
            }
        }
    }

    /// The machine of `at` if it has a router, otherwise a random machine with a router.
    fn faulted_machine(&mut self, at: &Option<ProcessId>) -> MachineName {
        let requested = at.as_ref().map(|process| process.machine().clone());
        let names: Vec<MachineName> = self.routers.keys().cloned().collect();
        match requested.filter(|name| names.contains(name)) {
            Some(name) => name,
            None => names[self.rng.random_range(0..names.len())].clone(),
        }
    }

    fn zone_of(&self, machine: &MachineName) -> ZoneName {
        self.routers[machine].zone.clone()
    }

    fn neighbours(&self, machine: &MachineName) -> Vec<MachineName> {
        let zone = self.zone_of(machine);
        let others =
            self.routers.iter().filter(|(name, process)| *name != machine && process.zone == zone);
        others.map(|(name, _)| name.clone()).collect()
    }

    fn nearest_replica(&self, machine: &MachineName) -> MachineName {
        let zone = self.zone_of(machine);
        let in_zone = self.replicas.iter().find(|(_, process)| process.zone == zone);
        let any = self.replicas.iter().next();
        in_zone
            .or(any)
            .map(|(name, _)| name.clone())
            .expect("the fleet has at least one control replica")
    }

    fn kill_and_restart_router(&mut self, machine: &MachineName, after: u64) {
        self.kill_router(machine, false);
        self.schedule(after, Action::Start(ProcessId::Router(machine.clone())));
    }

    /// Kills the machine's router and, 2.6 s later, the other routers of its zone: one of them has
    /// taken over the account by then.
    fn lose_second_machine(&mut self, machine: &MachineName) {
        self.kill_and_restart_router(machine, 20_000);
        for neighbour in self.neighbours(machine) {
            let at = Some(ProcessId::Router(neighbour));
            self.schedule(2_600, Action::Inject { fault: Fault::RouterKilled, at });
        }
    }

    fn lose_zone(&mut self, machine: &MachineName) {
        let zone = self.zone_of(machine);
        let routers: Vec<MachineName> = self
            .routers
            .iter()
            .filter(|(_, process)| process.zone == zone)
            .map(|(name, _)| name.clone())
            .collect();
        for name in routers {
            self.kill_and_restart_router(&name, RESTART_DELAY_MS);
        }
        let replicas: Vec<MachineName> = self
            .replicas
            .iter()
            .filter(|(_, process)| process.zone == zone)
            .map(|(name, _)| name.clone())
            .collect();
        for name in replicas {
            self.kill_replica(&name, Some(0));
            self.schedule(RESTART_DELAY_MS, Action::Start(ProcessId::Replica(name)));
        }
    }

    fn lose_disk(&mut self, machine: &MachineName) {
        let replica = self.nearest_replica(machine);
        self.kill_replica(&replica, Some(0));
        if let Some(process) = self.replicas.get_mut(&replica) {
            process.disk.erase();
            process.bill_disk.erase();
            process.newest_version = Version(0);
        }
        self.schedule(1_000, Action::Start(ProcessId::Replica(replica)));
    }

    fn partition_temporarily(&mut self, partition: Cut) {
        self.cut(partition);
        self.schedule(FAULT_DURATION_MS, Action::Heal);
    }

    fn freeze_temporarily(&mut self, process: ProcessId) {
        self.freeze(&process);
        self.schedule(FAULT_DURATION_MS, Action::Thaw(process));
    }

    /// Two operators concurrently edit the same row, based on the same version, at two replicas.
    fn race_edits(&mut self) {
        let key = RowKey::Budget(BudgetName::new("tenant-0"));
        let version = self.live_replicas().next().and_then(|(_, replica)| {
            replica.state().table().get_versioned(&key).map(|row| row.version)
        });
        let Some(version) = version else { return };
        let replicas: Vec<MachineName> = self.replicas.keys().cloned().collect();
        for (index, replica) in replicas.into_iter().take(2).enumerate() {
            let limit = Tokens(70_000 + index as u64);
            self.plan_edit(PlannedEdit {
                key: key.clone(),
                row: Some(Row::Budget(BudgetRow { limit })),
                based_on: Some(version),
                first_replica: Some(replica),
            });
        }
    }

    fn random_engine(&mut self) -> BackEndName {
        let names: Vec<BackEndName> = self
            .engines
            .back_ends
            .keys()
            .filter(|name| name.as_str().contains("engine"))
            .cloned()
            .collect();
        names[self.rng.random_range(0..names.len())].clone()
    }

    /// Makes up to two engines and one plain server crash at the next request that each receives.
    fn plan_engine_crashes(&mut self, point: CrashPoint) {
        for _ in 0..2 {
            let name = self.random_engine();
            if let Some(back_end) = self.engines.back_ends.get_mut(&name) {
                back_end.crashes_at = Some(point);
            }
        }
        let plain: Vec<BackEndName> = self
            .engines
            .back_ends
            .keys()
            .filter(|name| !name.as_str().contains("engine"))
            .cloned()
            .collect();
        let chosen = plain[self.rng.random_range(0..plain.len())].clone();
        if let Some(back_end) = self.engines.back_ends.get_mut(&chosen) {
            back_end.crashes_at = Some(point);
        }
    }

    fn drain_router(&mut self, machine: &MachineName) {
        let now = self.now;
        self.history.note(now, format!("router {machine}"), "receives the drain signal");
        let Some(process) = self.routers.get_mut(machine) else { return };
        process.draining = true;
        let clock = process.clock(now);
        if let Some(router) = &mut process.router {
            let wall = WallTime(now);
            let effects = router.handle(clock, wall, Event::Drain);
            let node = process.node(machine);
            for effect in effects {
                if effect == stackpost_router_core::Effect::Drained {
                    self.kill_router(&node.machine, true);
                }
            }
        }
        self.schedule(15_000, Action::Start(ProcessId::Router(machine.clone())));
    }

    /// Sends [`EDITS_BEFORE_RESTART`] edits, then restarts every control replica and one router.
    fn restart_after_many_edits(&mut self, machine: &MachineName) {
        for number in 0..EDITS_BEFORE_RESTART {
            let limit = Tokens(30_000 + number as u64);
            let key = RowKey::Budget(BudgetName::new(format!("extra-{}", number % 40)));
            let row = Some(Row::Budget(BudgetRow { limit }));
            self.plan_edit(PlannedEdit { key, row, based_on: None, first_replica: None });
        }
        let replicas: Vec<MachineName> = self.replicas.keys().cloned().collect();
        for (index, replica) in replicas.into_iter().enumerate() {
            // They lose power one after the other, but are all down at the same time for a while.
            self.schedule(3_000 + 20 * index as u64, Action::PowerLoss(replica));
        }
        self.schedule(
            3_100,
            Action::Inject {
                fault: Fault::RouterKilled,
                at: Some(ProcessId::Router(machine.clone())),
            },
        );
    }
}
