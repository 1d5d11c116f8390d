//! Handling of gangs, whose tasks run all at once or not at all.

use super::Cell;
use crate::core::placement::message::Output;
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{AttemptKey, Intent, JobEntry, JobKey, Phase, TaskPhase};
use crate::platform::worker::Action;

impl<P: Policy> Cell<P> {
    /// Checkpoints all attempts of a gang, after one of them ended without success or not all
    /// started in time, so that the whole gang can start again.
    pub(super) fn stop_gang(&mut self, key: JobKey, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.jobs[key].is_stopping, true) {
            return;
        }
        self.jobs[key].gang_deadline = None;
        let live: Vec<AttemptKey> = self.live(key);
        for attempt in live {
            let Some(entry) = self.attempts.get(attempt) else {
                continue;
            };
            if entry.intent == Intent::Run {
                self.stop(attempt, Intent::Requeue, Action::Checkpoint, out);
            }
        }
        self.jobs[key].is_stopping = false;
    }

    /// Returns the attempts of a job that may run.
    pub(super) fn live(&self, key: JobKey) -> Vec<AttemptKey> {
        let attempt = |phase: TaskPhase| match phase {
            TaskPhase::Live(attempt) => Some(attempt),
            _ => None,
        };
        let tasks = self.jobs[key].tasks.iter();
        tasks.filter_map(|task| attempt(task.phase)).collect()
    }

    /// Stops gangs whose tasks did not all start in time.
    pub(super) fn check_gangs(&mut self, out: &mut Vec<Output>) {
        while let Some(&(due, key)) = self.gangs.first() {
            if due > self.now {
                return;
            }
            self.gangs.pop_first();
            let is_current = |job: &&JobEntry| job.gang_deadline == Some(due);
            if self.jobs.get(key).filter(is_current).is_none() {
                continue;
            }
            let is_running = |key: &AttemptKey| self.attempts[*key].phase == Phase::Running;
            if self.live(key).iter().all(is_running) {
                self.jobs[key].gang_deadline = None;
            } else {
                self.stop_gang(key, out);
            }
        }
    }
}
