//! Tracking of workers: changes of the VM list, inventory requests, lease renewals and expiry.

use super::Cell;
use crate::core::id;
use crate::core::placement::message::{Outcome, Output, Worker};
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{
    AttemptEntry, AttemptKey, Control, Intent, Phase, WorkerEntry, WorkerKey, WorkerState,
};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::platform::worker::Action;

/// How soon the inventory of a worker is requested after it was sent a command to end an attempt.
const STOP_POLL_DELAY: std::time::Duration = std::time::Duration::from_millis(250);

impl<P: Policy> Cell<P> {
    /// Adds or updates a worker that the VM list shows.
    pub(super) fn join(&mut self, worker: &Worker) {
        let key = self.worker_key(worker.id);
        let entry = &mut self.workers[key];
        let before = std::mem::take(&mut entry.size);
        entry.update_from_list(worker);
        self.update_totals(before, worker.size);
        let entry = &mut self.workers[key];
        if entry.state != WorkerState::Gone {
            self.refresh_index(key);
            return;
        }
        entry.state = match self.rules.inventory_first {
            true => WorkerState::Unknown,
            false => WorkerState::Ready,
        };
        entry.polling.last_answered = self.now;
        self.refresh_index(key);
        self.schedule(key, self.now);
        self.freed.add(key);
    }

    /// Returns the key of a worker, and creates its entry when it is new.
    pub(super) fn worker_key(&mut self, id: id::Worker) -> WorkerKey {
        if let Some(&key) = self.worker_ids.get(&id) {
            return key;
        }
        let entry = WorkerEntry::absent(id, self.roster.len());
        let key = self.workers.insert(entry);
        self.roster.push(key);
        self.worker_ids.insert(id, key);
        self.due.insert((Instant::default(), key));
        key
    }

    /// Updates the totals when the size of a worker changes.
    fn update_totals(&mut self, before: Amount, after: Amount) {
        self.total = self.total - before + after;
        if before != Amount::default() {
            if let Some(count) = self.sizes.get_mut(&before) {
                *count -= 1;
            }
            self.sizes.retain(|_, count| *count > 0);
        }
        if after != Amount::default() {
            *self.sizes.entry(after).or_default() += 1;
        }
    }

    /// Assigns no more work to a worker and checkpoints the tasks that it runs.
    pub(super) fn drain_worker(&mut self, id: id::Worker, out: &mut Vec<Output>) {
        let Some(&key) = self.worker_ids.get(&id) else {
            return;
        };
        if matches!(
            self.workers[key].state,
            WorkerState::Leaving | WorkerState::Gone
        ) {
            return;
        }
        self.workers[key].state = WorkerState::Leaving;
        self.refresh_index(key);
        for attempt in self.workers[key].attempts.clone() {
            if self.attempts.get(attempt).is_some_and(is_wanted) {
                self.stop(attempt, Intent::Requeue, Action::Checkpoint, out);
            }
        }
    }

    /// Marks a worker that the VM list no longer shows as gone. Its attempts are lost once it can
    /// hold no lease on them any more.
    pub(super) fn worker_gone(&mut self, id: id::Worker, out: &mut Vec<Output>) {
        let Some(&key) = self.worker_ids.get(&id) else {
            return;
        };
        self.workers[key].state = WorkerState::Gone;
        self.refresh_index(key);
        self.drop_unsent(key, out);
        self.schedule(key, self.now);
    }

    /// Ends attempts whose starts were not sent.
    fn drop_unsent(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        for attempt in self.workers[key].attempts.clone() {
            let entry = self.attempts.get(attempt);
            if entry.is_some_and(|entry| entry.phase == Phase::Recording) {
                self.end_attempt(attempt, Outcome::NotStarted, out);
            }
        }
    }

    /// Sets the time of the worker's next maintenance to `at`, in place of the time set before.
    pub(super) fn schedule(&mut self, key: WorkerKey, at: Instant) {
        let entry = &mut self.workers[key];
        self.due.remove(&(entry.polling.due, key));
        entry.polling.due = at;
        self.due.insert((at, key));
    }

    /// Moves the worker's next maintenance forward, because an attempt on it was commanded to end.
    pub(super) fn maintain_soon(&mut self, key: WorkerKey) {
        let at = self.now + STOP_POLL_DELAY;
        if at < self.workers[key].polling.due {
            self.schedule(key, at);
        }
    }

    /// Maintains each worker that is due.
    pub(super) fn maintain_due(&mut self, out: &mut Vec<Output>) {
        while let Some(&(at, key)) = self.due.first() {
            if at > self.now {
                return;
            }
            self.schedule(key, self.now + self.settings.tuning.inventory_every);
            self.maintain(key, out);
        }
    }

    /// Maintains one worker: renews or expires leases, repeats commands and requests an inventory.
    fn maintain(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        let tuning = &self.settings.tuning;
        let entry = &self.workers[key];
        let is_silent = self.now.since(entry.polling.last_answered) > tuning.silence;
        if is_silent && entry.state == WorkerState::Ready {
            self.workers[key].state = WorkerState::Unknown;
            self.refresh_index(key);
            self.drop_unsent(key, out);
        }
        let is_gone = self.workers[key].state == WorkerState::Gone;
        if is_gone || is_silent {
            self.expire_leases(key, out);
        } else {
            self.renew(key, out);
            self.repeat_stops(key, out);
        }
        if is_gone {
            self.remove_if_idle(key);
        } else {
            self.request_inventory(key, out);
            self.refresh_index(key);
        }
    }

    /// Requests the inventory of a worker.
    fn request_inventory(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        if self.now < self.inventories_from {
            self.schedule(key, self.inventories_from);
            return;
        }
        let entry = &mut self.workers[key];
        entry.polling.number += 1;
        entry.polling.requested_at = self.now;
        out.push(Output::RequestInventory {
            worker: entry.id,
            request: entry.polling.number,
        });
    }

    /// Renews the leases of attempts that are to continue.
    fn renew(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        let tuning = &self.settings.tuning;
        let entry = &mut self.workers[key];
        if self.now.since(entry.renewed_at) < tuning.renew_every {
            return;
        }
        entry.renewed_at = self.now;
        let mut renewed = Vec::new();
        for attempt in &entry.attempts {
            let attempt = &mut self.attempts[*attempt];
            if attempt.phase != Phase::Recording && is_wanted(attempt) {
                attempt.held_until = self.now + tuning.lease_bound();
                renewed.push(attempt.id);
            }
        }
        if renewed.is_empty() {
            return;
        }
        out.push(Output::Renew {
            worker: entry.id,
            attempts: renewed,
            lease: tuning.task_lease,
            not_after: self.now + tuning.flight,
        });
    }

    /// Sends a stop for attempts that were commanded to end and did not end in time.
    fn repeat_stops(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        let grace = self.settings.tuning.checkpoint_grace;
        for attempt in self.workers[key].attempts.clone() {
            let entry = &self.attempts[attempt];
            let is_late = |control: &Control| self.now.since(control.at) >= grace;
            let is_ending = entry.intent != Intent::Run;
            if is_ending && entry.control.as_ref().is_none_or(is_late) {
                self.stop(attempt, entry.intent, Action::Stop, out);
            }
        }
    }

    /// Ends attempts on a worker that does not answer or is gone, once their leases have expired.
    fn expire_leases(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        for attempt in self.workers[key].attempts.clone() {
            let is_expired = |entry: &AttemptEntry| {
                let is_over = entry.held_until <= self.now || !self.rules.wait_for_lease;
                entry.phase != Phase::Recording && is_over
            };
            if self.attempts.get(attempt).is_some_and(is_expired) {
                self.end_attempt(attempt, Outcome::Lost, out);
            }
        }
    }

    /// Removes a worker that is gone and has no attempts.
    fn remove_if_idle(&mut self, key: WorkerKey) {
        if !self.workers[key].attempts.is_empty() {
            return;
        }
        let Some(entry) = self.workers.remove(key) else {
            return;
        };
        self.due.remove(&(entry.polling.due, key));
        self.worker_ids.remove(&entry.id);
        self.update_totals(entry.size, Amount::default());
        self.reservations.forget_worker(key);
        self.roster.swap_remove(entry.roster);
        if let Some(&moved) = self.roster.get(entry.roster) {
            self.workers[moved].roster = entry.roster;
        }
    }

    /// Marks an attempt as running after its worker confirmed the start.
    pub(super) fn confirm_start(&mut self, id: id::Attempt) {
        if let Some(&key) = self.attempt_ids.get(&id) {
            self.mark_running(key);
        }
    }

    /// Marks an attempt as running.
    pub(super) fn mark_running(&mut self, key: AttemptKey) {
        self.count(key);
        let attempt = &mut self.attempts[key];
        if attempt.phase == Phase::Running {
            return;
        }
        attempt.phase = Phase::Running;
        attempt.conclusive_after = self.now;
    }

    /// Ends an attempt whose start never takes effect, and records a failure against its worker.
    pub(super) fn refuse_start(&mut self, id: id::Attempt, out: &mut Vec<Output>) {
        let Some(&key) = self.attempt_ids.get(&id) else {
            return;
        };
        let attempt = &self.attempts[key];
        if attempt.phase != Phase::Starting {
            return;
        }
        let (worker, job) = (attempt.worker, attempt.job);
        self.end_attempt(key, Outcome::NotStarted, out);
        if let Some(job) = job {
            self.record_failure(worker, job);
        }
    }
}

/// Returns whether an attempt is to continue.
fn is_wanted(attempt: &AttemptEntry) -> bool {
    attempt.intent == Intent::Run && attempt.job.is_some()
}
