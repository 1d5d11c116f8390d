//! Accepting, recovering, cancelling and ending jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::id::{self, Mark, Request};
use super::job::{Job, Occurrence, Place};
use super::message::{Answer, Output};
use super::record::{Key, Phase, Progress, Record, Workers, encode};
use super::spec::{Queue, Spec};
use super::{Effect, Scheduler, Time, answer};
use crate::core::error::{Error, Kind};
use crate::core::time::{Instant, Stamp};

/// When to come back at the earliest while the log takes no appends, in whole seconds: outages last
/// some seconds, and a client that comes back sooner is refused again. Lookups are of use sooner.
const URGENT_RETRY_S: u64 = 1;
/// The same for jobs that have time.
const PATIENT_RETRY_S: u64 = 2;
/// Clients are spread over so many seconds, so that they don't return all at once.
const RETRY_SPREAD_S: u64 = 2;
/// How much longer than promised an ended job is kept, for answers that are late.
const STATUS_MARGIN: Duration = Duration::from_secs(10);

impl Scheduler {
    #[allow(clippy::too_many_arguments, reason = "the fields of one input")]
    pub(super) fn submit(
        &mut self,
        time: Time,
        request: Request,
        id: id::Job,
        queue: Queue,
        spec: Arc<Spec>,
        at: Stamp,
        out: &mut Vec<Output>,
    ) {
        if let Some(job) = self.jobs.get_mut(&id) {
            if job.is_durable {
                out.push(answer(request, Answer::Accepted));
            } else {
                job.submitters.push(request);
            }
            return;
        }
        if !self.is_log_reachable {
            out.push(log_down(request, id, &queue));
            return;
        }
        let record = Record::Accepted {
            at,
            queue: queue.clone(),
            spec: Spec::clone(&spec),
        };
        let mut job = new_job(queue, spec, at, time.now);
        job.last_run = self.first_run();
        job.submitters.push(request);
        self.jobs.insert(id, job);
        let mark = self.append(Key::Job(id), Some(encode(&record)), out);
        self.after(mark, Effect::Accepted(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.accepted_mark = mark;
        }
        self.open(id, time);
    }

    /// Takes back the jobs whose acceptance was not sent to the log: it takes no records, and their
    /// clients can be told truthfully that nothing was accepted.
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
            self.drop_steps(id, &job.occurrences);
            self.scheduled.retain(|&(_, other)| other != id);
            self.effects.retain(|(_, effect)| !effect.is_of(id));
            out.push(Output::Withdraw {
                key: Key::Job(id).encode(),
            });
            for request in job.submitters {
                out.push(log_down(request, id, &job.queue));
            }
            for request in job.cancellers {
                out.push(answer(request, Answer::Gone));
            }
        }
    }

    /// Takes in one record of the log, before anything else.
    ///
    /// Records of something else are left alone.
    pub fn recover(&mut self, time: Time, key: &[u8], value: &[u8]) -> bool {
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
                // Progress may come before its job; pages have no order that we rely on.
                self.recovered_progress.insert(id, progress);
                true
            }
            Some(Key::Workers) => {
                let Ok(Workers(workers)) = ciborium::from_reader(value) else {
                    return false;
                };
                self.inherited_workers = workers;
                true
            }
            None => false,
        }
    }

    fn recover_job(&mut self, time: Time, id: id::Job, record: Record) {
        match record {
            Record::Accepted { at, queue, spec } => {
                let age = time.stamp.since(at);
                let mut job = new_job(queue, Arc::new(spec), at, time.now - age);
                job.last_run = self.first_run();
                job.is_durable = true;
                job.is_inherited = true;
                self.jobs.insert(id, job);
            }
            Record::Ended { at, queue, phase } => {
                let queue = Queue::named(queue);
                let mut job = new_job(queue, Arc::new(Spec::empty()), at, time.now);
                job.is_durable = true;
                job.is_end_durable = true;
                job.phase = phase;
                let ended = time.now - time.stamp.since(at);
                self.ended.push_back((ended, id));
                self.jobs.insert(id, job);
            }
        }
    }

    /// Opens the recovered jobs, once all records were taken in.
    pub fn recovered(&mut self, time: Time, out: &mut Vec<Output>) {
        let progress = std::mem::take(&mut self.recovered_progress);
        let open: Vec<id::Job> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.phase.is_final())
            .map(|(&id, _)| id)
            .collect();
        for id in open {
            if let (Some(job), Some(progress)) = (self.jobs.get_mut(&id), progress.get(&id)) {
                job.restore(progress);
                if job.has_started {
                    job.phase = Phase::Running;
                }
            }
            self.open(id, time);
            self.fail_exhausted(id, time, out);
            self.complete_if_done(id, time, out);
        }
        self.ended.make_contiguous().sort_unstable();
    }

    /// Ends a job whose record of the last failed run went ahead of its end.
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

    /// Begins what of a job is due, and notes when the rest is.
    fn open(&mut self, id: id::Job, time: Time) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.spec.schedule.is_some() {
            if let Some(due) = next_due(job) {
                self.scheduled.insert((due, id));
            }
        } else if job.next_occurrence == 0 {
            job.occurrences.insert(0, Occurrence::new(&job.spec));
            job.next_occurrence = 1;
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
            let index = job.next_occurrence;
            job.occurrences.insert(index, Occurrence::new(&job.spec));
            job.next_occurrence += 1;
            if let Some(due) = next_due(job) {
                self.scheduled.insert((due, id));
            }
            self.refresh_ready(id, time.now);
            self.is_dirty = true;
        }
    }

    /// Notes which steps of a job have tasks to start.
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
                if is_ready {
                    let state = &mut occurrence.steps[usize::from(step)];
                    state.ready_at.get_or_insert(now);
                    self.ready.insert(key);
                } else {
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
        queue: &str,
        _at: Stamp,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.queue.name == queue) else {
            out.push(answer(request, Answer::Gone));
            return;
        };
        if job.phase.is_final() && job.is_end_durable {
            out.push(answer(request, Answer::Cancelled));
            return;
        }
        job.cancellers.push(request);
        if !job.phase.is_final() {
            self.end(id, Phase::Cancelled, "its client cancelled it", time, out);
        }
    }

    /// Ends a job: records it and stops what runs.
    pub(super) fn end(
        &mut self,
        id: id::Job,
        phase: Phase,
        reason: &'static str,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = phase;
        let record = Record::Ended {
            at: time.stamp,
            queue: job.queue.name.clone(),
            phase,
        };
        let occurrences = std::mem::take(&mut job.occurrences);
        let has_progress = job.progress_mark > Mark(0) || job.is_inherited;
        out.push(Output::Phase {
            job: id,
            phase,
            reason,
        });
        self.drop_steps(id, &occurrences);
        for occurrence in occurrences.values() {
            self.stop_active(id, occurrence, time.now, out);
        }
        if has_progress {
            self.append(Key::Progress(id), None, out);
        }
        let mark = self.append(Key::Job(id), Some(encode(&record)), out);
        self.after(mark, Effect::Ended(id));
        self.ended.push_back((time.now, id));
    }

    fn drop_steps(&mut self, id: id::Job, occurrences: &BTreeMap<u32, Occurrence>) {
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
                if let Place::Active { worker, run } = task.place {
                    self.stop_run_of(worker, run, id, now, out);
                }
            }
        }
    }

    /// Completes a job all of whose occurrences are done.
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

    /// Appends what has been achieved of a job and returns the record's mark.
    pub(super) fn note_progress(&mut self, id: id::Job, out: &mut Vec<Output>) -> Mark {
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

    /// Drops the jobs that need not be answered for any more.
    pub(super) fn forget_ended(&mut self, now: Instant, out: &mut Vec<Output>) {
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

    pub(super) fn set_queues(&mut self, queues: Vec<Queue>) {
        self.queues = queues
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect();
        for job in self.jobs.values_mut() {
            if let Some(queue) = self.queues.get(&job.queue.name) {
                job.queue.clone_from(queue);
            }
        }
    }
}

/// Refuses a request whose record the log does not take.
fn log_down(request: Request, id: id::Job, queue: &Queue) -> Output {
    let least = if queue.priority == 0 {
        URGENT_RETRY_S
    } else {
        PATIENT_RETRY_S
    };
    let after = Duration::from_secs(least + id.0 % RETRY_SPREAD_S);
    let error = Error::new(Kind::LogDown, "the log takes no records now; come back");
    Output::Answer {
        request,
        answer: Err(error.with_retry_after(after)),
    }
}

fn new_job(queue: Queue, spec: Arc<Spec>, at: Stamp, accepted_at: Instant) -> Job {
    let payload = Arc::from(spec.payload.as_str());
    Job {
        queue,
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
        has_started: false,
        accepted_mark: Mark(0),
        progress_mark: Mark(0),
    }
}

/// Returns when the next occurrence of a scheduled job is due, if any is left.
fn next_due(job: &Job) -> Option<Stamp> {
    let is_left = job.next_occurrence < job.spec.occurrences();
    is_left.then(|| job.spec.due(job.next_occurrence)).flatten()
}
