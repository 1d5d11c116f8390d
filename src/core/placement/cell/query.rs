//! What operators can ask of jobs, workers and quotas.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Cell, Counters};
use crate::core::id::{self, Team};
use crate::core::placement::job::End;
use crate::core::placement::policy::Policy;
use crate::core::placement::settings::Quota;
use crate::core::placement::table::{JobEntry, Phase, Standing, TaskEntry, TaskPhase, WorkerEntry};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No task has a place.
    Queued,
    /// Some task has a place.
    Running,
    /// It is to end so, and something of it may still run.
    Ending(End),
    /// It ended.
    Ended(End),
}

/// A job as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus {
    /// Its id.
    pub id: id::Job,
    /// Its team.
    pub team: Team,
    /// Its class.
    pub class: Class,
    /// How far it has come.
    pub stage: Stage,
    /// How many tasks it has.
    pub tasks: u32,
    /// How many tasks succeeded.
    pub succeeded: u32,
    /// How many tasks have a place.
    pub live: u32,
    /// How many tasks wait for a place.
    pub queued: u32,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It waits for a place.
    Pending,
    /// It was lost with its worker and waits to be queued again.
    Lost,
    /// It has a place and is not seen to run.
    Starting,
    /// It runs.
    Running,
    /// It succeeded.
    Succeeded,
}

/// A task as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TaskStatus {
    /// How far it has come.
    pub state: TaskState,
    /// The number of the latest attempt, 0 before the first.
    pub attempt: u32,
    /// Where it has a place.
    pub worker: Option<id::Worker>,
}

/// A worker as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerStatus {
    /// Its number.
    pub id: id::Worker,
    /// Whether it may be given work.
    pub standing: Standing,
    /// Until when it is quarantined, if it is.
    pub quarantined_until: Option<Instant>,
    /// What it holds.
    pub size: Amount,
    /// What is counted against it.
    pub used: Amount,
    /// How many attempts may run on it.
    pub attempts: usize,
    /// Whether its room is kept for a job.
    pub is_reserved: bool,
}

/// A team's quota as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct QuotaStatus {
    /// The team.
    pub team: Team,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
    /// What it holds.
    pub used: Amount,
    /// Whether it holds more than its share.
    pub borrows: bool,
    /// How many jobs it has.
    pub jobs: usize,
}

/// The state of a cell, for a dump.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The cell's time.
    pub now: Instant,
    /// Until when the owner may act.
    pub lease: Instant,
    /// Whether the lease has ended.
    pub is_fenced: bool,
    /// Whether starts may precede their records.
    pub is_unrecorded: bool,
    /// How many workers there are in each standing.
    pub workers: BTreeMap<String, usize>,
    /// What all workers hold.
    pub total: Amount,
    /// What is counted against them.
    pub used: Amount,
    /// How many jobs have not ended.
    pub jobs: usize,
    /// How many ended jobs are kept.
    pub ended_jobs: usize,
    /// How many attempts may run.
    pub attempts: usize,
    /// How many lanes wait.
    pub lanes: usize,
    /// How many lost tasks are to be queued again.
    pub lost: usize,
    /// How many batches are not durable.
    pub batches: usize,
    /// What the cell did.
    pub counters: Counters,
}

impl<P: Policy> Cell<P> {
    /// Returns the state of a job, if it is known.
    pub fn job(&self, id: id::Job) -> Option<JobStatus> {
        if let Some(&key) = self.job_ids.get(&id) {
            return Some(status(&self.jobs[key]));
        }
        let summary = self.summaries().get(&id)?;
        Some(JobStatus {
            id,
            team: summary.team.clone(),
            class: summary.class,
            stage: Stage::Ended(summary.end),
            tasks: summary.tasks,
            succeeded: summary.succeeded,
            live: 0,
            queued: 0,
        })
    }

    /// Returns all jobs that have not ended.
    pub fn jobs(&self) -> impl Iterator<Item = JobStatus> {
        self.jobs.values().map(status)
    }

    /// Returns the ids of all jobs, those that ended lately included.
    pub fn ids(&self) -> impl Iterator<Item = id::Job> {
        self.job_ids.keys().chain(self.summaries().keys()).copied()
    }

    /// Returns the tasks of a job that has not ended, in the order of their indexes.
    pub fn tasks(&self, id: id::Job) -> Vec<TaskStatus> {
        let Some(&key) = self.job_ids.get(&id) else {
            return Vec::new();
        };
        let tasks = self.jobs[key].tasks.iter();
        tasks.map(|task| self.task_status(task)).collect()
    }

    /// Returns a task as operators see it.
    fn task_status(&self, task: &TaskEntry) -> TaskStatus {
        let (state, worker) = match task.phase {
            TaskPhase::Pending => (TaskState::Pending, None),
            TaskPhase::Delayed => (TaskState::Lost, None),
            TaskPhase::Succeeded => (TaskState::Succeeded, None),
            TaskPhase::Live(key) => {
                let attempt = &self.attempts[key];
                let worker = self.workers[attempt.worker].id;
                match attempt.phase {
                    Phase::Running => (TaskState::Running, Some(worker)),
                    _ => (TaskState::Starting, Some(worker)),
                }
            }
        };
        TaskStatus {
            state,
            attempt: task.number,
            worker,
        }
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerStatus> {
        self.workers
            .values()
            .map(|worker| self.worker_status(worker))
    }

    /// Returns all teams that have a job or a quota.
    pub fn quotas(&self) -> impl Iterator<Item = QuotaStatus> {
        self.teams.values().map(|team| QuotaStatus {
            team: team.name.clone(),
            quota: team.quota,
            used: team.used,
            borrows: team.borrows,
            jobs: team.jobs,
        })
    }

    /// Returns a worker as operators see it.
    fn worker_status(&self, worker: &WorkerEntry) -> WorkerStatus {
        let health = &worker.health;
        let is_quarantined = health.is_quarantined(self.now);
        WorkerStatus {
            id: worker.id,
            standing: worker.standing,
            quarantined_until: is_quarantined.then(|| health.until()),
            size: worker.size,
            used: worker.used,
            attempts: worker.attempts.len(),
            is_reserved: worker.reserved.is_some(),
        }
    }

    /// Returns the state of the cell for a dump.
    pub fn dump(&self) -> Dump {
        let mut workers = BTreeMap::new();
        let mut used = Amount::default();
        for worker in self.workers.values() {
            *workers
                .entry(format!("{:?}", worker.standing).to_lowercase())
                .or_default() += 1;
            used += worker.used;
        }
        Dump {
            now: self.now,
            lease: self.lease,
            is_fenced: self.is_fenced,
            is_unrecorded: self.is_unrecorded,
            workers,
            total: self.total,
            used,
            jobs: self.jobs.len(),
            ended_jobs: self.ended.len(),
            attempts: self.attempts.len(),
            lanes: self.queue.len(),
            lost: self.lost.len(),
            batches: self.journal.outstanding(),
            counters: self.counters,
        }
    }
}

/// Returns a job as operators see it.
fn status(job: &JobEntry) -> JobStatus {
    let stage = match job.ending {
        Some(end) => Stage::Ending(end),
        None if job.live > 0 => Stage::Running,
        None => Stage::Queued,
    };
    JobStatus {
        id: job.spec.id,
        team: job.spec.team.clone(),
        class: job.spec.class,
        stage,
        tasks: job.spec.tasks,
        succeeded: job.succeeded,
        live: job.live,
        queued: job.queued,
    }
}
