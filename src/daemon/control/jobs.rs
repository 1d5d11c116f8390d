//! The cells of the worker partitions that this entry owns.
//!
//! The partition of a job is a hash of its id and that of a worker a hash of its rack, so every
//! entry determines the same cell without communication.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::lease_manager::{LeaseManager, place_of};
use super::worker_io::{Receiver, Sender};
use crate::core::config;
use crate::core::id::{Attempt, Job, Partition, Rack, Worker};
use crate::core::lease::Acquired;
use crate::core::placement::{self, Cell, Input, Output, Quota, Record, Recovery, Settings};
use crate::core::time::Instant;
use crate::daemon::Context;
use crate::platform::client::Failure;
use crate::platform::vms::{self, List, Role};
use crate::platform::worker::{Control, Inventory, Renew};

/// A submitted job whose record is not durable yet.
#[derive(Clone, Debug)]
struct Accepting {
    partition: Partition,
    job: placement::Job,
}

/// The cells of this entry.
pub(super) struct Jobs {
    context: Context,
    sender: Sender,
    settings: Settings,
    cells: BTreeMap<Partition, Cell>,
    accepting: HashMap<Job, Accepting>,
    /// The workers in the VM list.
    workers: BTreeMap<Worker, Listed>,
}

/// A worker in the VM list.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Listed {
    worker: placement::Worker,
    partition: Partition,
    address: SocketAddr,
    is_leaving: bool,
}

/// The outputs of cells that are not messages to workers, by partition.
type PartitionOutputs = Vec<(Partition, Vec<Output>)>;

impl Jobs {
    /// Creates an empty set of cells.
    pub(super) fn new(context: &Context) -> Jobs {
        Jobs {
            sender: Sender::new(context),
            settings: Settings::default(),
            cells: BTreeMap::new(),
            accepting: HashMap::new(),
            workers: BTreeMap::new(),
            context: context.clone(),
        }
    }

    /// Returns whether a partition is a worker partition.
    pub(super) fn is_worker_partition(&self, partition: Partition) -> bool {
        partition.0 >= self.context.settings.cell.request_partitions
    }

    /// Returns the partition of a job.
    pub(super) fn partition_of(&self, job: Job) -> Partition {
        self.partition(xxh3_64(job.0.as_bytes()))
    }

    /// Returns the partition of the workers in a rack.
    fn partition_of_rack(&self, rack: Rack) -> Partition {
        self.partition(xxh3_64(&rack.0.to_le_bytes()))
    }

    /// Maps a hash to a worker partition.
    fn partition(&self, hash: u64) -> Partition {
        let cell = &self.context.settings.cell;
        Partition(cell.request_partitions + (hash % u64::from(cell.worker_partitions)) as u16)
    }

    /// Returns the cell of a partition, if it is owned and open.
    pub(super) fn cell(&self, partition: Partition) -> Option<&Cell> {
        self.cells.get(&partition)
    }

    /// Creates the cell of a partition that this entry acquired, from its records.
    pub(super) fn open(
        &mut self,
        now: Instant,
        acquired: &Acquired,
        until: Instant,
        records: Vec<Record>,
    ) -> Vec<Output> {
        let mut recovery = Recovery::new(now, until, self.settings.clone());
        recovery.unrecorded = acquired.may_have_unlogged;
        let mut cell = Cell::recover(recovery, records);
        let mut out = Vec::new();
        let workers = self
            .workers
            .values()
            .filter(|listed| listed.partition == acquired.partition);
        for listed in workers {
            cell.step(now, Input::Joined(listed.worker), &mut out);
            if listed.is_leaving {
                cell.step(now, Input::Leaving(listed.worker.id), &mut out);
            }
        }
        self.cells.insert(acquired.partition, cell);
        self.send_all(acquired.partition, out)
    }

    /// Drops the cell of a partition that this entry no longer owns.
    pub(super) fn close(&mut self, partition: Partition) {
        self.cells.remove(&partition);
    }

    /// Applies the workers of a newer VM list to the cells.
    pub(super) fn apply_vm_list(&mut self, now: Instant, list: &List) -> PartitionOutputs {
        let workers: BTreeMap<Worker, Listed> =
            list.vms.iter().filter_map(|vm| self.listed(vm)).collect();
        let mut inputs = Vec::new();
        for (id, listed) in &workers {
            let known = self.workers.get(id);
            if known.is_none_or(|known| known.worker != listed.worker) {
                inputs.push((listed.partition, Input::Joined(listed.worker)));
            }
            if listed.is_leaving && known.is_none_or(|known| !known.is_leaving) {
                inputs.push((listed.partition, Input::Leaving(*id)));
            }
        }
        for (id, listed) in &self.workers {
            if !workers.contains_key(id) {
                inputs.push((listed.partition, Input::Gone(*id)));
            }
        }
        self.workers = workers;
        inputs
            .into_iter()
            .map(|(partition, input)| (partition, self.step(now, partition, input)))
            .collect()
    }

    /// Converts a VM to a worker; returns `None` for other VMs.
    fn listed(&self, vm: &vms::Vm) -> Option<(Worker, Listed)> {
        let Role::Worker { rack, size } = vm.role else {
            return None;
        };
        let data_centre = place_of(&self.context.settings, &vm.data_centre).data_centre;
        let worker = placement::Worker {
            id: Worker(vm.id),
            rack,
            data_centre,
            size,
        };
        let listed = Listed {
            worker,
            partition: self.partition_of_rack(rack),
            address: vm.address,
            is_leaving: vm.state == vms::State::Leaving,
        };
        Some((worker.id, listed))
    }

    /// Returns the address of a worker in the VM list.
    pub(super) fn address(&self, worker: Worker) -> Option<SocketAddr> {
        self.workers.get(&worker).map(|listed| listed.address)
    }

    /// Returns the partitions whose cells this entry has.
    pub(super) fn partitions(&self) -> impl Iterator<Item = Partition> + '_ {
        self.cells.keys().copied()
    }

    /// Adds a submitted job whose record is not durable yet.
    pub(super) fn begin_accept(&mut self, partition: Partition, job: placement::Job) {
        self.accepting.insert(job.id, Accepting { partition, job });
    }

    /// Passes a job whose record has become durable to its cell.
    pub(super) fn accepted(&mut self, now: Instant, job: Job) -> Option<(Partition, Vec<Output>)> {
        let accepting = self.accepting.remove(&job)?;
        let input = Input::Accept(Box::new(accepting.job));
        Some((
            accepting.partition,
            self.step(now, accepting.partition, input),
        ))
    }

    /// Returns a submitted job whose record is not durable yet.
    pub(super) fn accepting(&self, job: Job) -> Option<&placement::Job> {
        self.accepting.get(&job).map(|accepting| &accepting.job)
    }

    /// Returns how long a job is kept after its end, so that a repeated submission is recognized.
    pub(super) fn ended_retention(&self) -> Duration {
        self.settings.tuning.ended_for
    }

    /// Removes a submitted job whose record may or may not be durable.
    pub(super) fn forget_accept(&mut self, job: Job) {
        self.accepting.remove(&job);
    }

    /// Applies a configuration to all cells.
    pub(super) fn configure(&mut self, now: Instant, config: &config::Config) {
        self.settings.quotas = config
            .teams
            .iter()
            .map(|(team, quota)| (team.clone(), self::quota(quota)))
            .collect();
        self.settings.tuning.overrun_grace = config.placement.overrun_grace;
        self.settings.tuning.reserve_timeout = config.placement.reservation;
        self.settings.tuning.quarantine = config.placement.quarantine;
        let settings = Box::new(self.settings.clone());
        let partitions: Vec<Partition> = self.partitions().collect();
        for partition in partitions {
            let _ = self.step(now, partition, Input::Configure(settings.clone()));
        }
    }

    /// Passes a worker's response to a start to the cell.
    pub(super) fn started(
        &mut self,
        now: Instant,
        partition: Partition,
        attempt: Attempt,
        result: &Result<(), Failure>,
    ) -> Vec<Output> {
        let input = match result {
            Ok(()) => Input::Started(attempt),
            Err(Failure::NotSent(_) | Failure::Status(..)) => Input::Refused(attempt),
            Err(Failure::EffectUnknown(_)) => Input::Unanswered(attempt),
        };
        self.step(now, partition, input)
    }

    /// Passes a worker's inventory to the cell.
    pub(super) fn inventory(
        &mut self,
        now: Instant,
        partition: Partition,
        worker: Worker,
        request: u64,
        inventory: Inventory,
    ) -> Vec<Output> {
        self.step(
            now,
            partition,
            Input::Inventory {
                worker,
                request,
                inventory,
            },
        )
    }

    /// Advances all cells and updates until when each may act.
    ///
    /// While the log is down, a cell may start tasks before their records are durable, provided
    /// that both standbys have promised not to claim the partition.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        leases: &LeaseManager,
        is_log_up: bool,
    ) -> PartitionOutputs {
        let partitions: Vec<Partition> = self.partitions().collect();
        let mut all = Vec::new();
        for partition in partitions {
            if let Some(until) = leases.deadline(partition, now) {
                all.push((partition, self.step(now, partition, Input::Lease(until))));
            }
            let is_unrecorded = !is_log_up && leases.holds_promises(partition, now);
            let input = Input::Unrecorded(is_unrecorded);
            all.push((partition, self.step(now, partition, input)));
            // A partition that is moving gets no new placements, so that it stops producing
            // records.
            if !leases.is_moving(partition) {
                all.push((partition, self.step(now, partition, Input::Tick)));
            }
        }
        all
    }

    /// Returns the partitions of whose tasks the log has complete records.
    pub(super) fn described(&self) -> Vec<Partition> {
        let settled = self
            .cells
            .iter()
            .filter(|(_, cell)| cell.is_fully_recorded());
        settled.map(|(&partition, _)| partition).collect()
    }

    /// Passes an input to the cell of a partition, if this entry has it.
    pub(super) fn step(&mut self, now: Instant, partition: Partition, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(cell) = self.cells.get_mut(&partition) {
            cell.step(now, input, &mut out);
        }
        self.send_all(partition, out)
    }

    /// Sends the outputs that are messages to workers and returns the others.
    fn send_all(&self, partition: Partition, outputs: Vec<Output>) -> Vec<Output> {
        outputs
            .into_iter()
            .filter_map(|output| self.send(partition, output))
            .collect()
    }

    /// Sends an output that is a message to a worker; returns any other output.
    fn send(&self, partition: Partition, output: Output) -> Option<Output> {
        match output {
            Output::Start(start) => {
                if let Some(to) = self.receiver(partition, start.worker) {
                    self.sender.start(to, start);
                }
            }
            Output::Renew {
                worker,
                attempts,
                lease,
                not_after,
            } => {
                let renew = Renew {
                    attempts,
                    lease_ms: lease.as_millis() as u64,
                    not_after_ms: self.sender.wall_clock(not_after),
                };
                if let Some(to) = self.receiver(partition, worker) {
                    self.sender.renew(to, renew);
                }
            }
            Output::Control {
                worker,
                attempt,
                action,
            } => {
                if let Some(to) = self.receiver(partition, worker) {
                    self.sender.control(to, Control { attempt, action });
                }
            }
            Output::RequestInventory { worker, request } => {
                if let Some(to) = self.receiver(partition, worker) {
                    self.sender.inventory(to, request);
                }
            }
            other => return Some(other),
        }
        None
    }

    fn receiver(&self, partition: Partition, worker: Worker) -> Option<Receiver> {
        let address = self.address(worker)?;
        Some(Receiver {
            partition,
            worker,
            address,
        })
    }
}

/// Converts a team's quota from the configuration to that of a cell.
fn quota(quota: &config::Quota) -> Quota {
    Quota {
        share: quota.amount,
        ceiling: quota.amount,
    }
}
