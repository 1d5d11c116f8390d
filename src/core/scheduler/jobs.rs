//! Accepts, recovers, cancels and ends jobs.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::id::{self, Mark, Request};
use super::job::{Job, Occurrence, TaskState};
use super::message::{Answer, Output};
use super::record::{Addresses, Key, Phase, Progress, Record, Workers, encode};
use super::spec::{Queue, Spec};
use super::worker::Entry;
use super::{Effect, Scheduler, Time, answer};
use crate::core::account;
use crate::core::error::{Error, Kind};
use crate::core::queue::{Endpoint, Locator, QueueBinding, Registry};
use crate::core::time::{Instant, Stamp};

/// The shortest retry delay for jobs of urgent queues while the log takes no appends, in whole
/// seconds. Outages last some seconds, and a client that retries sooner is refused again. The delay
/// is shorter than for other jobs, since the results of lookups lose their use sooner.
const URGENT_RETRY_S: u64 = 1;
/// The shortest retry delay for jobs of other queues, in whole seconds.
const NORMAL_RETRY_S: u64 = 2;
/// Retries are spread over this many seconds, so that clients don't retry all at once.
const RETRY_SPREAD_S: u64 = 2;
/// How much longer than `Rules::status_kept` an ended job is kept, for status responses that are
/// late.
const STATUS_MARGIN: Duration = Duration::from_secs(10);

impl Scheduler {
    #[allow(clippy::too_many_arguments, reason = "the fields of one input")]
    pub(super) fn submit(
        &mut self,
        time: Time,
        request: Request,
        id: id::Job,
        queue: Queue,
        endpoint: Option<Endpoint>,
        spec: Arc<Spec>,
        account: Option<account::Name>,
        at: Stamp,
        out: &mut Vec<Output>,
    ) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let named = Locator::new(endpoint.as_ref(), &queue.name);
            let is_same = self.queues.is_same(job.locator(), named);
            if !is_same || !job.is_visible_to(account.as_ref()) {
                out.push(id_in_use(request));
            } else if job.is_durable {
                out.push(answer(request, Answer::Accepted));
            } else {
                job.submitters.push(request);
            }
            return;
        }
        if !self.is_log_reachable {
            out.push(log_unavailable(request, id, &queue));
            return;
        }
        if let Err(error) = self.check_gangs(account.as_ref(), &spec) {
            out.push(Output::Answer {
                request,
                answer: Err(error),
            });
            return;
        }
        let admitted = account.as_ref().map(|name| self.admit(name, time.now));
        let is_surplus = match admitted {
            Some(Err(error)) => {
                out.push(Output::Answer {
                    request,
                    answer: Err(error),
                });
                return;
            }
            Some(Ok(is_surplus)) => is_surplus,
            None => false,
        };
        self.services.insert(queue.service.clone());
        let record = Record::Accepted {
            at,
            queue: queue.clone(),
            spec: Spec::clone(&spec),
            account: account.clone(),
            is_surplus,
            endpoint: endpoint.clone(),
        };
        let mut job = new_job(queue, endpoint, spec, at, time.now);
        job.account = account;
        job.is_surplus = is_surplus;
        job.last_run = self.first_run();
        job.submitters.push(request);
        self.jobs.insert(id, job);
        self.unstarted.insert(id);
        let mark = self.append(Key::Job(id), Some(encode(&record)), out);
        self.defer(mark, Effect::Accepted(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.accepted_mark = mark;
        }
        self.activate(id, time);
    }

    /// Withdraws the jobs whose acceptance was not sent to the log. The log takes no records, and
    /// since these were never sent, the response that nothing was accepted is true.
    pub(super) fn withdraw(&mut self, sent: Mark, out: &mut Vec<Output>) {
        let unsent: Vec<id::Job> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.is_durable && job.accepted_mark > sent)
            .map(|(&id, _)| id)
            .collect();
        for id in unsent {
            let Some(job) = self.jobs.remove(&id) else {
                continue;
            };
            self.unstarted.remove(&id);
            self.remove_ready_steps(id, &job.occurrences);
            self.scheduled.retain(|&(_, other)| other != id);
            self.ended.retain(|&(_, other)| other != id);
            self.effects.retain(|(_, effect)| !effect.is_of(id));
            out.push(Output::Withdraw {
                key: Key::Job(id).encode(),
            });
            for request in job.submitters {
                out.push(log_unavailable(request, id, &job.queue));
            }
            for request in job.cancellers {
                out.push(answer(request, Answer::Gone));
            }
        }
    }

    /// Restores one record of the log. Must be called before any input is processed.
    ///
    /// Returns `false` for a record that is not one of the scheduler's or cannot be decoded; such a
    /// record is ignored.
    pub fn restore_record(&mut self, time: Time, key: &[u8], value: &[u8]) -> bool {
        match Key::decode(key) {
            Some(Key::Job(id)) => {
                let Ok(record) = ciborium::from_reader::<Record, _>(value) else {
                    return false;
                };
                self.recover_job(time, id, record);
                true
            }
            Some(Key::Progress(id)) => {
                let Ok(progress) = ciborium::from_reader::<Progress, _>(value) else {
                    return false;
                };
                // A progress record may precede the record of its job: no order of pages is assumed.
                self.recovered_progress.insert(id, progress);
                true
            }
            Some(Key::Workers) => {
                let Ok(Workers(workers)) = ciborium::from_reader(value) else {
                    return false;
                };
                self.recovered_workers = workers;
                true
            }
            Some(Key::Addresses) => {
                let Ok(Addresses(addresses)) = ciborium::from_reader(value) else {
                    return false;
                };
                self.recovered_addresses = addresses;
                true
            }
            Some(Key::Losses) => {
                let Ok(losses) = ciborium::from_reader(value) else {
                    return false;
                };
                self.losses = losses;
                true
            }
            None => false,
        }
    }

    fn recover_job(&mut self, time: Time, id: id::Job, record: Record) {
        match record {
            Record::Accepted {
                at,
                queue,
                spec,
                account,
                is_surplus,
                endpoint,
            } => {
                let age = time.stamp.since(at);
                self.services.insert(queue.service.clone());
                let mut job = new_job(queue, endpoint, Arc::new(spec), at, time.now - age);
                job.account = account;
                job.is_surplus = is_surplus;
                job.last_run = self.first_run();
                job.is_durable = true;
                job.is_inherited = true;
                self.jobs.insert(id, job);
                self.unstarted.insert(id);
            }
            Record::Ended {
                at,
                queue,
                phase,
                account,
                remainder,
                endpoint,
            } => {
                let queue = Queue::named(queue);
                let mut job = new_job(queue, endpoint, Arc::new(Spec::empty()), at, time.now);
                job.account = account;
                job.is_durable = true;
                job.is_end_durable = true;
                job.is_inherited = true;
                job.phase = phase;
                job.remainder = remainder;
                let ended = time.now - time.stamp.since(at);
                self.ended.push_back((ended, id));
                self.jobs.insert(id, job);
                self.unstarted.remove(&id);
            }
        }
    }

    /// Activates the recovered jobs. Must be called once all records have been restored.
    pub fn finish_recovery(&mut self, time: Time, out: &mut Vec<Output>) {
        self.active_at = time.now;
        let workers = std::mem::take(&mut self.recovered_workers);
        let addresses = std::mem::take(&mut self.recovered_addresses);
        self.inherit_workers(time.now, workers, &addresses);
        let progress = std::mem::take(&mut self.recovered_progress);
        self.drop_outdated_progress(&progress, out);
        let unfinished: Vec<id::Job> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.phase.is_final())
            .map(|(&id, _)| id)
            .collect();
        for id in unfinished {
            if let (Some(job), Some(progress)) = (self.jobs.get_mut(&id), progress.get(&id)) {
                job.restore(progress);
            }
            self.activate(id, time);
            self.fail_exhausted(id, time, out);
            self.fail_convicted(id, time, out);
            self.complete_if_done(id, time, out);
        }
        self.inherit_accounts();
        self.recover_intake(time.now);
        self.ended.make_contiguous().sort_unstable();
    }

    /// Drops the progress of ended jobs from the log: the earlier owner recorded the end, but not the
    /// deletion. A later job with the same id would begin with it.
    fn drop_outdated_progress(
        &mut self,
        progress: &HashMap<id::Job, Progress>,
        out: &mut Vec<Output>,
    ) {
        for &id in progress.keys() {
            let job = self.jobs.get(&id);
            if job.is_some_and(|job| job.phase.is_final()) {
                self.append(Key::Progress(id), None, out);
            }
        }
    }

    /// Ends a job that has used up its attempts: the earlier owner recorded the last failed run, but
    /// not the end of the job.
    fn fail_exhausted(&mut self, id: id::Job, time: Time, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let attempts = usize::from(job.queue.attempts);
        let is_exhausted = job.occurrences.values().any(|occurrence| {
            occurrence
                .steps
                .iter()
                .zip(&job.spec.steps)
                .any(|(step, spec)| {
                    !spec.long_running
                        && step.tasks.iter().any(|task| task.failed.len() >= attempts)
                })
        });
        if is_exhausted {
            self.end(id, Phase::Failed, "too many failed runs", time, out);
        }
    }

    /// Begins the occurrences of a job that are due and schedules the next one.
    fn activate(&mut self, id: id::Job, time: Time) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.spec.schedule.is_some() {
            if let Some(due) = next_due(job) {
                self.scheduled.insert((due, id));
            }
        } else if job.next_occurrence == 0 {
            job.begin_next_occurrence();
        }
        self.refresh_ready(id, time.now);
        self.begin_occurrences(time);
    }

    /// Begins the occurrences that are due.
    pub(super) fn begin_occurrences(&mut self, time: Time) {
        while let Some(&(due, id)) = self.scheduled.first() {
            if due > time.stamp {
                return;
            }
            self.scheduled.pop_first();
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final()) else {
                continue;
            };
            job.begin_next_occurrence();
            if let Some(due) = next_due(job) {
                self.scheduled.insert((due, id));
            }
            self.refresh_ready(id, time.now);
            self.is_dirty = true;
        }
    }

    /// Begins the occurrences of a job up to that of `step`, of which a worker reports a run: an earlier
    /// owner, whose time of day was ahead, has begun them.
    pub(super) fn begin_reported_occurrence(&mut self, step: id::Step, now: Instant) {
        let id = step.job;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final()) else {
            return;
        };
        let unbegun = job.next_occurrence..job.spec.occurrences();
        if !unbegun.contains(&step.occurrence) {
            return;
        }
        if let Some(due) = next_due(job) {
            self.scheduled.remove(&(due, id));
        }
        while job.next_occurrence <= step.occurrence {
            job.begin_next_occurrence();
        }
        if let Some(due) = next_due(job) {
            self.scheduled.insert((due, id));
        }
        self.refresh_ready(id, now);
    }

    /// Updates the set of ready steps for the steps of a job.
    pub(super) fn refresh_ready(&mut self, id: id::Job, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_final = job.phase.is_final();
        let spec = Arc::clone(&job.spec);
        for (&index, occurrence) in &mut job.occurrences {
            for step in 0..spec.steps.len() as u16 {
                let is_ready = !is_final
                    && occurrence.steps[usize::from(step)].waiting > 0
                    && occurrence.is_ready(&spec, step);
                let key = id::Step {
                    job: id,
                    occurrence: index,
                    index: step,
                };
                let state = &mut occurrence.steps[usize::from(step)];
                if is_ready {
                    state.waiting_since.get_or_insert(now);
                    self.ready.insert(key);
                } else {
                    state.waiting_since = None;
                    self.ready.remove(&key);
                }
            }
        }
    }

    pub(super) fn cancel(
        &mut self,
        time: Time,
        request: Request,
        id: id::Job,
        queue: Locator<'_>,
        account: Option<&account::Name>,
        out: &mut Vec<Output>,
    ) {
        let job = self.jobs.get_mut(&id);
        let job = job.filter(|job| self.queues.is_same(job.locator(), queue));
        let Some(job) = job.filter(|job| job.is_visible_to(account)) else {
            out.push(answer(request, Answer::Gone));
            return;
        };
        if job.phase.is_final() && job.is_end_durable {
            out.push(answer(request, Answer::Cancelled));
            return;
        }
        job.cancellers.push(request);
        if !job.phase.is_final() {
            self.end(id, Phase::Cancelled, "cancelled by its client", time, out);
        }
    }

    /// Records that a worker has begun a run of a job.
    pub(super) fn begun(&mut self, id: id::Job, out: &mut Vec<Output>) {
        let job = self.jobs.get_mut(&id);
        if let Some(job) = job.filter(|job| job.phase == Phase::Queued) {
            job.phase = Phase::Running;
            self.unstarted.remove(&id);
            out.push(Output::Phase {
                job: id,
                phase: Phase::Running,
                reason: "first task started",
            });
        }
    }

    /// Ends a job: appends its end to the log and stops its runs.
    pub(super) fn end(
        &mut self,
        id: id::Job,
        phase: Phase,
        reason: &'static str,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let remainder = self.remainder(id, time);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = phase;
        job.remainder = remainder;
        self.unstarted.remove(&id);
        let record = Record::Ended {
            at: time.stamp,
            queue: job.queue.name.clone(),
            phase,
            account: job.account.clone(),
            remainder,
            endpoint: job.endpoint.clone(),
        };
        let occurrences = std::mem::take(&mut job.occurrences);
        let has_progress = job.progress_mark > Mark(0) || job.is_inherited;
        out.push(Output::Phase {
            job: id,
            phase,
            reason,
        });
        self.remove_ready_steps(id, &occurrences);
        for occurrence in occurrences.values() {
            self.stop_active(id, occurrence, time.now, out);
        }
        let mark = self.append(Key::Job(id), Some(encode(&record)), out);
        self.defer(mark, Effect::Ended(id));
        // The next owner may find only the first of these records.
        if has_progress {
            self.append(Key::Progress(id), None, out);
        }
        self.ended.push_back((time.now, id));
    }

    fn remove_ready_steps(&mut self, id: id::Job, occurrences: &BTreeMap<u32, Occurrence>) {
        for (&index, occurrence) in occurrences {
            for step in 0..occurrence.steps.len() as u16 {
                self.ready.remove(&id::Step {
                    job: id,
                    occurrence: index,
                    index: step,
                });
            }
        }
    }

    fn stop_active(
        &mut self,
        id: id::Job,
        occurrence: &Occurrence,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        for step in &occurrence.steps {
            for task in &step.tasks {
                if let TaskState::Active { worker, run } = task.state {
                    self.stop_run_of(worker, run, id, now, out);
                }
            }
        }
    }

    /// Drops complete occurrences, and ends the job when all occurrences have begun and none is left.
    pub(super) fn complete_if_done(&mut self, id: id::Job, time: Time, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final()) else {
            return;
        };
        job.occurrences
            .retain(|_, occurrence| !occurrence.is_complete());
        let all_begun = job.next_occurrence >= job.spec.occurrences();
        if all_begun && job.occurrences.is_empty() {
            self.end(id, Phase::Completed, "all tasks are done", time, out);
        }
    }

    /// Appends the progress record of a job and returns its mark.
    pub(super) fn record_progress(&mut self, id: id::Job, out: &mut Vec<Output>) -> Mark {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.phase.is_final()) else {
            return self.last_mark;
        };
        let bytes = encode(&job.progress());
        let mark = self.append(Key::Progress(id), Some(bytes), out);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.progress_mark = mark;
        }
        mark
    }

    /// Drops the ended jobs whose status need not be reported any more, also from the log.
    pub(super) fn drop_expired_jobs(&mut self, now: Instant, out: &mut Vec<Output>) {
        let kept = self.rules.status_kept + STATUS_MARGIN;
        while let Some(&(at, id)) = self.ended.front() {
            if now.since(at) < kept {
                return;
            }
            self.ended.pop_front();
            if self.jobs.remove(&id).is_some() {
                self.append(Key::Job(id), None, out);
            }
        }
    }

    pub(super) fn set_queues(
        &mut self,
        now: Instant,
        bindings: Vec<QueueBinding>,
        out: &mut Vec<Output>,
    ) {
        for binding in &bindings {
            self.services.insert(binding.queue.service.clone());
        }
        self.queues = Registry::new(bindings);
        for job in self.jobs.values_mut() {
            if let Some((endpoint, queue)) = self.queues.find(job.locator()) {
                job.endpoint.get_or_insert_with(|| endpoint.clone());
                job.queue.clone_from(queue);
            }
        }
        let services = &self.services;
        let named = self
            .unnamed
            .extract_if(|_, entry| services.contains(&entry.service));
        let named: Vec<Entry> = named.map(|(_, entry)| entry).collect();
        for entry in named {
            self.listed(now, entry, out);
        }
    }
}

/// Refuses a submission with the id of a job of another queue or client account.
fn id_in_use(request: Request) -> Output {
    let error = Error::new(Kind::Conflict, "the id is in use; choose another one");
    Output::Answer {
        request,
        answer: Err(error),
    }
}

/// Refuses a request whose record the log does not take, with a delay after which to retry.
fn log_unavailable(request: Request, id: id::Job, queue: &Queue) -> Output {
    let min_delay = if queue.is_urgent() {
        URGENT_RETRY_S
    } else {
        NORMAL_RETRY_S
    };
    let delay = Duration::from_secs(min_delay + id.0 % RETRY_SPREAD_S);
    let error = Error::new(Kind::LogDown, "the log takes no records now; retry later");
    Output::Answer {
        request,
        answer: Err(error.with_retry_after(delay)),
    }
}

fn new_job(
    queue: Queue,
    endpoint: Option<Endpoint>,
    spec: Arc<Spec>,
    at: Stamp,
    accepted_at: Instant,
) -> Job {
    let payload = Arc::from(spec.payload.as_str());
    Job {
        queue,
        endpoint,
        account: None,
        payload,
        chains: spec.chains(),
        spec,
        accepted: at,
        accepted_at,
        phase: Phase::Queued,
        is_durable: false,
        is_end_durable: false,
        occurrences: BTreeMap::new(),
        next_occurrence: 0,
        last_run: id::Run(0),
        submitters: Vec::new(),
        cancellers: Vec::new(),
        is_inherited: false,
        is_surplus: false,
        remainder: None,
        accepted_mark: Mark(0),
        progress_mark: Mark(0),
    }
}

/// Returns when the next occurrence of a scheduled job is due, if any is left.
fn next_due(job: &Job) -> Option<Stamp> {
    let is_left = job.next_occurrence < job.spec.occurrences();
    is_left.then(|| job.spec.due(job.next_occurrence)).flatten()
}
