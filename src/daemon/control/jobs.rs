//! The cells of the worker partitions that this entry owns.
//!
//! A job's partition follows from its id and a worker's from its rack, so every entry finds the
//! same cell without asking.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::tenure::{Tenure, place_of};
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

/// A job that is being made durable.
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
    /// The workers of the VM list.
    workers: BTreeMap<Worker, Listed>,
}

/// A worker of the VM list.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Listed {
    worker: placement::Worker,
    partition: Partition,
    address: SocketAddr,
    is_leaving: bool,
}

/// What the cell of a partition wants done.
type Wishes = Vec<(Partition, Vec<Output>)>;

impl Jobs {
    /// Makes no cells.
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

    /// Returns whether a partition holds workers.
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

    /// Opens the cell of a partition from its records.
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
        let own = self
            .workers
            .values()
            .filter(|listed| listed.partition == acquired.partition);
        for listed in own {
            cell.step(now, Input::Joined(listed.worker), &mut out);
            if listed.is_leaving {
                cell.step(now, Input::Leaving(listed.worker.id), &mut out);
            }
        }
        self.cells.insert(acquired.partition, cell);
        self.follow(acquired.partition, out)
    }

    /// Drops the cell of a partition that is not owned any more.
    pub(super) fn close(&mut self, partition: Partition) {
        self.cells.remove(&partition);
    }

    /// Adopts the workers of a newer VM list.
    pub(super) fn adopt(&mut self, now: Instant, list: &List) -> Wishes {
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

    /// Returns a worker as the cells take it.
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

    /// Returns where a worker answers.
    pub(super) fn address(&self, worker: Worker) -> Option<SocketAddr> {
        self.workers.get(&worker).map(|listed| listed.address)
    }

    /// Returns the partitions whose cells this entry has.
    pub(super) fn partitions(&self) -> impl Iterator<Item = Partition> + '_ {
        self.cells.keys().copied()
    }

    /// Notes a job that is being made durable.
    pub(super) fn begin_accept(&mut self, partition: Partition, job: placement::Job) {
        self.accepting.insert(job.id, Accepting { partition, job });
    }

    /// Takes in a job that is durable.
    pub(super) fn accepted(&mut self, now: Instant, job: Job) -> Option<(Partition, Vec<Output>)> {
        let accepting = self.accepting.remove(&job)?;
        let input = Input::Accept(Box::new(accepting.job));
        Some((
            accepting.partition,
            self.step(now, accepting.partition, input),
        ))
    }

    /// Returns a job that is being made durable.
    pub(super) fn accepting(&self, job: Job) -> Option<&placement::Job> {
        self.accepting.get(&job).map(|accepting| &accepting.job)
    }

    /// Returns how long a job is remembered after its end, so that a repeat is recognized.
    pub(super) fn remembered(&self) -> Duration {
        self.settings.tuning.ended_for
    }

    /// Forgets a job of which it is not known whether it is durable.
    pub(super) fn forget_accept(&mut self, job: Job) {
        self.accepting.remove(&job);
    }

    /// Puts the configuration in force.
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

    /// Takes a worker's answer to a start.
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
            Err(Failure::Unknown(_)) => Input::Unanswered(attempt),
        };
        self.step(now, partition, input)
    }

    /// Takes a worker's inventory.
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

    /// Lets time pass and tells the cells until when they may act.
    ///
    /// While the log is down, tasks are started before their records as long as both standbys know
    /// that this may happen.
    pub(super) fn tick(&mut self, now: Instant, tenure: &Tenure, is_log_up: bool) -> Wishes {
        let partitions: Vec<Partition> = self.partitions().collect();
        let mut wishes = Vec::new();
        for partition in partitions {
            if let Some(until) = tenure.deadline(partition, now) {
                wishes.push((partition, self.step(now, partition, Input::Lease(until))));
            }
            let is_unrecorded = !is_log_up && tenure.holds_promises(partition, now);
            let input = Input::Unrecorded(is_unrecorded);
            wishes.push((partition, self.step(now, partition, input)));
            // A partition that is to move gets no new placements, so that its records come to an end.
            if !tenure.is_moving(partition) {
                wishes.push((partition, self.step(now, partition, Input::Tick)));
            }
        }
        wishes
    }

    /// Returns the partitions whose records in the log describe all that may run.
    pub(super) fn described(&self) -> Vec<Partition> {
        let settled = self
            .cells
            .iter()
            .filter(|(_, cell)| cell.is_fully_recorded());
        settled.map(|(&partition, _)| partition).collect()
    }

    /// Gives an event to the cell of a partition, if it is owned.
    pub(super) fn step(&mut self, now: Instant, partition: Partition, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(cell) = self.cells.get_mut(&partition) {
            cell.step(now, input, &mut out);
        }
        self.follow(partition, out)
    }

    /// Sends what goes to workers and returns the rest.
    fn follow(&self, partition: Partition, outputs: Vec<Output>) -> Vec<Output> {
        outputs
            .into_iter()
            .filter_map(|output| self.send(partition, output))
            .collect()
    }

    /// Sends a message to a worker; returns any other output.
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

/// Returns a team's quota as the cells take it.
fn quota(quota: &config::Quota) -> Quota {
    Quota {
        share: quota.amount,
        ceiling: quota.amount,
    }
}
