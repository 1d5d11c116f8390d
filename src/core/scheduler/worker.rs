//! The state of a worker in the scheduler: its capacity, its lease and the runs that it may have.
//!
//! A run uses capacity from the decision to start it until it certainly is not on the worker any
//! more. The capacity stays in use after a lost response, while a stop is in progress and while the
//! worker does not respond. A run whose need is not known uses all capacity that the others leave.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::{message, state, value};

use super::id::{Mark, Run, Task};
use super::ledger::Charge;
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// How much slower than this process's clock a worker's clock may be, as a fraction; specified by
/// the platform.
const CLOCK_DRIFT: f64 = 0.02;
/// The least remaining run time that is expected of a run whose end has not been reported.
const MIN_REMAINING: Duration = Duration::from_millis(100);
/// How long a command may be under way, from the decision on it until it arrives.
const COMMAND_TRANSIT: Duration = Duration::from_secs(1);
/// Added to the computed end of a lease, for the time that the worker takes to kill its runs.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// A worker, as the directory lists it.
#[message]
pub struct Entry {
    /// The worker's name, which stays the same over restarts.
    pub name: String,
    /// The start time of the worker process, which distinguishes its restarts.
    pub incarnation: u64,
    /// The address of the worker's control interface.
    pub address: SocketAddr,
    /// The service whose tasks the worker runs.
    pub service: String,
    /// The worker's data centre.
    pub data_centre: String,
    /// The total capacity for tasks.
    pub capacity: Amount,
    /// The labels that steps can require.
    pub labels: Vec<String>,
    /// The worker's rack, if known.
    pub rack: Option<String>,
    /// Whether the worker is shutting down and gets no new tasks.
    pub draining: bool,
}

impl Entry {
    /// Whether another entry of this worker names the same incarnation at the same address.
    pub fn agrees_with(&self, other: &Entry) -> bool {
        self.incarnation == other.incarnation && self.address == other.address
    }
}

/// The state of a run on a worker.
#[value]
pub enum State {
    /// The start command was sent and has no outcome yet.
    Starting,
    /// The response to the start command was lost: the run may have started, or may still start.
    Doubtful,
    /// The run has started and is not known to have ended.
    Running,
    /// The run is to be stopped. Its capacity is free once the worker reports its end, or does not
    /// report the run although the stop was confirmed and must be over.
    Stopping,
}

impl State {
    /// Returns the name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Doubtful => "doubtful",
            State::Running => "running",
            State::Stopping => "stopping",
        }
    }
}

/// A run that may be on a worker.
#[state]
pub struct Attempt {
    /// The capacity that the run uses; `None` when the steps of its job are not known, because an
    /// earlier owner recorded the end of the job.
    pub need: Option<Amount>,
    /// What the run adds to the use of a client account, if its job has one.
    pub charge: Option<Charge>,
    /// The current state.
    pub state: State,
    /// When the state was entered.
    pub since: Instant,
    /// When the start was decided or, for a run of an earlier owner, when the run was first reported.
    pub started: Instant,
    /// The client's estimate of the run time.
    pub estimate: Duration,
    /// When the last stop command was sent, if any.
    pub stop_sent: Option<Instant>,
    /// When a stop command was confirmed. From then on the worker rejects a late start command of
    /// this run.
    pub stop_answered: Option<Instant>,
    /// The end of the lease that the start command carries, on the worker's clock in milliseconds. The
    /// worker rejects the command after that. `None` for a start of another owner, or one that was
    /// sent to another incarnation.
    pub deadline_ms: Option<u64>,
    /// When a report first left the run out: one that was running, or one that the worker never
    /// confirmed, by a clock past `deadline_ms`.
    pub absent_since: Option<Instant>,
    /// Whether the worker has reported the run or confirmed its start.
    pub is_confirmed: bool,
    /// Since when the run has been on the worker for certain; `None` while it is not confirmed. A worker
    /// may carry a start command out long after it was sent.
    pub present_since: Option<Instant>,
    /// Whether this incarnation has reported the run. The response to a start does not show which
    /// incarnation carried it out.
    pub is_reported: bool,
    /// Whether no other run may join it on its worker, since its task may crash workers.
    pub is_trial: bool,
    /// The progress of the run at the last report, in percent.
    pub percent: u8,
    /// When the last report of the run arrived; before the first one, when the run was started.
    pub reported_at: Instant,
}

impl Attempt {
    /// Records that a report leaves the run out; its poll was sent at `sent`, when the worker's clock
    /// showed `clock_ms`. Returns whether the run cannot be on the worker: its start was never
    /// confirmed and comes too late by now, and if it was being stopped at the first such report, the
    /// stop is over.
    pub fn note_absent(
        &mut self,
        now: Instant,
        sent: Instant,
        clock_ms: u64,
        stop_time: Duration,
    ) -> bool {
        let is_late = self
            .deadline_ms
            .is_some_and(|deadline_ms| clock_ms > deadline_ms);
        if self.is_confirmed || !is_late {
            return false;
        }
        let since = *self.absent_since.get_or_insert(now);
        sent >= since + stop_time
    }

    /// Returns when the run is expected to end, extrapolated from the progress that was reported last,
    /// or from the estimate while there is none.
    pub fn expected_end(&self, now: Instant) -> Instant {
        self.extrapolated_end().max(now + MIN_REMAINING)
    }

    /// Returns the same without regard to the present, which may be later.
    fn extrapolated_end(&self) -> Instant {
        match self.percent {
            0 => self.started + self.estimate,
            percent => {
                let spent = self.reported_at.since(self.started);
                let left = f64::from(100 - percent.min(100)) / f64::from(percent);
                self.reported_at + spent.mul_f64(left)
            }
        }
    }
}

/// What is known of a worker's capacity when a run is placed on it.
#[value]
pub struct Account {
    /// The capacity that runs use, the new one included.
    pub used: Amount,
    /// The worker's capacity.
    pub capacity: Amount,
    /// The time since the worker last reported its runs.
    pub report_age: Duration,
    /// The time since the owner's claim on the cell was last confirmed.
    pub claim_age: Duration,
}

/// What is known of a run and its worker when the run is removed without a reported end.
#[value]
pub struct Evidence {
    /// The incarnation of the worker.
    pub incarnation: u64,
    /// The address to which its commands were sent.
    pub address: SocketAddr,
    /// The state of the run.
    pub state: State,
    /// Whether the worker had reported the run or confirmed its start.
    pub is_confirmed: bool,
    /// Whether this incarnation had reported the run.
    pub is_reported: bool,
    /// The time since the run was started or, for a run of an earlier owner, first reported.
    pub age: Duration,
    /// The time since the worker last responded.
    pub report_age: Duration,
    /// The time that is left until the lease of the run has certainly ended.
    pub lease_left: Duration,
}

/// A reading of a worker's clock.
#[value]
struct Reading {
    /// When the reading arrived.
    at: Instant,
    /// The worker's clock, in milliseconds.
    clock_ms: u64,
}

/// One incarnation of a worker.
#[state]
pub struct Worker {
    /// The latest entry in the directory.
    pub entry: Entry,
    /// The number of the worker among those of the cell. Another worker gets it once this one is removed.
    pub seat: usize,
    /// The rack of `entry`, in a form that candidates for placement can share.
    pub rack: Option<Arc<str>>,
    /// Whether the directory lists the worker now.
    pub listed: bool,
    /// Whether the worker has responded to this owner and no poll has failed since.
    pub is_responding: bool,
    /// Whether the worker has responded to this owner at the address of `entry`, with the start that `entry` names.
    pub is_proven: bool,
    /// Whether the worker has ever reported all of its runs and ends to this owner.
    pub has_reported: bool,
    /// Whether the last report was full, so that the worker may have further ends.
    pub may_have_unread_ends: bool,
    /// Whether this incarnation has ended and the directory does not list the next one yet. Only
    /// runs that the next incarnation may carry out are left.
    pub is_replaced: bool,
    /// Whether all runs of the last report are known.
    pub is_report_complete: bool,
    /// Whether the record of workers in the log contains this one.
    pub is_recorded: bool,
    /// The mark of the first of the latest records of workers that all contain this one; `None` if the
    /// last one does not.
    pub recorded_since: Option<Mark>,
    /// The runs that may be on the worker.
    pub attempts: HashMap<(Task, Run), Attempt>,
    /// When each of them is expected to end and what it needs, in the order of the ends; empty after a change
    /// of the worker.
    ends: OnceCell<Vec<(Instant, Amount)>>,
    /// The capacity that the attempts with a known need use.
    pub used: Amount,
    /// The number of attempts whose need is not known.
    unknown_needs: usize,
    /// The number of attempts that no other run may join.
    trials: usize,
    /// The number of the last ended run that was processed.
    pub last_end: u64,
    /// The number of the last ended run that is in the log.
    pub acknowledged: u64,
    /// When the worker last responded; before its first response, when it was first listed.
    pub answered: Instant,
    /// The capacity that the runs of the last report use, as far as it is known.
    pub reported: Amount,
    /// Whether these were more than its capacity at the last comparison.
    pub was_overcommitted: bool,
    /// The results of the latest runs, which show whether the worker is faulty.
    pub history: super::suspicion::RunHistory,
    /// The acknowledgement that the latest poll carries.
    sent_acknowledgement: u64,
    /// The last acknowledgement in a poll that was answered.
    confirmed_acknowledgement: u64,
    /// The latest lease end that was sent to the worker, on its clock in milliseconds.
    deadline_ms: u64,
    /// When a lease end was last sent to the worker, or to its former incarnation.
    extended_at: Option<Instant>,
    reading: Option<Reading>,
    /// When a lease from an earlier owner has ended for certain.
    inherited_until: Instant,
    /// When a lease that was meant for the former incarnation has ended for certain.
    expected_until: Instant,
}

impl Worker {
    /// Creates a worker that was first listed at `now` and may hold a lease from an earlier owner until
    /// `inherited_until`.
    pub fn new(entry: Entry, seat: usize, now: Instant, inherited_until: Instant) -> Worker {
        Worker {
            seat,
            rack: entry.rack.as_deref().map(Arc::from),
            entry,
            listed: true,
            is_responding: false,
            is_proven: false,
            has_reported: false,
            may_have_unread_ends: false,
            is_replaced: false,
            is_report_complete: false,
            is_recorded: false,
            recorded_since: None,
            attempts: HashMap::new(),
            ends: OnceCell::new(),
            used: Amount::default(),
            unknown_needs: 0,
            trials: 0,
            last_end: 0,
            acknowledged: 0,
            answered: now,
            reported: Amount::default(),
            was_overcommitted: false,
            history: super::suspicion::RunHistory::default(),
            sent_acknowledgement: 0,
            confirmed_acknowledgement: 0,
            deadline_ms: 0,
            extended_at: None,
            reading: None,
            inherited_until,
            expected_until: now,
        }
    }

    /// Records that the worker may get a lease of up to `max_lease` by a command that was meant for
    /// its former incarnation.
    pub fn expect_lease(&mut self, now: Instant, max_lease: Duration) {
        let end = now + longest_lease(max_lease);
        self.expected_until = self.expected_until.max(end);
    }

    /// Records that commands to the former incarnation may still arrive.
    pub fn expect_commands_to(&mut self, former: &Worker) {
        self.extended_at = former.extended_at;
    }

    /// Records that a lease from an earlier owner has ended by `until`.
    pub fn limit_inherited_lease(&mut self, until: Instant) {
        self.inherited_until = self.inherited_until.min(until);
    }

    /// Whether a run that no other may join is there.
    pub fn has_trial(&self) -> bool {
        self.trials > 0
    }

    /// Lets other runs join a run.
    pub fn end_trial(&mut self, task: Task, run: Run) {
        let attempt = self.attempts.get_mut(&(task, run));
        if attempt.is_some_and(|attempt| std::mem::take(&mut attempt.is_trial)) {
            self.trials -= 1;
        }
    }

    /// Returns the capacity that is certainly not used and that further runs may use: none while the
    /// need of a run is not known, or while a run has to be alone.
    pub fn free(&self) -> Amount {
        if self.unknown_needs > 0 || self.has_trial() {
            return Amount::default();
        }
        self.entry.capacity - self.used
    }

    /// Returns the figures on which placements are based.
    pub fn account(&self, now: Instant, claim_confirmed_at: Instant) -> Account {
        Account {
            used: self.used,
            capacity: self.entry.capacity,
            report_age: now.since(self.answered),
            claim_age: now.since(claim_confirmed_at),
        }
    }

    /// Returns what is known of a run on this worker.
    pub fn evidence(&self, attempt: &Attempt, max_lease: Duration, now: Instant) -> Evidence {
        Evidence {
            incarnation: self.entry.incarnation,
            address: self.entry.address,
            state: attempt.state,
            is_confirmed: attempt.is_confirmed,
            is_reported: attempt.is_reported,
            age: now.since(attempt.started),
            report_age: now.since(self.answered),
            lease_left: self.lease_end_of(attempt, max_lease).since(now),
        }
    }

    /// Whether nothing but the directory speaks for this incarnation, and no run may be on it.
    pub fn is_only_listed(&self) -> bool {
        !self.is_proven && !self.is_replaced && self.attempts.is_empty()
    }

    /// Whether the worker has reported more runs than fit into its capacity.
    pub fn is_overcommitted(&self) -> bool {
        !self.reported.fits(self.entry.capacity)
    }

    /// Whether the directory does not list the worker any more, or it drains.
    pub fn is_leaving(&self) -> bool {
        !self.listed || self.entry.draining
    }

    /// Whether the worker is about to leave and has no run any more whose end is not in the log. No
    /// later owner needs to wait for it.
    pub fn is_vacated(&self) -> bool {
        let has_unrecorded_ends = self.acknowledged < self.last_end;
        let is_idle = self.attempts.is_empty() && !has_unrecorded_ends;
        self.is_leaving() && self.has_reported && is_idle
    }

    /// Whether new tasks may be placed on the worker if it has the capacity.
    pub fn is_usable(&self) -> bool {
        !self.is_leaving() && self.is_responding && self.is_report_complete && self.is_recorded
    }

    /// Returns an estimate of the worker's clock at `now`; `None` before the first response.
    pub fn clock_ms(&self, now: Instant) -> Option<u64> {
        let reading = self.reading?;
        Some(reading.clock_ms + now.since(reading.at).as_millis() as u64)
    }

    /// Returns the worker's clock when a poll was sent that has just been answered.
    pub fn clock_ms_when_sent(&self, sent: Instant) -> Option<u64> {
        let reading = self.reading?;
        let took_ms = reading.at.since(sent).as_millis() as u64;
        reading.clock_ms.checked_sub(took_ms)
    }

    /// Returns the end of a lease of `span` from `now` on, on the worker's clock in milliseconds, and
    /// stores it as sent; `None` before the first response.
    pub fn extend(&mut self, now: Instant, span: Duration) -> Option<u64> {
        let deadline = self.clock_ms(now)? + span.as_millis() as u64;
        self.deadline_ms = self.deadline_ms.max(deadline);
        self.extended_at = Some(now);
        Some(deadline)
    }

    /// Stores a reading of the worker's clock that arrived at `now`.
    pub fn read_clock(&mut self, now: Instant, clock_ms: u64) {
        self.reading = Some(Reading { at: now, clock_ms });
        self.answered = now;
    }

    /// Returns the acknowledgement for the next poll; 0 if there is nothing to acknowledge. A poll may
    /// reach the next incarnation, whose ends have the same numbers. Therefore only a worker that
    /// responds gets acknowledgements, and each of them once.
    pub fn next_acknowledgement(&mut self) -> u64 {
        let is_due = self.is_responding && self.acknowledged > self.confirmed_acknowledgement;
        self.sent_acknowledgement = if is_due { self.acknowledged } else { 0 };
        self.sent_acknowledgement
    }

    /// Stores that the latest poll was answered.
    pub fn confirm_acknowledgement(&mut self) {
        let sent = self.sent_acknowledgement;
        self.confirmed_acknowledgement = self.confirmed_acknowledgement.max(sent);
    }

    /// Returns when the lease under which a run may be there has ended. One that this incarnation has not reported
    /// may be on the next one, which shortens a lease that ends on the former clock to the longest that it grants.
    pub fn lease_end_of(&self, attempt: &Attempt, max_lease: Duration) -> Instant {
        let end = self.lease_end();
        match self.extended_at {
            Some(at) if !attempt.is_reported => {
                end.max(at + COMMAND_TRANSIT + longest_lease(max_lease))
            }
            _ => end,
        }
    }

    /// Returns when every lease under which runs may be there has ended.
    pub fn last_lease_end(&self, max_lease: Duration) -> Instant {
        let attempts = self.attempts.values();
        let ends = attempts.map(|attempt| self.lease_end_of(attempt, max_lease));
        ends.fold(self.lease_end(), Instant::max)
    }

    /// Returns when every lease that this incarnation may hold, also one of an earlier owner, has ended on
    /// this process's clock.
    pub fn lease_end(&self) -> Instant {
        let inherited_end = self.inherited_until.max(self.expected_until);
        let Some(reading) = self.reading else {
            return inherited_end;
        };
        let left = self.deadline_ms.saturating_sub(reading.clock_ms);
        let own_end = reading.at + longest_lease(Duration::from_millis(left));
        own_end.max(inherited_end)
    }

    /// Adds a run, whose capacity is used from now on.
    pub(super) fn insert(&mut self, task: Task, run: Run, attempt: Attempt) {
        self.remove(task, run);
        match attempt.need {
            Some(need) => self.used += need,
            None => self.unknown_needs += 1,
        }
        self.trials += usize::from(attempt.is_trial);
        self.attempts.insert((task, run), attempt);
    }

    /// Removes a run and frees its capacity; `None` if the run is not on the worker.
    pub(super) fn remove(&mut self, task: Task, run: Run) -> Option<Attempt> {
        let attempt = self.attempts.remove(&(task, run))?;
        match attempt.need {
            Some(need) => self.used -= need,
            None => self.unknown_needs -= 1,
        }
        self.trials -= usize::from(attempt.is_trial);
        Some(attempt)
    }

    /// Discards what was derived from the runs, which may have changed.
    pub(super) fn discard_ends(&mut self) {
        self.ends.take();
    }

    fn ends(&self) -> &[(Instant, Amount)] {
        self.ends.get_or_init(|| {
            let attempts = self.attempts.values();
            let mut ends: Vec<(Instant, Amount)> = attempts
                .map(|attempt| (attempt.extrapolated_end(), attempt.need.unwrap_or_default()))
                .collect();
            ends.sort_unstable_by_key(|(end, _)| *end);
            ends
        })
    }

    /// Returns the times, in ascending order, at which capacity for a further task that needs `need`
    /// is expected to be free; at most `max_tasks` times. `free` is the capacity that is free now.
    pub fn availability_times(
        &self,
        free: Amount,
        need: Amount,
        max_tasks: usize,
        now: Instant,
    ) -> Vec<Instant> {
        let mut times = Vec::new();
        let mut available = free;
        let mut at = now;
        let mut ends = self.ends().iter();
        loop {
            while times.len() < max_tasks && need.fits(available) {
                available -= need;
                times.push(at);
            }
            let Some((end, amount)) = ends.next().filter(|_| times.len() < max_tasks) else {
                return times;
            };
            available += *amount;
            at = (*end).max(now + MIN_REMAINING);
        }
    }

    /// Returns the runs that the worker's next incarnation may carry out: those that this one has not
    /// reported.
    pub fn undecided(&self) -> Vec<(Task, Run)> {
        let attempts = self.attempts.iter();
        let undecided = attempts.filter(|(_, attempt)| !attempt.is_reported);
        undecided.map(|(&id, _)| id).collect()
    }

    /// Returns the number of runs of a step that may be on the worker.
    pub fn tasks_of(&self, step: super::id::Step) -> usize {
        let tasks = self.attempts.keys();
        tasks.filter(|(task, _)| task.step == step).count()
    }
}

/// Returns the longest time on this process's clock until a lease of `lease` has ended and its runs are
/// killed.
pub(super) fn longest_lease(lease: Duration) -> Duration {
    lease.mul_f64(1.0 / (1.0 - CLOCK_DRIFT)) + LEASE_MARGIN
}
