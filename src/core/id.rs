//! Identifiers used by the scheduler.
//!
//! Identifiers that are sent often are small `Copy` numbers; names that operators choose are
//! strings. A request key and a job id are UUIDs of version 7 and hold their creation time, which
//! the at-most-once check uses.

use std::fmt;

use laburnum_derive::{name, value};
use uuid::Uuid;

use super::time::Stamp;

/// An entry VM, by its number in the platform's VM list.
#[value]
pub struct Vm(pub u32);

/// One run of a process on a VM; a restarted process gets a new number.
#[value]
pub struct Incarnation(pub u64);

/// One run of the daemon on one VM.
#[value]
pub struct Node {
    /// The VM that the daemon runs on.
    pub vm: Vm,
    /// The run of the daemon on that VM.
    pub incarnation: Incarnation,
}

/// A data centre, by its index in the settings.
#[value]
pub struct DataCentre(pub u16);

/// A region, by its index in the settings.
#[value]
pub struct Region(pub u16);

/// A share of the cell's work that has at most one owner at a time.
#[value]
pub struct Partition(pub u16);

/// A worker VM, by its number in the platform's VM list.
#[value]
pub struct Worker(pub u32);

/// A rack of workers, unique over the cell.
#[value]
pub struct Rack(pub u32);

/// A target that answers calls, by its number in the platform's VM list.
#[value]
pub struct Target(pub u32);

/// The idempotency key of one request: a UUID version 7.
#[value]
pub struct Key(pub Uuid);

/// A submitted job: a UUID version 7.
#[value]
pub struct Job(pub Uuid);

/// One task of a job.
#[value]
pub struct Task {
    /// The job that the task belongs to.
    pub job: Job,
    /// The task's index within the job, from 0.
    pub index: u32,
}

/// One attempt to run a task; a later attempt has a higher number.
#[value]
pub struct Attempt {
    /// The task that is attempted.
    pub task: Task,
    /// The attempt's number, from 1.
    pub number: u32,
}

/// The name of a caller.
#[name]
pub struct Caller(pub String);

/// The name of a team that shares the cell under a quota.
#[name]
pub struct Team(pub String);

/// The name of a service that targets answer.
#[name]
pub struct Service(pub String);

/// The name of a family of similar jobs, whose run times are estimated together.
#[name]
pub struct Family(pub String);

/// Returns the creation time in a version 7 UUID, or `None` for another version.
fn created(id: Uuid) -> Option<Stamp> {
    const MILLIS_SHIFT: u32 = 80;
    (id.get_version_num() == 7).then(|| Stamp((id.as_u128() >> MILLIS_SHIFT) as u64))
}

impl Key {
    /// Returns when the key was created, or `None` when it is not a UUID version 7.
    pub fn created(self) -> Option<Stamp> {
        created(self.0)
    }
}

impl Job {
    /// Returns when the job was submitted, or `None` when its id is not a UUID version 7.
    pub fn created(self) -> Option<Stamp> {
        created(self.0)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl fmt::Display for Job {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl fmt::Display for Task {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.job, self.index)
    }
}

impl fmt::Display for Node {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{:x}", self.vm.0, self.incarnation.0)
    }
}
