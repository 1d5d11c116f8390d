//! What an owner knows of a worker: its room, its lease and what may run there.
//!
//! Room is taken from the decision to start until the run surely is not there any more: an answer
//! that was lost, a stop under way and a worker that does not answer keep it taken.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::{message, state, value};

use super::id::{Run, Task};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// How much slower than ours a worker's clock may be; from the platform's description.
const CLOCK_DRIFT: f64 = 0.02;
/// What is left at least of a run whose end is not listed.
const SHORTEST_REST: Duration = Duration::from_millis(100);
/// Added to the computed end of a lease, for the time that killing takes.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// A worker, as the directory lists it.
#[message]
pub struct Entry {
    /// The name that it keeps over restarts.
    pub name: String,
    /// Tells the lives of a worker apart; the time of its start.
    pub incarnation: u64,
    /// Where it answers.
    pub address: SocketAddr,
    /// The service whose tasks it runs.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// What it holds.
    pub capacity: Amount,
    /// Its labels.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: Option<String>,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
}

/// What a worker does with a run.
#[value]
pub enum State {
    /// The start was sent; no answer yet.
    Starting,
    /// The start's answer was lost: it may run or be started later.
    Doubtful,
    /// Surely started and not known to have ended.
    Running,
    /// To be stopped; its room is free when its end is listed.
    Stopping,
}

/// A run that a worker may have.
#[state]
pub struct Attempt {
    /// What it needs.
    pub need: Amount,
    /// What the worker does with it.
    pub state: State,
    /// When the state was entered.
    pub since: Instant,
    /// When it was decided.
    pub started: Instant,
    /// How long its client expected it to take.
    pub estimate: Duration,
    /// When the last stop was sent, if any.
    pub stop_sent: Option<Instant>,
    /// When a stop was answered: a later start of this run is void.
    pub stop_answered: Option<Instant>,
    /// How much of its work is done, in percent.
    pub percent: u8,
}

impl Attempt {
    /// Returns when it should end, at the pace that it has shown.
    pub fn expected_end(&self, now: Instant) -> Instant {
        let spent = now.since(self.started);
        let left = match self.percent {
            0 => self.estimate.saturating_sub(spent),
            percent => spent.mul_f64(f64::from(100 - percent.min(100)) / f64::from(percent)),
        };
        now + left.max(SHORTEST_REST)
    }
}

/// A reading of a worker's clock.
#[value]
struct Reading {
    /// When it arrived.
    at: Instant,
    /// The worker's clock, in milliseconds.
    clock_ms: u64,
}

/// A worker.
#[state]
pub struct Worker {
    /// The directory's entry.
    pub entry: Entry,
    /// The entry's rack, shared by the plans that name it.
    pub rack: Option<Arc<str>>,
    /// Whether the directory lists it now.
    pub listed: bool,
    /// Whether it has answered this owner and not fallen silent since.
    pub in_touch: bool,
    /// Whether it has answered this owner ever.
    pub surveyed: bool,
    /// Whether the log says that it may run something.
    pub is_recorded: bool,
    /// What may run there.
    pub attempts: HashMap<(Task, Run), Attempt>,
    /// The room that the attempts take.
    pub used: Amount,
    /// The last end that was taken in.
    pub seen: u64,
    /// The last end that is in the log.
    pub acknowledged: u64,
    /// When it answered last; when it was first known before that.
    pub answered: Instant,
    /// Judges whether its results can be trusted.
    pub record: super::suspicion::Record,
    /// The latest lease end that it was sent, on its clock.
    deadline_ms: u64,
    reading: Option<Reading>,
    /// When it can hold no lease of an earlier owner any more.
    inherited_until: Instant,
}

impl Worker {
    /// Makes a worker that was first listed at `now`; it may hold leases up to `max_lease` long.
    pub fn new(entry: Entry, now: Instant, max_lease: Duration) -> Worker {
        Worker {
            rack: entry.rack.as_deref().map(Arc::from),
            entry,
            listed: true,
            in_touch: false,
            surveyed: false,
            is_recorded: false,
            attempts: HashMap::new(),
            used: Amount::default(),
            seen: 0,
            acknowledged: 0,
            answered: now,
            record: super::suspicion::Record::default(),
            deadline_ms: 0,
            reading: None,
            inherited_until: now + stretch(max_lease) + LEASE_MARGIN,
        }
    }

    /// Returns the room that is free.
    pub fn free(&self) -> Amount {
        self.entry.capacity - self.used
    }

    /// Whether new work may be placed on it, room aside.
    pub fn is_usable(&self) -> bool {
        self.listed && self.in_touch && self.is_recorded && !self.entry.draining
    }

    /// Returns the worker's clock at `now`, at most; `None` before the first answer.
    pub fn clock_ms(&self, now: Instant) -> Option<u64> {
        let reading = self.reading?;
        Some(reading.clock_ms + now.since(reading.at).as_millis() as u64)
    }

    /// Returns the end of a lease of `span` from `now` on, on the worker's clock, and notes it as
    /// sent; `None` before the first answer.
    pub fn extend(&mut self, now: Instant, span: Duration) -> Option<u64> {
        let deadline = self.clock_ms(now)? + span.as_millis() as u64;
        self.deadline_ms = self.deadline_ms.max(deadline);
        Some(deadline)
    }

    /// Takes a reading of the worker's clock that arrived at `now`.
    pub fn read_clock(&mut self, now: Instant, clock_ms: u64) {
        self.reading = Some(Reading { at: now, clock_ms });
        self.answered = now;
    }

    /// Returns when every lease that the worker may hold has ended, on our clock.
    pub fn lease_end(&self) -> Instant {
        let Some(reading) = self.reading else {
            return self.inherited_until;
        };
        let left = self.deadline_ms.saturating_sub(reading.clock_ms);
        reading.at + stretch(Duration::from_millis(left)) + LEASE_MARGIN
    }

    /// Takes room for a run.
    pub fn insert(&mut self, task: Task, run: Run, attempt: Attempt) {
        self.used += attempt.need;
        if let Some(former) = self.attempts.insert((task, run), attempt) {
            self.used -= former.need;
        }
    }

    /// Gives the room of a run back.
    pub fn remove(&mut self, task: Task, run: Run) -> Option<Attempt> {
        let attempt = self.attempts.remove(&(task, run))?;
        self.used -= attempt.need;
        Some(attempt)
    }

    /// Returns when tasks that need `need` will have room, each after the one before, `most` at most;
    /// `free` is what is free now.
    pub fn room_times(
        &self,
        free: Amount,
        need: Amount,
        most: usize,
        now: Instant,
    ) -> Vec<Instant> {
        let mut ends: Vec<(Instant, Amount)> = self
            .attempts
            .values()
            .map(|attempt| (attempt.expected_end(now), attempt.need))
            .collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        let mut times = Vec::new();
        let mut room = free;
        let mut at = now;
        let mut ends = ends.into_iter();
        loop {
            while times.len() < most && need.fits(room) {
                room -= need;
                times.push(at);
            }
            let Some((end, amount)) = ends.next().filter(|_| times.len() < most) else {
                return times;
            };
            room += amount;
            at = end;
        }
    }

    /// Returns how many tasks of the step of `task` may be there.
    pub fn tasks_of(&self, step: super::id::Step) -> usize {
        let tasks = self.attempts.keys();
        tasks.filter(|(task, _)| task.step == step).count()
    }
}

/// Returns the longest that `span` on a worker's clock takes on ours.
fn stretch(span: Duration) -> Duration {
    span.mul_f64(1.0 / (1.0 - CLOCK_DRIFT))
}
