//! Workers that come, answer, fall silent and go.

use std::time::Duration;

use super::id::{Run, Task, Worker};
use super::message::{Inventory, Outcome, Output, Refusal};
use super::record::{self, Key, Workers};
use super::worker::{self, Entry, State};
use super::{Effect, Look, Scheduler, Time};
use crate::core::time::Instant;

/// A lease is extended only while the last answer is younger than this: a worker that gets our
/// looks but whose answers are lost must lose its lease some time.
const EXTEND_WITHIN: Duration = Duration::from_millis(2_500);
/// How many ends a worker lists at most in one answer; from the platform's description.
const ENDS_PER_ANSWER: usize = 500;
/// How long a stop may take to be answered before it is sent again.
const STOP_REPEAT: Duration = Duration::from_millis(400);

impl Scheduler {
    pub(super) fn listed(&mut self, now: Instant, entry: Entry, out: &mut Vec<Output>) {
        if let Some(&key) = self.by_name.get(&entry.name) {
            let Some(worker) = self.workers.get_mut(key) else {
                return;
            };
            if worker.entry.incarnation == entry.incarnation {
                let was_usable = worker.listed && !worker.entry.draining;
                worker.entry = entry;
                worker.listed = true;
                if was_usable && worker.entry.draining {
                    out.push(event(key, "draining"));
                }
                return;
            }
            if worker.entry.incarnation > entry.incarnation {
                return;
            }
            self.remove_worker(key, now, "restarted", out);
        }
        let name = entry.name.clone();
        let worker = worker::Worker::new(entry, now, self.rules.max_lease);
        let key = self.workers.insert(worker);
        self.by_name.insert(name, key);
        self.are_workers_noted = false;
        out.push(event(key, "listed"));
    }

    /// A worker that is listed no more gets nothing new; what it runs counts until its lease ends.
    pub(super) fn unlisted(&mut self, name: &str, out: &mut Vec<Output>) {
        let Some(&key) = self.by_name.get(name) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.listed = false;
            out.push(event(key, "unlisted"));
        }
    }

    /// Drops a worker whose runs have all ended.
    fn remove_worker(
        &mut self,
        key: Worker,
        now: Instant,
        reason: &'static str,
        out: &mut Vec<Output>,
    ) {
        self.release_all(key, now);
        if let Some(worker) = self.workers.remove(key) {
            self.by_name.remove(&worker.entry.name);
            self.are_workers_noted = false;
            out.push(event(key, reason));
        }
    }

    /// Puts back to waiting all that a worker had.
    fn release_all(&mut self, key: Worker, now: Instant) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let runs: Vec<(Task, Run)> = worker.attempts.keys().copied().collect();
        for (task, run) in runs {
            self.release(key, task, run, now);
        }
    }

    /// Gives up on the runs of workers whose leases have surely ended.
    pub(super) fn release_lapsed(&mut self, time: Time, out: &mut Vec<Output>) {
        let lapsed: Vec<Worker> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.in_touch && time.now >= worker.lease_end())
            .filter(|(_, worker)| !worker.attempts.is_empty() || !worker.listed)
            .map(|(key, _)| key)
            .collect();
        for key in lapsed {
            self.is_dirty = true;
            if self.workers.get(key).is_some_and(|worker| worker.listed) {
                self.release_all(key, time.now);
                out.push(event(key, "lease ended without an answer"));
            } else {
                self.remove_worker(key, time.now, "gone", out);
            }
        }
    }

    /// Returns what a look at a worker carries; `None` for an unknown worker.
    pub fn look(&mut self, now: Instant, key: Worker) -> Option<Look> {
        let lease = self.rules.lease;
        let worker = self.workers.get_mut(key)?;
        let is_heard = worker.in_touch || now.since(worker.answered) < EXTEND_WITHIN;
        Some(Look {
            acknowledged: worker.acknowledged,
            deadline_ms: if is_heard {
                worker.extend(now, lease)
            } else {
                None
            },
        })
    }

    pub(super) fn look_failed(
        &mut self,
        time: Time,
        key: Worker,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        match outcome {
            Outcome::Refused(Refusal::Fenced) => out.push(Output::Superseded),
            Outcome::Refused(Refusal::OtherIncarnation) => {
                self.remove_worker(key, time.now, "restarted", out);
            }
            _ => {
                if let Some(worker) = self.workers.get_mut(key).filter(|worker| worker.in_touch) {
                    worker.in_touch = false;
                    out.push(event(key, "silent"));
                }
            }
        }
    }

    pub(super) fn looked(
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
        if !worker.in_touch {
            worker.in_touch = true;
            worker.surveyed = true;
            out.push(event(key, "in touch"));
        }
        let is_complete = inventory.ended.len() < ENDS_PER_ANSWER;
        let listed: Vec<(Task, Run)> = inventory
            .running
            .iter()
            .map(|running| (running.task, running.run))
            .collect();
        for running in inventory.running {
            self.seen_running(key, running, time, out);
        }
        for ended in inventory.ended {
            self.ended(key, ended, time, out);
        }
        if is_complete {
            self.settle_unlisted(key, sent, &listed, time, out);
        }
    }

    /// Judges the runs that a worker should have and did not list.
    fn settle_unlisted(
        &mut self,
        key: Worker,
        sent: Instant,
        listed: &[(Task, Run)],
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let mut gone = Vec::new();
        for (&(task, run), attempt) in &mut worker.attempts {
            if attempt.state == State::Stopping || attempt.state == State::Doubtful {
                let is_void = attempt.stop_answered.is_some_and(|at| at < sent);
                let is_listed = listed.contains(&(task, run));
                if is_void && !is_listed {
                    gone.push((task, run));
                } else if attempt.stop_answered.is_none()
                    && attempt
                        .stop_sent
                        .is_none_or(|at| time.now.since(at) > STOP_REPEAT)
                {
                    attempt.stop_sent = Some(time.now);
                    out.push(Output::Stop {
                        worker: key,
                        task,
                        run,
                    });
                }
            } else if attempt.state == State::Running
                && attempt.since < sent
                && !listed.contains(&(task, run))
            {
                gone.push((task, run));
            }
        }
        for (task, run) in gone {
            self.release(key, task, run, time.now);
        }
    }

    /// Acknowledges an end once all that was appended so far is in the log.
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
            self.after(mark, effect);
        }
    }

    /// Whether the ends that a worker listed are all in the log.
    pub fn is_settled(&self, key: Worker) -> bool {
        let worker = self.workers.get(key);
        worker.is_none_or(|worker| worker.acknowledged >= worker.seen)
    }

    /// Whether every task of the owners before is known or has ended: each worker that they may have
    /// started something on has answered, has restarted or can hold no lease any more.
    pub(super) fn is_survey_complete(&self, now: Instant) -> bool {
        let longest_lease = self.rules.max_lease + self.rules.max_lease / 20;
        let is_known = |name: &String, incarnation: u64| {
            let worker = self
                .by_name
                .get(name)
                .and_then(|&key| self.workers.get(key));
            worker.is_some_and(|worker| worker.surveyed || worker.entry.incarnation > incarnation)
        };
        now.since(self.began) >= longest_lease
            || self
                .inherited_workers
                .iter()
                .all(|(name, incarnation)| is_known(name, *incarnation))
    }

    /// Notes in the log which workers may run something, if that has changed.
    pub(super) fn note_workers(&mut self, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.are_workers_noted, true) {
            return;
        }
        let known = self.workers.values();
        let mut workers: Vec<(String, u64)> = known
            .map(|worker| (worker.entry.name.clone(), worker.entry.incarnation))
            .collect();
        // Those that have not been listed again yet may still run something for a lease's time.
        let unlisted = self
            .inherited_workers
            .iter()
            .filter(|(name, _)| !self.by_name.contains_key(name));
        workers.extend(unlisted.cloned());
        let mark = self.append(Key::Workers, Some(record::encode(&Workers(workers))), out);
        let keys: Vec<Worker> = self.workers.keys().collect();
        self.after(mark, Effect::Recorded(keys));
    }

    /// Returns the workers to look at.
    pub fn workers(&self) -> impl Iterator<Item = Worker> {
        self.workers.keys()
    }
}

fn event(worker: Worker, event: &'static str) -> Output {
    Output::Worker { worker, event }
}
