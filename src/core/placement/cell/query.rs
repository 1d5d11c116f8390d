//! Queries of operators about jobs, workers and quotas.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Cell, Counters};
use crate::core::id::{self, Team};
use crate::core::placement::job::End;
use crate::core::placement::policy::Policy;
use crate::core::placement::settings::Quota;
use crate::core::placement::table::{
    JobEntry, Phase, TaskEntry, TaskPhase, WorkerEntry, WorkerState,
};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The stage of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No task is assigned to a worker.
    Queued,
    /// At least one task is assigned to a worker.
    Running,
    /// The job is ending in this way; its tasks may still run.
    Ending(End),
    /// The job has ended.
    Ended(End),
}

/// The status of a job, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus {
    /// The job's id.
    pub id: id::Job,
    /// The job's team.
    pub team: Team,
    /// The job's class.
    pub class: Class,
    /// The job's stage.
    pub stage: Stage,
    /// The number of tasks.
    pub tasks: u32,
    /// The number of tasks that succeeded.
    pub succeeded: u32,
    /// The number of tasks assigned to a worker.
    pub live: u32,
    /// The number of tasks that wait for a worker.
    pub queued: u32,
}

/// The state of a task, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task waits for a worker.
    Pending,
    /// The task was lost with its worker and waits to be queued again.
    Lost,
    /// The task is assigned to a worker that has not yet reported it as running.
    Starting,
    /// The task runs.
    Running,
    /// The task succeeded.
    Succeeded,
}

/// The status of a task, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TaskStatus {
    /// The task's state.
    pub state: TaskState,
    /// The number of the latest attempt, 0 before the first.
    pub attempt: u32,
    /// The worker that the task is assigned to.
    pub worker: Option<id::Worker>,
}

/// The status of a worker, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerStatus {
    /// The worker's id.
    pub id: id::Worker,
    /// Whether the worker may be assigned work.
    #[serde(rename = "standing")]
    pub state: WorkerState,
    /// The end of the worker's quarantine, if it is quarantined.
    pub quarantined_until: Option<Instant>,
    /// The worker's total resources.
    pub size: Amount,
    /// The resources counted against the worker.
    pub used: Amount,
    /// The number of attempts that may run on the worker.
    pub attempts: usize,
    /// Whether the worker is reserved for a job.
    pub is_reserved: bool,
}

/// The status of a team's quota, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct QuotaStatus {
    /// The team's name.
    pub team: Team,
    /// The team's quota, if it has one.
    pub quota: Option<Quota>,
    /// The resources granted to the team's attempts.
    pub used: Amount,
    /// Whether the team uses more than its share.
    pub borrows: bool,
    /// The number of the team's jobs, including ending ones.
    pub jobs: usize,
}

/// The state of a cell, for a dump.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The cell's current time.
    pub now: Instant,
    /// The end of the owner's lease on the partition.
    pub lease: Instant,
    /// Whether the lease has ended.
    pub is_fenced: bool,
    /// Whether starts may be sent before their records are durable.
    pub is_unrecorded: bool,
    /// The number of workers per state.
    pub workers: BTreeMap<String, usize>,
    /// The total resources of all workers.
    pub total: Amount,
    /// The resources counted against all workers.
    pub used: Amount,
    /// The number of jobs that have not ended.
    pub jobs: usize,
    /// The number of ended jobs kept for queries.
    pub ended_jobs: usize,
    /// The number of attempts that may run.
    pub attempts: usize,
    /// The number of lanes in the queue.
    pub lanes: usize,
    /// The number of lost tasks that wait to be queued again.
    pub lost: usize,
    /// The number of emitted batches that are not durable yet.
    pub batches: usize,
    /// The cell's counters.
    pub counters: Counters,
}

impl<P: Policy> Cell<P> {
    /// Returns the status of a job, or `None` when it is unknown.
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

    /// Returns the status of each job that has not ended.
    pub fn jobs(&self) -> impl Iterator<Item = JobStatus> {
        self.jobs.values().map(status)
    }

    /// Returns the ids of all jobs, including ended ones that are still kept.
    pub fn ids(&self) -> impl Iterator<Item = id::Job> {
        self.job_ids.keys().chain(self.summaries().keys()).copied()
    }

    /// Returns the tasks of a job in index order; none when the job is unknown or has ended.
    pub fn tasks(&self, id: id::Job) -> Vec<TaskStatus> {
        let Some(&key) = self.job_ids.get(&id) else {
            return Vec::new();
        };
        let tasks = self.jobs[key].tasks.iter();
        tasks.map(|task| self.task_status(task)).collect()
    }

    /// Returns the status of a task.
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

    /// Returns the status of each worker.
    pub fn workers(&self) -> impl Iterator<Item = WorkerStatus> {
        self.workers
            .values()
            .map(|worker| self.worker_status(worker))
    }

    /// Returns the quota status of each team that has a job or a quota.
    pub fn quotas(&self) -> impl Iterator<Item = QuotaStatus> {
        self.teams.values().map(|team| QuotaStatus {
            team: team.name.clone(),
            quota: team.quota,
            used: team.used,
            borrows: team.borrows,
            jobs: team.jobs,
        })
    }

    /// Returns the status of a worker.
    fn worker_status(&self, worker: &WorkerEntry) -> WorkerStatus {
        let health = &worker.health;
        let is_quarantined = health.is_quarantined(self.now);
        WorkerStatus {
            id: worker.id,
            state: worker.state,
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
                .entry(format!("{:?}", worker.state).to_lowercase())
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

/// Returns the status of a job that has not ended.
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
