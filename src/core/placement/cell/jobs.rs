//! Accepting, cancelling and ending jobs.

use std::collections::HashMap;

use super::{Cell, ledger};
use crate::core::id;
use crate::core::placement::job::{End, Job};
use crate::core::placement::message::{Output, Record};
use crate::core::placement::policy::Policy;
use crate::core::placement::queue::{Lane, LanePosition, Shape};
use crate::core::placement::table::{JobEntry, JobKey};
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The summary of an ended job, kept for queries.
#[derive(Clone, Debug)]
pub(super) struct Summary {
    pub(super) team: id::Team,
    pub(super) class: Class,
    pub(super) tasks: u32,
    pub(super) succeeded: u32,
    pub(super) end: End,
}

/// An ended job and the time of its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    pub(super) job: id::Job,
    pub(super) at: Instant,
}

/// A job whose tasks are being stopped, and the first task not yet checked.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping {
    pub(super) job: JobKey,
    pub(super) next: u32,
}

impl Stopping {
    /// Returns an entry that begins with the first task.
    pub(super) fn new(job: JobKey) -> Stopping {
        Stopping { job, next: 0 }
    }
}

impl<P: Policy> Cell<P> {
    /// Accepts a job whose record is durable. Accepting it again changes nothing.
    pub(super) fn accept(&mut self, job: Job) {
        if let Some(key) = self.insert_job(job) {
            self.enqueue(key);
        }
    }

    /// Creates the entry of a job unless the job is known.
    pub(super) fn insert_job(&mut self, job: Job) -> Option<JobKey> {
        if self.job_ids.contains_key(&job.id) || self.ended_ids.contains_key(&job.id) {
            return None;
        }
        self.sequence += 1;
        let team = self.team_key(&job.team);
        self.teams[team].jobs += 1;
        self.tasks += u64::from(job.tasks);
        let id = job.id;
        let entry = JobEntry::new(job, team, self.now, self.sequence);
        let key = self.jobs.insert(entry);
        self.job_ids.insert(id, key);
        Some(key)
    }

    /// Adds a job to its lane when it has tasks that may be placed.
    pub(super) fn enqueue(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.lane.is_some() || !job.is_placeable() {
            return;
        }
        let lane = Lane {
            class: job.spec.class,
            team: job.team,
            shape: Shape::of(job.granted_size),
        };
        job.lane = Some(lane);
        let position = lane_position(job);
        let borrows = self.teams[lane.team].borrows;
        let rank = ledger::rank::<P>(&self.settings.tuning, borrows, lane);
        self.queue.add(lane, position, key, rank);
    }

    /// Removes a job from its lane.
    pub(super) fn dequeue(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(lane) = job.lane.take() else {
            return;
        };
        let position = lane_position(job);
        let borrows = self.teams[lane.team].borrows;
        let rank = ledger::rank::<P>(&self.settings.tuning, borrows, lane);
        self.queue.remove(lane, position, rank);
    }

    /// Cancels a job. The cost does not depend on the number of tasks, as a limited number of them
    /// is stopped per step.
    pub(super) fn cancel(&mut self, id: id::Job) {
        let Some(&key) = self.job_ids.get(&id) else {
            return;
        };
        match self.jobs[key].ending {
            None => {
                self.write(Record::Canceled(id));
                self.notify_canceled(id);
                self.end(key, End::Canceled);
            }
            Some(End::Canceled) => self.notify_canceled(id),
            Some(_) => {}
        }
    }

    /// Starts to end a job: removes it from the queue and stops its tasks.
    pub(super) fn end(&mut self, key: JobKey, end: End) {
        if self.jobs[key].ending.is_some() {
            return;
        }
        self.jobs[key].ending = Some(end);
        self.dequeue(key);
        self.release_reservation(key);
        if self.jobs[key].live > 0 {
            self.stopping.push_back(Stopping::new(key));
        }
        self.end_if_idle(key);
    }

    /// Writes the end of a job when none of its tasks runs any more. A held job may still have
    /// attempts that the cell does not know of, so its end is not written yet.
    pub(super) fn end_if_idle(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.is_held {
            return;
        }
        let Some(end) = job.ending.filter(|_| job.live == 0 && !job.ended) else {
            return;
        };
        job.ended = true;
        self.write_end(key, end);
    }

    /// Replaces a job whose end is durable by its summary.
    pub(super) fn forget_job(&mut self, key: JobKey, end: End, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        let id = job.spec.id;
        self.job_ids.remove(&id);
        self.teams[job.team].jobs -= 1;
        self.tasks -= u64::from(job.spec.tasks);
        self.forget_team(job.team);
        let summary = Summary {
            team: job.spec.team,
            class: job.spec.class,
            tasks: job.spec.tasks,
            succeeded: job.succeeded,
            end,
        };
        self.keep_ended(id, summary);
        out.push(Output::Ended { job: id, end });
    }

    /// Keeps the summary of an ended job for queries, within the limits on number and age.
    pub(super) fn keep_ended(&mut self, job: id::Job, summary: Summary) {
        let tuning = &self.settings.tuning;
        self.ended.push_back(Ended { job, at: self.now });
        self.ended_ids.insert(job, summary);
        while let Some(oldest) = self.ended.front().copied() {
            let is_old = self.now.since(oldest.at) > tuning.ended_for;
            if self.ended.len() <= tuning.ended_jobs && !is_old {
                break;
            }
            self.ended.pop_front();
            self.ended_ids.remove(&oldest.job);
        }
    }

    /// Returns the summaries of ended jobs.
    pub(super) fn summaries(&self) -> &HashMap<id::Job, Summary> {
        &self.ended_ids
    }
}

/// Returns the position of a job in its lane.
pub(super) fn lane_position(job: &JobEntry) -> LanePosition {
    LanePosition {
        queued_at: job.queued_at,
        sequence: job.sequence,
    }
}
