//! Carries out what the scheduler of an owned cell decides.

mod calls;
mod takeover;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use slab::Slab;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot, watch};

use crate::core::error::{Error, Kind, Result};
use crate::core::queue::Table;
use crate::core::scheduler::advice::Asker;
use crate::core::scheduler::id::{Request, Token, Worker};
use crate::core::scheduler::{Answer, Input, Output, Rules, Scheduler, Time};
use crate::entry::link::Link;
use crate::entry::message::{Ask, Tell};
use crate::entry::port::{Address, Change, Directory, Failure, Platform};
use crate::entry::writer;
use crate::util::clock::Clock;
use crate::util::metric::{Metrics, label};

/// How often a request looks whether the takeover is done.
const OPEN_TICK: Duration = Duration::from_millis(10);
/// How often it is looked at which links have closed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// The pause between two readings of the directory: a worker that drains must get nothing new a few
/// seconds later.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(400);
/// How often the owner logs the load of its cell.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How often it is measured whether decisions are late.
const PACE_INTERVAL: Duration = Duration::from_millis(100);
/// A mean delay above this hands the cell over: lookups are due within a few hundred milliseconds.
const LATE_AFTER: Duration = Duration::from_millis(120);
/// The weight of the latest delay in the mean; a single pause of half a second is no reason.
const PACE_WEIGHT: f64 = 0.2;
/// An ownership is not handed over before, so that slow entries don't pass it round.
const LEAST_TENURE: Duration = Duration::from_secs(3);
/// The owner itself as an asker of the advisor.
const SELF: Asker = Asker(0);

/// The cell while this entry owns it.
pub struct Owner<P: Platform> {
    platform: P,
    token: Token,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    scheduler: RefCell<Scheduler>,
    outputs: RefCell<Vec<Output>>,
    requests: RefCell<Slab<oneshot::Sender<Result<Answer>>>>,
    queue: Rc<writer::Queue>,
    /// Wakes the loop that carries outputs out.
    wake: Notify,
    /// Tells of records that reached the log.
    durable: Notify,
    /// Whether jobs can be served.
    is_open: Cell<bool>,
    /// Whether the ownership has ended.
    is_over: Cell<bool>,
    over: Notify,
    /// Whether the log takes no appends, as far as is known.
    is_log_away: Cell<bool>,
    /// Whether the log has refused the latest append for a while.
    is_refused: Cell<bool>,
    askers: RefCell<HashMap<Asker, Link>>,
    next_asker: Cell<u32>,
}

impl<P: Platform> Owner<P> {
    /// Makes the owner of the claim that `token` names.
    pub fn new(
        platform: P,
        rules: Rules,
        token: Token,
        clock: Clock,
        log: Logger,
        metrics: Metrics,
    ) -> Rc<Owner<P>> {
        Rc::new(Owner {
            platform,
            token,
            clock,
            log,
            metrics,
            scheduler: RefCell::new(Scheduler::new(rules, token, clock.now())),
            outputs: RefCell::default(),
            requests: RefCell::default(),
            queue: Rc::default(),
            wake: Notify::new(),
            durable: Notify::new(),
            is_open: Cell::new(false),
            is_over: Cell::new(false),
            over: Notify::new(),
            is_log_away: Cell::new(false),
            is_refused: Cell::new(false),
            askers: RefCell::default(),
            next_asker: Cell::new(1),
        })
    }

    /// Returns the token of this ownership.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Whether jobs can be served.
    pub fn is_open(&self) -> bool {
        self.is_open.get() && !self.is_over.get()
    }

    /// Ends the ownership: nothing is decided any more.
    pub fn finish(&self, reason: &'static str) {
        if self.is_over.replace(true) {
            return;
        }
        self.metrics
            .ownership_changes
            .add(1, &label("change", "ended"));
        info!(self.log, "ownership ended"; "token" => self.token.0, "reason" => reason);
        self.over.notify_waiters();
        self.wake.notify_one();
        // Whoever waits asks the next owner.
        self.requests.borrow_mut().clear();
        for link in self.links() {
            link.close();
        }
    }

    /// Whether the ownership has ended.
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Waits until all records are in the log, or `limit` has passed.
    pub async fn flush(&self, limit: Duration) {
        let end = self.clock.now() + limit;
        while !self.queue.is_empty() && self.clock.now() < end {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Takes over and carries out decisions until the ownership ends.
    pub async fn run(self: Rc<Owner<P>>, tables: watch::Receiver<Option<std::sync::Arc<Table>>>) {
        let began = self.clock.now();
        if !self.fence().await || !self.recover().await {
            return;
        }
        info!(self.log, "cell taken over"; "token" => self.token.0,
            "took_ms" => self.clock.now().since(began).as_millis() as u64,
            "jobs" => self.scheduler.borrow().load().jobs);
        actix_rt::spawn(Rc::clone(&self).until_over(Rc::clone(&self).write()));
        actix_rt::spawn(Rc::clone(&self).until_over(Rc::clone(&self).follow_directory()));
        actix_rt::spawn(Rc::clone(&self).until_over(Rc::clone(&self).follow_configuration(tables)));
        self.is_open.set(true);
        self.tell_askers();
        let mut refreshed = self.clock.now();
        let mut reported = self.clock.now();
        while !self.is_over() {
            self.turn();
            // Whatever else is ready goes into the same turn.
            tokio::task::yield_now().await;
            let rest = self.scheduler.borrow().rest(self.clock.now());
            // Without an event, time-driven decisions are looked at.
            let _ = tokio::time::timeout(rest, self.wake.notified()).await;
            if self.clock.now().since(refreshed) >= REFRESH_INTERVAL {
                refreshed = self.clock.now();
                self.refresh_askers();
            }
            if self.clock.now().since(reported) >= REPORT_INTERVAL {
                reported = self.clock.now();
                self.report_load();
            }
        }
    }

    /// Logs how much there is to do, for whoever looks for the cause of a delay.
    fn report_load(&self) {
        let load = self.scheduler.borrow().load();
        info!(self.log, "load of the cell"; "jobs" => load.jobs, "ready_steps" => load.ready_steps,
            "waiting_cpu_millis" => load.waiting_cpu_millis, "workers" => load.workers,
            "usable_workers" => load.usable_workers, "free_cpu_millis" => load.free_cpu_millis,
            "held_cpu_millis" => load.held_cpu_millis,
            "used_cpu_millis" => load.used_cpu_millis, "askers" => self.askers());
    }

    /// Does some work for as long as the ownership lasts.
    async fn until_over(self: Rc<Owner<P>>, work: impl Future<Output = ()>) {
        tokio::select! {
            () = work => {}
            () = self.over.notified() => {}
        }
    }

    /// Ends when this entry has been too slow for a while to own the cell.
    pub async fn runs_late(&self) {
        let began = self.clock.now();
        let mut mean = 0.0;
        loop {
            let due = self.clock.now() + PACE_INTERVAL;
            tokio::time::sleep(PACE_INTERVAL).await;
            let delay = self.clock.now().since(due).as_secs_f64();
            mean += (delay - mean) * PACE_WEIGHT;
            let is_settled = self.clock.now().since(began) >= LEAST_TENURE;
            // Nobody can claim the cell without the log: a slow owner is better than none.
            if is_settled && mean > LATE_AFTER.as_secs_f64() && !self.is_log_away.get() {
                warn!(self.log, "decisions run late"; "mean_ms" => (mean * 1e3) as u64);
                return;
            }
        }
    }

    /// Decides on what came in, and carries it out.
    fn turn(self: &Rc<Owner<P>>) {
        let time = self.time();
        let outputs = {
            let mut outputs = self.outputs.borrow_mut();
            self.scheduler.borrow_mut().tick(time, &mut outputs);
            std::mem::take(&mut *outputs)
        };
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn time(&self) -> Time {
        Time {
            now: self.clock.now(),
            stamp: self.clock.stamp(),
        }
    }

    /// Puts an input into the scheduler.
    pub fn apply(&self, input: Input) {
        if self.is_over() {
            return;
        }
        let time = self.time();
        let mut outputs = self.outputs.borrow_mut();
        self.scheduler.borrow_mut().step(time, input, &mut outputs);
        drop(outputs);
        self.wake.notify_one();
    }

    fn carry_out(self: &Rc<Owner<P>>, output: Output) {
        match output {
            Output::Append { mark, key, value } => {
                self.metrics.records.add(1, &label("stream", "jobs"));
                let key = Some(key);
                self.queue.push(mark, super::port::Record { key, value });
            }
            Output::Withdraw { key } => self.queue.withdraw(&key),
            Output::Start { worker, start } => {
                self.metrics
                    .worker_commands
                    .add(1, &label("command", "start"));
                actix_rt::spawn(Rc::clone(self).start(worker, start));
            }
            Output::Stop { worker, task, run } => {
                self.metrics
                    .worker_commands
                    .add(1, &label("command", "stop"));
                actix_rt::spawn(Rc::clone(self).stop(worker, task, run));
            }
            Output::Ask(ask) => {
                actix_rt::spawn(Rc::clone(self).advise(ask));
            }
            Output::Answer { request, answer } => self.answer(request, answer),
            Output::Ended {
                worker,
                task,
                run,
                how,
            } => {
                info!(self.log, "run ended"; "task" => %task, "run" => run.0, "how" => how.name(),
                    "worker" => self.name_of(worker));
            }
            Output::Phase { job, phase, reason } => {
                info!(self.log, "job changed"; "job" => %job, "phase" => phase.name(), "reason" => reason);
            }
            Output::Worker { worker, event } => {
                info!(self.log, "worker changed"; "worker" => self.name_of(worker), "event" => event);
                if event == "listed" {
                    actix_rt::spawn(Rc::clone(self).watch(worker));
                }
            }
            Output::Superseded => self.finish("a worker has seen a higher token"),
        }
    }

    fn name_of(&self, worker: Worker) -> String {
        let scheduler = self.scheduler.borrow();
        scheduler
            .worker(worker)
            .map(|worker| worker.entry.name.clone())
            .unwrap_or_default()
    }

    fn address(&self, worker: Worker) -> Option<Address> {
        let scheduler = self.scheduler.borrow();
        let entry = &scheduler.worker(worker)?.entry;
        Some(Address {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
            address: entry.address,
        })
    }

    fn answer(&self, request: Request, answer: Result<Answer>) {
        let reply = self.requests.borrow_mut().try_remove(request.0 as usize);
        if let Some(reply) = reply {
            // The asker may have given up.
            let _ = reply.send(answer);
        }
    }

    /// Serves what a client asked.
    pub async fn serve(&self, ask: Ask) -> Result<Tell> {
        while !self.is_open.get() && !self.is_over() {
            tokio::time::sleep(OPEN_TICK).await;
        }
        if self.is_over() {
            return Err(no_owner());
        }
        match ask {
            Ask::Read { job, queue } => {
                let phase = self.scheduler.borrow().phase(job, &queue);
                Ok(phase.map_or(Tell::Gone, Tell::Phase))
            }
            Ask::Pending { queue } => {
                Ok(Tell::Pending(self.scheduler.borrow().pending(&queue) as u64))
            }
            Ask::Submit { job, queue, spec } => {
                let at = self.clock.stamp();
                let spec = std::sync::Arc::new(spec);
                info!(self.log, "job handed in"; "job" => %job, "queue" => &queue.name, "steps" => spec.steps.len());
                let answer = self.request(|request| Input::Submit {
                    request,
                    job,
                    queue,
                    spec,
                    at,
                });
                answer.await
            }
            Ask::Cancel { job, queue } => {
                let at = self.clock.stamp();
                info!(self.log, "job to be cancelled"; "job" => %job);
                let answer = self.request(|request| Input::Cancel {
                    request,
                    job,
                    queue,
                    at,
                });
                answer.await
            }
            Ask::Claim | Ask::Succeed { .. } | Ask::Advise { .. } => Err(Error::new(
                Kind::Internal,
                "every entry answers this itself",
            )),
        }
    }

    async fn request(&self, input: impl FnOnce(Request) -> Input) -> Result<Tell> {
        let (reply, answer) = oneshot::channel();
        let request = Request(self.requests.borrow_mut().insert(reply) as u64);
        self.apply(input(request));
        match answer.await {
            Ok(answer) => answer.map(|answer| match answer {
                Answer::Accepted => Tell::Accepted,
                Answer::Cancelled => Tell::Cancelled,
                Answer::Gone => Tell::Gone,
            }),
            Err(_) => Err(Error::new(
                Kind::AnswerLost,
                "the ownership ended before the record was in the log",
            )),
        }
    }

    async fn write(self: Rc<Owner<P>>) {
        let told = |event| match event {
            writer::Event::Durable(mark) => {
                self.metrics.appends.add(1, &label("outcome", "done"));
                self.is_refused.set(false);
                self.apply(Input::Durable(mark));
                self.durable.notify_waiters();
            }
            writer::Event::Away(sent) => {
                self.metrics.appends.add(1, &label("outcome", "away"));
                self.is_log_away.set(true);
                self.apply(Input::LogAway { sent });
                // What is taken back must have left the queue before the writer goes on.
                self.turn();
            }
            writer::Event::Refused => self.is_refused.set(true),
            writer::Event::Back => {
                self.is_log_away.set(false);
                self.is_refused.set(false);
                self.apply(Input::LogBack);
            }
            writer::Event::Fenced => self.finish("a later owner has written"),
        };
        let queue = Rc::clone(&self.queue);
        let platform = self.platform.clone();
        writer::run(
            platform,
            queue,
            self.token,
            0,
            self.clock,
            self.log.clone(),
            told,
        )
        .await;
    }

    async fn follow_directory(self: Rc<Owner<P>>) {
        let mut directory = self.platform.directory();
        let mut is_known = true;
        loop {
            match directory.changes().await {
                Ok(changes) => {
                    if !is_known {
                        info!(self.log, "directory is back");
                        is_known = true;
                    }
                    for change in changes {
                        self.apply(match change {
                            Change::Listed(entry) => Input::Listed(entry),
                            Change::Unlisted(name) => Input::Unlisted(name),
                        });
                    }
                }
                Err(failure) if is_known => {
                    warn!(self.log, "directory cannot be read"; "failure" => ?failure);
                    is_known = false;
                }
                Err(_) => {}
            }
            tokio::time::sleep(DIRECTORY_PAUSE).await;
        }
    }

    async fn follow_configuration(
        self: Rc<Owner<P>>,
        mut tables: watch::Receiver<Option<std::sync::Arc<Table>>>,
    ) {
        loop {
            let table = tables.borrow_and_update().clone();
            if let Some(table) = table {
                self.apply(Input::Queues(table.queues().cloned().collect()));
            }
            if tables.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes a link to an entry that may call the advisor.
    pub fn add_asker(&self, link: Link) {
        let asker = Asker(self.next_asker.replace(self.next_asker.get() + 1));
        self.askers.borrow_mut().insert(asker, link);
        self.tell_askers();
    }

    /// Whether the log has refused the records of this owner for a while.
    pub fn is_refused(&self) -> bool {
        self.is_refused.get() && !self.is_over()
    }

    /// Returns the links to the other entries.
    pub fn links(&self) -> Vec<Link> {
        self.askers.borrow().values().cloned().collect()
    }

    /// Returns how many entries can call the advisor, this one included.
    pub fn askers(&self) -> usize {
        self.askers.borrow().len() + 1
    }

    /// Forgets entries whose links have closed.
    fn refresh_askers(&self) {
        let mut askers = self.askers.borrow_mut();
        let before = askers.len();
        askers.retain(|_, link| link.is_open());
        let is_changed = askers.len() < before;
        drop(askers);
        if is_changed {
            self.tell_askers();
        }
    }

    /// Tells the scheduler which entries can call the advisor.
    fn tell_askers(&self) {
        let mut known: Vec<Asker> = self.askers.borrow().keys().copied().collect();
        known.push(SELF);
        known.sort_unstable();
        self.apply(Input::Askers(known));
    }
}

/// Makes the error of an entry that owns nothing.
pub fn no_owner() -> Error {
    Error::new(Kind::NoOwner, "the cell has no owner here; come back")
}

/// Returns whether a read failed because records are gone, and from where to go on.
pub fn truncated(failure: Failure) -> Option<u64> {
    match failure {
        Failure::Truncated { first } => Some(first),
        Failure::Refused | Failure::Lost => None,
    }
}
