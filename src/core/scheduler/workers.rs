//! Tracks the workers of the cell: their directory entries, their responses to polls, their leases
//! and their acknowledgements.

use std::time::Duration;

use super::id::{Run, Task, Worker};
use super::job::TaskState;
use super::message::{Inventory, Outcome, Output, Refusal};
use super::record::{self, Addresses, Key, Workers};
use super::worker::{self, Attempt, Entry, State};
use super::{Effect, Scheduler, Time, WorkerPoll};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// The lease of a worker whose last poll failed is extended only while its last response is younger
/// than this. The lease of a worker that receives polls but whose responses are lost has to end.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(2_500);
/// The most ended runs that a worker reports in one response; specified by the platform.
const MAX_REPORTED_ENDS: usize = 500;
/// The event of a worker whose runs use more than its capacity.
pub const OVERCOMMITTED: &str = "over its capacity";
/// The event of a silent worker whose lease has ended.
const LEASE_ENDED: &str = "lease ended without an answer";
/// The event of a worker whose address another worker has.
pub(super) const LOST_ADDRESS: &str = "another worker has its address";
/// The event of a worker whose next incarnation has responded.
const RESTARTED: &str = "its next incarnation has responded";
/// The event of a worker that has never responded and of which the directory lists another start or address.
const LISTED_OTHERWISE: &str = "the directory lists it otherwise";
/// The event of a worker that has never responded at its address, where another worker or incarnation is.
const REJECTED_ENTRY: &str = "it is not at the address that the directory gives";
/// The event of a worker whose response to a poll names another incarnation.
const RESTART_REPORTED: &str = "its report names another start";
/// A start command without an outcome for this long is in doubt: the caller reports one much earlier.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(2);
/// The shortest time between two records of the addresses of workers.
const ADDRESSES_INTERVAL: Duration = Duration::from_secs(1);
/// The most addresses in a record: the log limits the size of one.
const MAX_RECORDED_ADDRESSES: usize = 5_000;
/// How long a stop command may go unanswered before it is sent again.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Processes an entry of the directory. One whose service no queue has is kept until a queue has it: it may come
    /// from another writer than the worker and says nothing about it.
    pub(super) fn listed(&mut self, now: Instant, entry: Entry, out: &mut Vec<Output>) {
        if !self.services.is_empty() && !self.services.contains(&entry.service) {
            let former = self.unnamed.insert(entry.name.clone(), entry.clone());
            if former.is_none_or(|former| former.service != entry.service) {
                out.push(Output::UnnamedService {
                    worker: entry.name,
                    service: entry.service,
                });
            }
            return;
        }
        self.unnamed.remove(&entry.name);
        let Some(&key) = self.by_name.get(&entry.name) else {
            self.add_worker(entry, now, out);
            return;
        };
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if worker.entry.agrees_with(&entry) {
            self.unverified.remove(&entry.name);
            self.update_entry(key, entry, out);
        } else if worker.is_only_listed() {
            self.unverified.remove(&entry.name);
            self.remove_worker(key, now, LISTED_OTHERWISE, out);
            self.add_worker(entry, now, out);
        } else {
            self.verify(key, entry, now, out);
        }
    }

    /// Replaces the entry of a worker by a newer one of the same incarnation.
    pub(super) fn update_entry(&mut self, key: Worker, entry: Entry, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let was_usable = worker.listed && !worker.entry.draining;
        let has_capacity_changed = worker.entry.capacity != entry.capacity;
        worker.entry = entry;
        worker.listed = true;
        if was_usable && worker.entry.draining {
            out.push(event(key, worker, "draining"));
        }
        if has_capacity_changed {
            out.push(event(key, worker, "capacity changed"));
            report_commitment(key, worker, out);
        }
    }

    /// Replaces a worker by its next incarnation, which has responded, and returns the key of that.
    pub(super) fn restarted(
        &mut self,
        key: Worker,
        entry: Entry,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Worker {
        let from = self.workers[key].entry.incarnation;
        self.note_crash(key);
        let undecided = self.take_undecided(key);
        for &(task, run, _) in &undecided {
            out.push(Output::PassedOn {
                worker: entry.name.clone(),
                from,
                to: entry.incarnation,
                task,
                run,
            });
        }
        let former = self.remove_worker(key, now, RESTARTED, out);
        let next = self.add_worker(entry, now, out);
        if let (Some(former), Some(worker)) = (former, self.workers.get_mut(next)) {
            // A poll of the former incarnation may have reached this one and extended its lease.
            worker.expect_lease(now, self.rules.max_lease);
            worker.expect_commands_to(&former);
        }
        self.transfer(key, next, undecided, now);
        next
    }

    pub(super) fn add_worker(
        &mut self,
        entry: Entry,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Worker {
        let name = entry.name.clone();
        let inherited_until = self
            .inherited_lease_end(&name, entry.incarnation)
            .unwrap_or(now);
        let new = |seat| worker::Worker::new(entry, seat, now, inherited_until);
        let key = self.workers.insert(new);
        out.push(event(key, &self.workers[key], "listed"));
        self.by_name.insert(name, key);
        self.is_worker_list_recorded = false;
        self.stop_delayed_starts(key, now, out);
        key
    }

    /// Removes and returns the runs of a worker that its next incarnation may carry out.
    fn take_undecided(&mut self, key: Worker) -> Vec<(Task, Run, Attempt)> {
        let Some(worker) = self.workers.get(key) else {
            return Vec::new();
        };
        let undecided = worker.undecided().into_iter();
        undecided
            .filter_map(|(task, run)| Some((task, run, self.remove_run(key, task, run)?)))
            .collect()
    }

    /// Moves runs to the next incarnation of their worker, which has the same name and may carry the
    /// start commands out. They use its capacity until it reports them or a stop command has made
    /// them void there.
    fn transfer(
        &mut self,
        from: Worker,
        to: Worker,
        runs: Vec<(Task, Run, Attempt)>,
        now: Instant,
    ) {
        for (task, run, attempt) in runs {
            let state = match attempt.state {
                State::Stopping => State::Stopping,
                _ => State::Doubtful,
            };
            let attempt = Attempt {
                state,
                since: now,
                stop_sent: None,
                stop_answered: None,
                deadline_ms: None,
                present_since: None,
                absent_since: None,
                ..attempt
            };
            self.insert_run(to, task, run, attempt);
            let job = self.jobs.get_mut(&task.step.job);
            let Some(step) = job.and_then(|job| job.step_mut(task.step)) else {
                continue;
            };
            let state = step
                .tasks
                .get(usize::from(task.index))
                .map(|task| task.state);
            if state == Some(TaskState::Active { worker: from, run }) {
                step.set(task.index, TaskState::Active { worker: to, run });
            }
        }
    }

    /// Processes that the directory no longer lists a worker. The worker gets no new tasks, and its
    /// runs are kept until its lease ends.
    pub(super) fn unlisted(&mut self, name: &str, out: &mut Vec<Output>) {
        self.unnamed.remove(name);
        self.unverified.remove(name);
        let Some(&key) = self.by_name.get(name) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.listed = false;
            out.push(event(key, worker, "unlisted"));
        }
    }

    /// Removes a worker on which no run is active any more, and returns its tasks to the waiting
    /// state.
    fn remove_worker(
        &mut self,
        key: Worker,
        now: Instant,
        reason: &'static str,
        out: &mut Vec<Output>,
    ) -> Option<worker::Worker> {
        self.release_all(key, now, reason, out);
        let worker = self.workers.remove(key)?;
        self.by_name.remove(&worker.entry.name);
        self.is_worker_list_recorded = false;
        out.push(event(key, &worker, reason));
        self.list_unverified(&worker.entry.name, now, out);
        Some(worker)
    }

    /// Removes all runs of a worker and returns their tasks to the waiting state.
    fn release_all(
        &mut self,
        key: Worker,
        now: Instant,
        reason: &'static str,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let runs: Vec<(Task, Run)> = worker.attempts.keys().copied().collect();
        self.release_runs(key, &runs, reason, now, out);
    }

    /// Removes runs of a worker that may have ended under them, and returns their tasks to the waiting state.
    fn release_runs(
        &mut self,
        key: Worker,
        runs: &[(Task, Run)],
        reason: &'static str,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        self.note_crash_under(key, runs, false);
        for &(task, run) in runs {
            self.release(key, task, run, reason, now, out);
        }
    }

    /// Processes that an incarnation of a worker has ended. The directory will list the next one.
    fn replaced(&mut self, key: Worker, now: Instant, out: &mut Vec<Output>) {
        if !self.is_proven(key) {
            self.reject_listing(key, now, out);
            return;
        }
        self.note_crash(key);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let undecided = worker.undecided();
        worker.is_replaced = true;
        worker.expect_lease(now, self.rules.max_lease);
        worker.is_responding = false;
        out.push(event(key, worker, RESTART_REPORTED));
        let runs: Vec<(Task, Run)> = worker.attempts.keys().copied().collect();
        for (task, run) in runs {
            if !undecided.contains(&(task, run)) {
                self.release(key, task, run, RESTART_REPORTED, now, out);
            }
        }
        self.stop_delayed_starts(key, now, out);
    }

    fn is_proven(&self, key: Worker) -> bool {
        self.workers.get(key).is_some_and(|worker| worker.is_proven)
    }

    /// Processes a rejection at an address that only the directory gives for a worker. The worker may be elsewhere.
    fn reject_listing(&mut self, key: Worker, now: Instant, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.is_only_listed() {
            self.remove_worker(key, now, REJECTED_ENTRY, out);
        } else if std::mem::replace(&mut worker.is_responding, false) {
            out.push(event(key, worker, REJECTED_ENTRY));
        }
    }

    /// Processes that another worker has taken the address of a worker. Nothing of the former one is left,
    /// and no command that is under way to it will be carried out.
    pub(super) fn lost_address(&mut self, key: Worker, now: Instant, out: &mut Vec<Output>) {
        let worker = self.workers.get(key);
        let was_there = worker.is_some_and(|worker| worker.is_proven || self.was_at(&worker.entry));
        if !was_there {
            self.reject_listing(key, now, out);
            return;
        }
        self.release_pending_starts(key, now, out);
        self.note_crash(key);
        if let Some(worker) = self.workers.get(key) {
            let name = worker.entry.name.clone();
            self.end_inherited_lease(&name, worker.entry.incarnation);
            self.remove_worker(key, now, LOST_ADDRESS, out);
        }
    }

    /// Releases the runs of a worker that has lost its address whose starts have no outcome yet. They were
    /// sent shortly before, when the worker had ended already, and say nothing of a crash.
    fn release_pending_starts(&mut self, key: Worker, now: Instant, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let attempts = worker.attempts.iter();
        let pending: Vec<(Task, Run)> = attempts
            .filter(|(_, attempt)| attempt.state == State::Starting)
            .map(|(&id, _)| id)
            .collect();
        for (task, run) in pending {
            self.release(key, task, run, LOST_ADDRESS, now, out);
        }
    }

    /// Releases the runs of workers that don't respond once their leases have ended for certain, and removes the workers
    /// that are gone.
    pub(super) fn release_lapsed(&mut self, time: Time, out: &mut Vec<Output>) {
        let workers = self.workers.iter();
        let silent = workers.filter(|(_, worker)| {
            !worker.is_responding && self.has_lease_ended(worker.lease_end())
        });
        let silent: Vec<Worker> = silent.map(|(key, _)| key).collect();
        for key in silent {
            let lapsed = self.lapsed_runs(key);
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let has_others = lapsed.len() < worker.attempts.len();
            if !has_others && !self.stays_after_lease(worker) {
                self.is_dirty = true;
                self.remove_worker(key, time.now, "gone", out);
            } else if !lapsed.is_empty() {
                out.push(event(key, worker, LEASE_ENDED));
                self.release_runs(key, &lapsed, LEASE_ENDED, time.now, out);
            }
        }
    }

    /// Returns the runs on a silent worker whose leases have ended for certain.
    fn lapsed_runs(&self, key: Worker) -> Vec<(Task, Run)> {
        let Some(worker) = self.workers.get(key) else {
            return Vec::new();
        };
        let max_lease = self.rules.max_lease;
        let lapsed = worker
            .attempts
            .iter()
            .filter(|(_, attempt)| self.has_lease_ended(worker.lease_end_of(attempt, max_lease)));
        lapsed.map(|(&id, _)| id).collect()
    }

    /// Whether a silent worker whose lease has ended is still expected to respond as the incarnation that is known.
    fn stays_after_lease(&self, worker: &worker::Worker) -> bool {
        let is_contradicted = self.unverified.contains_key(&worker.entry.name);
        worker.listed && !worker.is_replaced && !is_contradicted
    }

    /// Returns the contents of a poll of a worker; `None` for an unknown worker and for an incarnation
    /// that has ended.
    pub fn poll(&mut self, now: Instant, key: Worker) -> Option<WorkerPoll> {
        let lease = self.rules.lease;
        let is_claim_confirmed = self.is_claim_confirmed(now);
        let worker = self
            .workers
            .get_mut(key)
            .filter(|worker| !worker.is_replaced)?;
        // A worker that was about to leave and is silent has most likely left.
        let is_in_reach = !worker.is_leaving() && now.since(worker.answered) < MAX_RESPONSE_AGE;
        // The runs of a worker whose reports have never been readable are only known once they lapse.
        let is_readable = worker.has_reported || worker.is_report_complete;
        let may_extend = is_claim_confirmed && is_readable && (worker.is_responding || is_in_reach);
        Some(WorkerPoll {
            acknowledged: worker.next_acknowledgement(),
            deadline_ms: if may_extend {
                worker.extend(now, lease)
            } else {
                None
            },
        })
    }

    pub(super) fn poll_failed(
        &mut self,
        time: Time,
        key: Worker,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        match outcome {
            Outcome::Refused(Refusal::Fenced) => out.push(Output::Superseded),
            Outcome::Refused(Refusal::OtherIncarnation) => self.replaced(key, time.now, out),
            Outcome::Refused(Refusal::OtherWorker) => self.lost_address(key, time.now, out),
            _ => {
                if let Some(worker) = self
                    .workers
                    .get_mut(key)
                    .filter(|worker| worker.is_responding)
                {
                    worker.is_responding = false;
                    out.push(event(key, worker, "silent"));
                }
            }
        }
    }

    pub(super) fn polled(
        &mut self,
        time: Time,
        key: Worker,
        sent: Instant,
        inventory: Inventory,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.read_clock(time.now, inventory.clock_ms);
        self.has_unrecorded_address |= !std::mem::replace(&mut worker.is_proven, true);
        worker.confirm_acknowledgement();
        if !worker.is_responding {
            worker.is_responding = true;
            out.push(event(key, worker, "responding"));
            self.note_inherited_response(key);
        }
        self.refute(key, sent, time.now, out);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.is_report_complete = inventory.is_complete;
        worker.may_have_unread_ends = inventory.ended.len() >= MAX_REPORTED_ENDS;
        let is_complete = inventory.is_complete && !worker.may_have_unread_ends;
        worker.has_reported |= is_complete;
        let reported: Vec<(Task, Run)> = inventory
            .running
            .iter()
            .map(|running| (running.task, running.run))
            .collect();
        for running in inventory.running {
            self.observe_running(key, running, time, out);
        }
        for ended in inventory.ended {
            self.ended(key, ended, time, out);
        }
        if is_complete {
            self.check_unreported(key, sent, &reported, time, out);
        }
        self.check_commitment(key, &reported, out);
    }

    /// Compares the runs that a worker reports with its capacity.
    fn check_commitment(&mut self, key: Worker, reported: &[(Task, Run)], out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.reported = Amount::default();
        for id in reported {
            let attempt = worker.attempts.get(id);
            worker.reported += attempt.and_then(|attempt| attempt.need).unwrap_or_default();
        }
        report_commitment(key, worker, out);
    }

    /// Releases runs that the worker should have but does not report, and repeats stop commands.
    fn check_unreported(
        &mut self,
        key: Worker,
        sent: Instant,
        reported: &[(Task, Run)],
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let stop_time = self.rules.stop_time;
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let clock_ms = worker.clock_ms_when_sent(sent).unwrap_or_default();
        let mut gone = Vec::new();
        for (&(task, run), attempt) in &mut worker.attempts {
            if attempt.state == State::Starting && time.now.since(attempt.since) >= START_TIMEOUT {
                attempt.state = State::Doubtful;
                attempt.since = time.now;
            }
            if attempt.state == State::Stopping || attempt.state == State::Doubtful {
                // A run that is being stopped uses capacity until its end, also if it is not reported.
                let is_stop_over = attempt
                    .stop_answered
                    .is_some_and(|at| at + stop_time <= sent);
                let is_reported = reported.contains(&(task, run));
                let may_retry = attempt
                    .stop_sent
                    .is_none_or(|at| time.now.since(at) > STOP_RETRY_AFTER);
                if is_stop_over && !is_reported {
                    gone.push((task, run, "stopped and not reported"));
                } else if !is_reported && attempt.note_absent(time.now, sent, clock_ms, stop_time) {
                    gone.push((task, run, "not reported after its deadline"));
                } else if may_retry && (is_stop_over || attempt.stop_answered.is_none()) {
                    attempt.stop_answered = None;
                    attempt.stop_sent = Some(time.now);
                    out.push(Output::Stop {
                        worker: key,
                        task,
                        run,
                    });
                }
            } else if attempt.state == State::Running
                && attempt.since < sent
                && !reported.contains(&(task, run))
            {
                // A later owner may have acknowledged the end. The worker refuses the next poll then.
                let since = *attempt.absent_since.get_or_insert(time.now);
                if sent >= since {
                    gone.push((task, run, "not reported"));
                }
            }
        }
        for (task, run, reason) in gone {
            self.release(key, task, run, reason, time.now, out);
        }
    }

    /// Acknowledges the end of a run once all records that were appended so far are in the log.
    pub(super) fn acknowledge(&mut self, key: Worker, number: u64) {
        let mark = self.last_mark;
        let effect = Effect::Acknowledge {
            worker: key,
            number,
        };
        if mark <= self.durable && self.effects.is_empty() {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.acknowledged = worker.acknowledged.max(number);
            }
        } else {
            self.defer(mark, effect);
        }
    }

    /// Whether the ends that a worker has reported are all in the log.
    pub fn are_ends_recorded(&self, key: Worker) -> bool {
        let worker = self.workers.get(key);
        worker.is_none_or(|worker| worker.acknowledged >= worker.last_end)
    }

    /// Notices workers that the record of workers contains although they are vacated, and those that
    /// it leaves out although they are to be used again. A worker may respond for many seconds after
    /// its last run; if the record contained it until it is gone, the next owner would start nothing
    /// before the longest lease has ended.
    pub(super) fn note_vacated_workers(&mut self) {
        let mut workers = self.workers.values();
        let is_outdated =
            workers.any(|worker| worker.is_vacated() == worker.recorded_since.is_some());
        if is_outdated {
            self.is_worker_list_recorded = false;
        }
    }

    /// Appends the record of the workers on which tasks may run, if the list has changed.
    pub(super) fn record_workers(&mut self, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.is_worker_list_recorded, true) {
            return;
        }
        let known = self.workers.values();
        let mut workers: Vec<(String, u64)> = known
            .filter(|worker| !worker.is_vacated())
            .map(|worker| (worker.entry.name.clone(), worker.entry.incarnation))
            .collect();
        // A worker of an earlier owner that has not been listed again may run tasks until its lease
        // ends.
        let unlisted = self.unlisted_inherited_workers();
        workers.extend(unlisted.map(|worker| (worker.name.clone(), worker.incarnation)));
        let mark = self.append(Key::Workers, Some(record::encode(&Workers(workers))), out);
        for worker in self.workers.values_mut() {
            if worker.is_vacated() {
                worker.recorded_since = None;
                worker.is_recorded = false;
            } else {
                worker.recorded_since.get_or_insert(mark);
            }
        }
        self.defer(mark, Effect::Recorded(mark));
    }

    /// Appends the record of the addresses at which workers have responded, if there are new ones.
    pub(super) fn record_addresses(&mut self, now: Instant, out: &mut Vec<Output>) {
        let is_due = self
            .addresses_recorded_at
            .is_none_or(|at| now.since(at) >= ADDRESSES_INTERVAL);
        if !is_due || !std::mem::take(&mut self.has_unrecorded_address) {
            return;
        }
        self.addresses_recorded_at = Some(now);
        let proven = self.workers.values().filter(|worker| worker.is_proven);
        let proven = proven.map(|worker| {
            let entry = &worker.entry;
            (entry.name.clone(), entry.incarnation, entry.address)
        });
        let inherited = self.unproven_inherited_workers().filter_map(|inherited| {
            let address = inherited.address?;
            Some((inherited.name.clone(), inherited.incarnation, address))
        });
        let addresses = proven
            .chain(inherited)
            .take(MAX_RECORDED_ADDRESSES)
            .collect();
        let record = record::encode(&Addresses(addresses));
        self.append(Key::Addresses, Some(record), out);
    }

    /// Returns the known workers.
    pub fn workers(&self) -> impl Iterator<Item = Worker> {
        self.workers.keys()
    }
}

/// Reports when the runs of a worker begin to exceed its capacity, and when they no longer do.
fn report_commitment(key: Worker, worker: &mut worker::Worker, out: &mut Vec<Output>) {
    let is_overcommitted = worker.is_overcommitted();
    let was_overcommitted = std::mem::replace(&mut worker.was_overcommitted, is_overcommitted);
    match (was_overcommitted, is_overcommitted) {
        (false, true) => out.push(event(key, worker, OVERCOMMITTED)),
        (true, false) => out.push(event(key, worker, "within its capacity")),
        _ => {}
    }
}

fn event(key: Worker, worker: &worker::Worker, event: &'static str) -> Output {
    Output::Worker {
        worker: key,
        name: worker.entry.name.clone(),
        incarnation: worker.entry.incarnation,
        address: worker.entry.address,
        event,
    }
}
