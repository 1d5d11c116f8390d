//! A worker of the scheduler's cell, in virtual time. It starts what it is told, whether it fits or
//! not, and refuses only commands with an old token, an old run or a lease that has ended.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::DerefMut;
use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::state;
use laburnumplank::core::resource::Amount;
use laburnumplank::core::scheduler::id::{Run, Step, Task, Token};
use laburnumplank::core::scheduler::message::{
    ActiveRun, EndedRun, Inventory, Refusal, RunEnd, Start,
};
use laburnumplank::core::time::Instant;

/// The most ended runs in one inventory.
const MAX_ENDS: usize = 500;
/// The progress of a run that is done, in percent.
const ALL_PERCENT: u8 = 100;

/// Bounds that all workers of a platform keep.
#[state]
#[derive(Copy)]
pub struct Bounds {
    /// The longest lease.
    pub max_lease: Duration,
    /// How long the tasks of a gang wait for each other.
    pub gang_timeout: Duration,
    /// The interval of checkpoints.
    pub checkpoint_interval: Duration,
}

/// What a task does on a worker.
#[state]
#[derive(Copy)]
pub struct Work {
    /// The capacity that it uses.
    pub need: Amount,
    /// How long it runs.
    pub span: Duration,
    /// Whether every run of it fails.
    pub fails: bool,
    /// Whether it saves checkpoints.
    pub checkpoints: bool,
    /// The number of tasks that work only together with it; `None` if it is not one of a gang.
    pub gang: Option<u16>,
}

/// A run on a worker.
#[state]
struct Active {
    run: Run,
    work: Work,
    arrived: Instant,
    /// When it began to work; a gang waits for all of its tasks.
    began: Option<Instant>,
    /// When it is gone, if it is being stopped.
    stops_at: Option<Instant>,
    /// The checkpoint that it was started from.
    resumed: Option<Arc<str>>,
}

/// An end that a worker lists until it is acknowledged.
#[state]
pub struct ListedEnd {
    /// The end.
    pub end: EndedRun,
    /// Whether the lease has lapsed since.
    pub has_lapsed: bool,
}

/// One incarnation of a worker.
#[state]
pub struct Worker {
    bounds: Bounds,
    incarnation: u64,
    capacity: Amount,
    born: Instant,
    /// The speed of its clock, as a fraction of true time.
    rate: f64,
    token: Token,
    deadline_ms: u64,
    active: BTreeMap<Task, Active>,
    /// The highest run of each task that was stopped or has ended.
    void: HashMap<Task, Run>,
    /// Ends that are not acknowledged.
    ends: VecDeque<ListedEnd>,
    last_number: u64,
}

impl Worker {
    /// Creates an incarnation that begins at `now`, whose clock runs at `rate`.
    pub fn new(
        bounds: Bounds,
        incarnation: u64,
        capacity: Amount,
        rate: f64,
        now: Instant,
    ) -> Worker {
        Worker {
            bounds,
            incarnation,
            capacity,
            born: now,
            rate,
            token: Token(0),
            deadline_ms: 0,
            active: BTreeMap::new(),
            void: HashMap::new(),
            ends: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Returns what distinguishes this incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the capacity for tasks.
    pub fn capacity(&self) -> Amount {
        self.capacity
    }

    /// Returns the capacity that the runs use, those being stopped included.
    pub fn used(&self) -> Amount {
        let mut used = Amount::default();
        for active in self.active.values() {
            used += active.work.need;
        }
        used
    }

    /// Returns the runs that are there.
    pub fn runs(&self) -> impl Iterator<Item = (Task, Run)> {
        self.active.iter().map(|(&task, active)| (task, active.run))
    }

    /// Returns the worker's clock, in milliseconds.
    pub fn clock_ms(&self, now: Instant) -> u64 {
        now.since(self.born).mul_f64(self.rate).as_millis() as u64
    }

    /// Whether there are ends that were not acknowledged.
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Carries out a start command. Returns whether the run is a new one.
    ///
    /// # Errors
    ///
    /// The reason for a rejection.
    pub fn start(
        &mut self,
        now: Instant,
        token: Token,
        start: &Start,
        work: Work,
    ) -> Result<bool, Refusal> {
        self.check(token)?;
        if start.deadline_ms <= self.clock_ms(now) {
            return Err(Refusal::Late);
        }
        self.extend(now, start.deadline_ms);
        let known = self.active.get(&start.task).map(|active| active.run);
        if known == Some(start.run) {
            return Ok(false);
        }
        let void = self.void.get(&start.task);
        if known > Some(start.run) || void.is_some_and(|&void| start.run <= void) {
            return Err(Refusal::OldRun);
        }
        let active = Active {
            run: start.run,
            work,
            arrived: now,
            began: work.gang.is_none().then_some(now),
            stops_at: None,
            resumed: start.checkpoint.clone(),
        };
        self.active.insert(start.task, active);
        Ok(true)
    }

    /// Carries out a stop command; the run is gone at `gone_at`.
    ///
    /// # Errors
    ///
    /// The reason for a rejection.
    pub fn stop(
        &mut self,
        token: Token,
        task: Task,
        run: Run,
        gone_at: Instant,
    ) -> Result<(), Refusal> {
        self.check(token)?;
        self.make_void(task, run);
        let active = self.active.get_mut(&task);
        if let Some(active) = active.filter(|active| active.run == run) {
            active.stops_at.get_or_insert(gone_at);
        }
        Ok(())
    }

    /// Extends the lease and forgets the ends up to `acknowledged`. Returns the ends that it forgot.
    ///
    /// # Errors
    ///
    /// The reason for a rejection.
    pub fn hold(
        &mut self,
        now: Instant,
        token: Token,
        deadline_ms: Option<u64>,
        acknowledged: u64,
    ) -> Result<Vec<ListedEnd>, Refusal> {
        self.check(token)?;
        if let Some(deadline_ms) = deadline_ms {
            self.extend(now, deadline_ms);
        }
        let is_known = |listed: &ListedEnd| listed.end.number <= acknowledged;
        let count = self
            .ends
            .iter()
            .take_while(|listed| is_known(listed))
            .count();
        Ok(self.ends.drain(..count).collect())
    }

    /// Returns the runs that are there and the ends that are not acknowledged.
    pub fn inventory(&self, now: Instant) -> Inventory {
        let running = self.active.iter().map(|(&task, active)| ActiveRun {
            task,
            run: active.run,
            checkpoint: self.checkpoint(task, active, now),
            percent: percent(active, now),
        });
        let ends = self.ends.iter().take(MAX_ENDS);
        Inventory {
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: ends.map(|listed| listed.end.clone()).collect(),
            is_complete: true,
        }
    }

    fn check(&mut self, token: Token) -> Result<(), Refusal> {
        if token < self.token {
            return Err(Refusal::Fenced);
        }
        self.token = token;
        Ok(())
    }

    fn extend(&mut self, now: Instant, deadline_ms: u64) {
        let longest = self.clock_ms(now) + self.bounds.max_lease.as_millis() as u64;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest));
    }

    fn make_void(&mut self, task: Task, run: Run) {
        let void = self.void.entry(task).or_insert(run);
        *void = (*void).max(run);
    }

    fn checkpoint(&self, task: Task, active: &Active, now: Instant) -> Option<Arc<str>> {
        let worked = active.began.map(|began| now.since(began));
        let is_saved = worked.is_some_and(|worked| worked >= self.bounds.checkpoint_interval);
        if !active.work.checkpoints || !is_saved {
            return active.resumed.clone();
        }
        let owner = checkpoint_owner(task, active.work.gang.is_some());
        Some(Arc::from(format!("{owner}{}", percent(active, now))))
    }

    /// Returns how a run ends at `now`, if it does.
    fn due(&self, active: &Active, now: Instant) -> Option<RunEnd> {
        if self.clock_ms(now) > self.deadline_ms {
            return Some(RunEnd::Lapsed);
        }
        if let Some(stops_at) = active.stops_at {
            return (now >= stops_at).then_some(RunEnd::Stopped);
        }
        match active.began {
            None => {
                let waited = now.since(active.arrived);
                (waited > self.bounds.gang_timeout).then_some(RunEnd::Alone)
            }
            Some(_) if active.work.fails => Some(RunEnd::Failed),
            Some(_) => (percent(active, now) == ALL_PERCENT).then_some(RunEnd::Done),
        }
    }

    fn end(&mut self, now: Instant, task: Task, end: RunEnd) -> Option<EndedRun> {
        let active = self.active.remove(&task)?;
        self.make_void(task, active.run);
        self.last_number += 1;
        let ended = EndedRun {
            number: self.last_number,
            task,
            run: active.run,
            end,
            checkpoint: self.checkpoint(task, &active, now),
        };
        self.ends.push_back(ListedEnd {
            end: ended.clone(),
            has_lapsed: false,
        });
        Some(ended)
    }
}

/// Lets time pass on the workers of a cell until `now`: gangs whose tasks are all present begin, and
/// runs end. Returns the ends, each with the index of its worker.
pub fn advance<W: DerefMut<Target = Worker>>(
    workers: &mut [W],
    now: Instant,
) -> Vec<(usize, EndedRun)> {
    begin_gangs(workers, now);
    let mut ends = Vec::new();
    for index in 0..workers.len() {
        let worker = &mut workers[index];
        if worker.clock_ms(now) > worker.deadline_ms {
            worker
                .ends
                .iter_mut()
                .for_each(|listed| listed.has_lapsed = true);
        }
        let active = worker.active.iter();
        let due: Vec<(Task, RunEnd)> = active
            .filter_map(|(&task, active)| Some((task, worker.due(active, now)?)))
            .collect();
        for (task, end) in due {
            let Some(active) = workers[index].active.get(&task) else {
                continue;
            };
            let (run, is_gang) = (active.run, active.work.gang.is_some());
            ends.extend(workers[index].end(now, task, end).map(|end| (index, end)));
            if is_gang {
                ends.extend(end_gang(workers, now, task.step, run, end));
            }
        }
    }
    ends
}

/// Begins the gangs of which all tasks are present.
fn begin_gangs<W: DerefMut<Target = Worker>>(workers: &mut [W], now: Instant) {
    let mut present: HashMap<(Step, Run), u16> = HashMap::new();
    for worker in workers.iter() {
        for (task, active) in &worker.active {
            if active.work.gang.is_some() && active.began.is_none() {
                *present.entry((task.step, active.run)).or_default() += 1;
            }
        }
    }
    for worker in workers {
        for (task, active) in &mut worker.active {
            let count = present.get(&(task.step, active.run)).copied();
            if active.began.is_none() && count.is_some() && count == active.work.gang {
                active.began = Some(now);
            }
        }
    }
}

/// Ends the runs of a gang after one of them has ended. A gang is done as a whole.
fn end_gang<W: DerefMut<Target = Worker>>(
    workers: &mut [W],
    now: Instant,
    step: Step,
    run: Run,
    end: RunEnd,
) -> Vec<(usize, EndedRun)> {
    let end = match end {
        RunEnd::Done => RunEnd::Done,
        _ => RunEnd::Broken,
    };
    let mut ends = Vec::new();
    for (index, worker) in workers.iter_mut().enumerate() {
        let runs = worker
            .runs()
            .filter(|(task, other)| task.step == step && *other == run);
        let tasks: Vec<Task> = runs.map(|(task, _)| task).collect();
        for task in tasks {
            ends.extend(worker.end(now, task, end).map(|end| (index, end)));
        }
    }
    ends
}

fn percent(active: &Active, now: Instant) -> u8 {
    let saved = active.resumed.as_deref().map_or(0, saved_percent);
    let worked = active.began.map(|began| now.since(began).as_secs_f64());
    let done = worked.unwrap_or(0.0) / active.work.span.as_secs_f64().max(0.001);
    let done = (done * f64::from(ALL_PERCENT)) as u8;
    saved.saturating_add(done).min(ALL_PERCENT)
}

/// Returns the text that the checkpoints of a task begin with; the tasks of a gang share theirs.
pub fn checkpoint_owner(task: Task, is_gang: bool) -> String {
    if is_gang {
        format!("{}@", task.step)
    } else {
        format!("{task}@")
    }
}

/// Returns the progress that a checkpoint contains, in percent.
fn saved_percent(checkpoint: &str) -> u8 {
    let percent = checkpoint.split('@').nth(1);
    percent.and_then(|text| text.parse().ok()).unwrap_or(0)
}
