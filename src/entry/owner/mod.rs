//! Runs the scheduler of a cell that this entry owns, and carries out its decisions.

mod calls;
mod pace;
mod takeover;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use opentelemetry::KeyValue;
use slab::Slab;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot, watch};

use crate::core::account;
use crate::core::error::{Error, Kind, Result};
use crate::core::queue::{Locator, QueueTable};
use crate::core::scheduler::advice::AdvisorProxy;
use crate::core::scheduler::explain::Submission;
use crate::core::scheduler::id::{Request, Task, Token, Worker};
use crate::core::scheduler::poison;
use crate::core::scheduler::{
    Answer, Input, OVERCOMMITTED, Output, RemainingLease, Rules, Scheduler, Time,
};
use crate::core::time::Instant;
use crate::entry::link::Link;
use crate::entry::message::{EntryRequest, EntryResponse, Explain};
use crate::entry::port::{Address, Directory, DirectoryChange, Platform, ReadError};
use crate::entry::standby::Copy;
use crate::entry::writer;
use crate::util::clock::Clock;
use crate::util::metric::{Metrics, label};

/// How often a waiting request checks whether the takeover is complete.
const OPEN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The shortest time between two explanations, each of which copies the scheduler.
const EXPLAIN_INTERVAL: Duration = Duration::from_millis(200);
/// How often to check for closed links.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The pause between two reads of the directory: a worker must get no new tasks from a few seconds
/// after it starts to drain.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(400);
/// How often the owner logs the load of the cell.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The most waiting steps that the owner logs at a time.
const MAX_LOGGED_WAITS: usize = 5;
/// The most client accounts that the owner logs at a time.
const MAX_LOGGED_ACCOUNTS: usize = 5;
/// The most client accounts that have a label of their own in metrics, which keep each of them.
const MAX_LABELLED_ACCOUNTS: usize = 100;
/// The label of all others.
const OTHER_ACCOUNTS: &str = "other";
/// How often to measure the delay of decisions, as the lateness of a timer on the control thread.
const DELAY_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// An owner whose decisions are later than this on average hands the cell over: lookups are due
/// within a few hundred milliseconds.
const MAX_MEAN_DELAY: Duration = Duration::from_millis(120);
/// An owner whose decisions are late keeps the cell at least this long, so that slow entries don't
/// hand it over to each other again and again.
const MIN_TENURE: Duration = Duration::from_secs(3);
/// The number of the owner itself among the entries that can call the advisor.
const LOCAL_PROXY: AdvisorProxy = AdvisorProxy(0);

/// One ownership of the cell by this entry.
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
    /// Wakes the loop that carries out the scheduler's outputs.
    wake: Notify,
    /// Notifies of records that are now in the log.
    durable: Notify,
    /// Whether the takeover is complete, so that requests can be served.
    is_open: Cell<bool>,
    /// Whether the ownership has ended.
    is_over: Cell<bool>,
    /// Notifies of the end of the ownership.
    over: Notify,
    /// Whether the writer last reported the log as unavailable.
    is_log_unavailable: Cell<bool>,
    /// Whether the log keeps refusing the latest append.
    is_refused: Cell<bool>,
    /// The links to the other entries, each of which can call the advisor for the owner.
    advisor_proxies: RefCell<HashMap<AdvisorProxy, Link>>,
    next_proxy: Cell<u32>,
    /// When a placement was explained last.
    explained_at: Cell<Option<Instant>>,
    /// The client accounts with a label of their own in metrics.
    labelled_accounts: RefCell<HashSet<account::Name>>,
    /// How late decisions are, and what they cost.
    pace: RefCell<pace::Pace>,
}

impl<P: Platform> Owner<P> {
    /// Creates the ownership that belongs to the claim with `token`.
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
            is_log_unavailable: Cell::new(false),
            is_refused: Cell::new(false),
            advisor_proxies: RefCell::default(),
            next_proxy: Cell::new(1),
            explained_at: Cell::new(None),
            labelled_accounts: RefCell::default(),
            pace: RefCell::default(),
        })
    }

    /// Returns the token of this ownership.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Whether requests can be served: the takeover is complete and the ownership has not ended.
    pub fn is_open(&self) -> bool {
        self.is_open.get() && !self.is_over.get()
    }

    /// Waits until the takeover is complete; returns `false` if the ownership ends before.
    pub async fn opened(&self) -> bool {
        while !self.is_open.get() && !self.is_over() {
            tokio::time::sleep(OPEN_POLL_INTERVAL).await;
        }
        self.is_open()
    }

    /// Ends the ownership: the scheduler makes no more decisions, and pending requests fail.
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
        // The entries whose requests fail here send them to the next owner.
        self.requests.borrow_mut().clear();
        for link in self.links() {
            link.close();
        }
    }

    /// Returns the leases that workers may still have after the end of this ownership; `None` if it
    /// has not ended, or if its takeover was never complete.
    pub fn remaining_leases(&self) -> Option<Vec<RemainingLease>> {
        let now = self.clock.now();
        let is_known = self.is_over() && self.is_open.get();
        is_known.then(|| self.scheduler.borrow().remaining_leases(now))
    }

    /// Whether inherited jobs wait until workers of earlier owners have responded or can no longer hold
    /// a lease.
    pub fn awaits_inherited_workers(&self) -> bool {
        !self.scheduler.borrow().are_inherited_runs_known()
    }

    /// Whether the ownership has ended.
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Waits until no record waits to be sent to the log, or `timeout` has passed.
    pub async fn flush(&self, timeout: Duration) {
        let end = self.clock.now() + timeout;
        while !self.queue.is_empty() && self.clock.now() < end {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Takes the cell over and carries out the scheduler's decisions until the ownership ends. `copy` is
    /// what this entry has read of the jobs in the log before.
    pub async fn run(
        self: Rc<Owner<P>>,
        tables: watch::Receiver<Option<std::sync::Arc<QueueTable>>>,
        copy: Copy,
    ) {
        let started_at = self.clock.now();
        if !self.fence().await || !self.recover(copy).await {
            return;
        }
        info!(self.log, "cell taken over"; "token" => self.token.0,
            "took_ms" => self.clock.now().since(started_at).as_millis() as u64,
            "jobs" => self.scheduler.borrow().load().jobs);
        actix_rt::spawn(Rc::clone(&self).run_until_over(Rc::clone(&self).write()));
        actix_rt::spawn(Rc::clone(&self).run_until_over(Rc::clone(&self).follow_directory()));
        actix_rt::spawn(
            Rc::clone(&self).run_until_over(Rc::clone(&self).follow_configuration(tables)),
        );
        self.is_open.set(true);
        self.publish_advisor_proxies();
        let mut links_checked_at = self.clock.now();
        let mut reported_at = self.clock.now();
        while !self.is_over() {
            self.run_scheduler();
            // Yields to the other futures of this thread, so that one scheduler run handles the inputs
            // of all that are ready.
            tokio::task::yield_now().await;
            let timeout = self.scheduler.borrow().time_to_tick(self.clock.now());
            // The scheduler also runs without an input, when a decision is due by the clock.
            let _ = tokio::time::timeout(timeout, self.wake.notified()).await;
            if self.clock.now().since(links_checked_at) >= LINK_CHECK_INTERVAL {
                links_checked_at = self.clock.now();
                self.remove_closed_proxies();
            }
            if self.clock.now().since(reported_at) >= REPORT_INTERVAL {
                reported_at = self.clock.now();
                self.report_load();
                self.report_pace();
                self.report_waits();
                self.report_accounts();
            }
        }
    }

    /// Logs the amount of work and of free capacity, so that operators can find the cause of a delay.
    fn report_load(&self) {
        let scheduler = self.scheduler.borrow();
        let load = scheduler.load();
        let unsettled = scheduler.unsettled(self.clock.now());
        info!(self.log, "load of the cell"; "jobs" => load.jobs, "ready_steps" => load.ready_steps,
            "waiting_cpu_millis" => load.waiting_cpu_millis, "workers" => load.workers,
            "usable_workers" => load.usable_workers, "free_cpu_millis" => load.free_cpu_millis,
            "held_cpu_millis" => load.held_cpu_millis,
            "used_cpu_millis" => load.used_cpu_millis, "unsettled_runs" => unsettled.runs,
            "unsettled_cpu_millis" => unsettled.cpu_millis,
            "unknown_needs" => unsettled.unknown_needs, "askers" => self.advisor_proxies());
    }

    /// Logs how late the decisions of this entry are and what they cost, so that operators can tell an
    /// overloaded owner from a full cell.
    fn report_pace(&self) {
        let scheduler = self.scheduler.borrow();
        let report = self.pace.borrow_mut().take_report(scheduler.work());
        let work = report.work;
        let urgent_wait = scheduler.longest_urgent_wait(self.clock.now());
        info!(self.log, "load of the owner"; "mean_delay_ms" => report.mean_delay.as_millis() as u64,
            "longest_delay_ms" => report.longest_delay.as_millis() as u64,
            "deciding_ms" => report.deciding.as_millis() as u64, "inputs" => work.inputs,
            "placements" => work.placements, "urgent_placements" => work.urgent_placements,
            "steps" => work.steps, "workers" => work.workers, "jobs" => work.jobs, "records" => self.queue.len(),
            "requests" => self.requests.borrow().len(),
            "urgent_wait_ms" => urgent_wait.as_millis() as u64, "token" => self.token.0);
    }

    /// Logs the steps that wait although they could run, the longest waits first.
    fn report_waits(&self) {
        let waits = self.scheduler.borrow().waits(self.clock.now());
        for wait in &waits {
            self.metrics
                .waits
                .add(1, &label("reason", wait.reason.name()));
        }
        let more = waits.len().saturating_sub(MAX_LOGGED_WAITS);
        for wait in waits.iter().take(MAX_LOGGED_WAITS) {
            warn!(self.log, "step waits although it could run"; "step" => %wait.step,
                "waited_ms" => wait.waited.as_millis() as u64, "tasks" => wait.tasks,
                "fits" => wait.fits, "reason" => wait.reason.name(), "inputs" => %wait.reason,
                "more" => more, "token" => self.token.0);
        }
    }

    /// Logs and counts what caps and weights did to the jobs of client accounts, those with the most steps
    /// held back first.
    fn report_accounts(&self) {
        let now = self.clock.now();
        let mut reports = self.scheduler.borrow_mut().take_account_reports(now);
        reports.sort_by_key(|report| Reverse((report.capped_steps, report.refused_jobs)));
        for report in &reports {
            let name = self.account_label(&report.account.name);
            let events = [
                ("capped_step", report.capped_steps),
                ("surplus_job", report.surplus_jobs),
                ("refused_job", report.refused_jobs),
            ];
            for (event, count) in events {
                let labels = [
                    KeyValue::new("account", name.clone()),
                    KeyValue::new("event", event),
                ];
                self.metrics.account_events.add(count, &labels);
            }
        }
        let more = reports.len().saturating_sub(MAX_LOGGED_ACCOUNTS);
        for report in reports.iter().take(MAX_LOGGED_ACCOUNTS) {
            info!(self.log, "client account held back"; "inputs" => %report.account,
                "weight" => report.weight, "capped_steps" => report.capped_steps,
                "surplus_jobs" => report.surplus_jobs, "refused_jobs" => report.refused_jobs,
                "more" => more, "token" => self.token.0);
        }
    }

    /// Returns the label of a client account in metrics.
    fn account_label(&self, name: &account::Name) -> String {
        let mut labelled = self.labelled_accounts.borrow_mut();
        if labelled.len() < MAX_LABELLED_ACCOUNTS {
            labelled.insert(name.clone());
        }
        if labelled.contains(name) {
            name.0.clone()
        } else {
            OTHER_ACCOUNTS.to_owned()
        }
    }

    /// Runs `work` until it completes or the ownership ends.
    async fn run_until_over(self: Rc<Owner<P>>, work: impl Future<Output = ()>) {
        tokio::select! {
            () = work => {}
            () = self.over.notified() => {}
        }
    }

    /// Returns when the decisions of this entry have been late for a while, so that it should not own
    /// the cell.
    pub async fn wait_until_late(&self) {
        let started_at = self.clock.now();
        loop {
            let due = self.clock.now() + DELAY_SAMPLE_INTERVAL;
            tokio::time::sleep(DELAY_SAMPLE_INTERVAL).await;
            let mean = self
                .pace
                .borrow_mut()
                .note_delay(self.clock.now().since(due));
            let may_hand_over = self.clock.now().since(started_at) >= MIN_TENURE;
            // No entry can claim the cell without the log, and a slow owner is better than none.
            if may_hand_over && mean > MAX_MEAN_DELAY && !self.is_log_unavailable.get() {
                warn!(self.log, "decisions run late"; "mean_ms" => mean.as_millis() as u64);
                return;
            }
        }
    }

    /// Lets the scheduler make the decisions that are due, and carries out all outputs.
    fn run_scheduler(self: &Rc<Owner<P>>) {
        let time = self.time();
        let outputs = {
            let mut outputs = self.outputs.borrow_mut();
            self.scheduler.borrow_mut().tick(time, &mut outputs);
            std::mem::take(&mut *outputs)
        };
        let deciding = self.clock.now().since(time.now);
        self.pace.borrow_mut().note_decisions(deciding);
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

    /// Passes an input to the scheduler and wakes the loop that carries out the outputs.
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
            Output::Start {
                worker,
                start,
                account,
            } => {
                self.metrics
                    .worker_commands
                    .add(1, &label("command", "start"));
                actix_rt::spawn(Rc::clone(self).start(worker, start, account));
            }
            Output::Stop { worker, task, run } => {
                self.metrics
                    .worker_commands
                    .add(1, &label("command", "stop"));
                actix_rt::spawn(Rc::clone(self).stop(worker, task, run));
            }
            Output::Verify { entry, since } => {
                actix_rt::spawn(Rc::clone(self).verify(entry, since));
            }
            Output::CallAdvisor(call) => {
                actix_rt::spawn(Rc::clone(self).advise(call));
            }
            Output::Answer { request, answer } => self.answer(request, answer),
            Output::Ended {
                worker,
                task,
                run,
                end,
            } => {
                info!(self.log, "run ended"; "task" => %task, "run" => run.0, "how" => end.name(),
                    "worker" => self.worker_name(worker), "token" => self.token.0);
            }
            Output::Crashed {
                worker,
                task,
                run,
                is_certain,
                is_alone,
                crashes,
                verdict,
            } => {
                self.metrics
                    .task_crashes
                    .add(1, &label("verdict", verdict.name()));
                info!(self.log, "worker crashed soon after the start of a run"; "task" => %task,
                    "run" => run.0, "worker" => worker, "certain" => is_certain, "alone" => is_alone,
                    "crashes" => crashes, "verdict" => verdict.name(), "token" => self.token.0);
            }
            Output::GivenUp { task, history } => self.report_given_up(task, &history),
            Output::Contradiction {
                entry,
                incarnation,
                address,
                report_age,
                lease_left,
                verdict,
            } => {
                warn!(self.log, "entry in the directory contradicts its worker"; "worker" => entry.name,
                    "incarnation" => incarnation, "address" => %address,
                    "listed_incarnation" => entry.incarnation, "listed_address" => %entry.address,
                    "report_age_ms" => report_age.as_millis() as u64,
                    "lease_left_ms" => lease_left.as_millis() as u64, "verdict" => verdict,
                    "token" => self.token.0);
            }
            Output::UnnamedService { worker, service } => {
                info!(self.log, "entry in the directory names no service of a queue"; "worker" => worker,
                    "service" => service, "token" => self.token.0);
            }
            Output::Phase { job, phase, reason } => {
                info!(self.log, "job changed"; "job" => %job, "phase" => phase.name(), "reason" => reason);
            }
            Output::Adopted {
                worker,
                task,
                run,
                need,
                is_wanted,
            } => {
                info!(self.log, "run found on a worker"; "task" => %task, "run" => run.0,
                    "worker" => self.worker_name(worker), "goes_on" => is_wanted,
                    "cpu_millis" => need.map(|need| need.cpu_millis),
                    "memory_mib" => need.map(|need| need.memory_mib), "token" => self.token.0);
            }
            Output::Released {
                worker,
                task,
                run,
                reason,
                evidence,
            } => {
                info!(self.log, "run released without an end"; "task" => %task, "run" => run.0,
                    "worker" => worker, "incarnation" => evidence.incarnation,
                    "address" => %evidence.address, "reason" => reason,
                    "state" => evidence.state.name(), "confirmed" => evidence.is_confirmed,
                    "reported" => evidence.is_reported,
                    "age_ms" => evidence.age.as_millis() as u64,
                    "report_age_ms" => evidence.report_age.as_millis() as u64,
                    "lease_left_ms" => evidence.lease_left.as_millis() as u64, "token" => self.token.0);
            }
            Output::PassedOn {
                worker,
                from,
                to,
                task,
                run,
            } => {
                info!(self.log, "start passed on to the next incarnation"; "task" => %task,
                    "run" => run.0, "worker" => worker, "from" => from, "to" => to,
                    "token" => self.token.0);
            }
            Output::Voided {
                worker,
                task,
                run,
                age,
            } => {
                info!(self.log, "delayed start stopped on another incarnation"; "task" => %task,
                    "run" => run.0, "worker" => worker, "age_ms" => age.as_millis() as u64,
                    "token" => self.token.0);
            }
            Output::Inherited {
                worker,
                incarnation,
                is_known,
                source,
                waited,
            } => {
                info!(self.log, "runs of earlier owners"; "worker" => worker,
                    "incarnation" => incarnation, "known" => is_known, "source" => source,
                    "waited_ms" => waited.as_millis() as u64, "token" => self.token.0);
            }
            Output::Lost { workers, losses } => {
                warn!(self.log, "workers of earlier owners are gone"; "count" => workers.len(),
                    "first" => workers.first(), "losses" => losses, "token" => self.token.0);
            }
            Output::Worker {
                worker,
                name,
                incarnation,
                address,
                event,
            } => {
                info!(self.log, "worker changed"; "worker" => name, "event" => event,
                    "incarnation" => incarnation, "address" => %address, "token" => self.token.0);
                match event {
                    "listed" => {
                        actix_rt::spawn(Rc::clone(self).poll_worker(worker));
                    }
                    OVERCOMMITTED => self.report_overcommitted(worker),
                    _ => {}
                }
            }
            Output::Superseded => self.finish("a worker has seen a higher token"),
        }
    }

    fn report_given_up(&self, task: Task, history: &poison::Record) {
        self.metrics.given_up_tasks.add(1, &[]);
        let crashes = history.crashes.iter();
        let crashes = crashes.map(|crash| format!("{} at {}", crash.worker, crash.at.0));
        let crashes: Vec<String> = crashes.collect();
        warn!(self.log, "task crashes its workers and is given up"; "task" => %task,
            "workers" => history.crashes.len(), "crashes" => crashes.join(", "),
            "trials" => history.trials, "open_starts" => history.starts.len(),
            "unseen" => history.unseen, "token" => self.token.0);
    }

    fn report_overcommitted(&self, worker: Worker) {
        self.metrics.overcommitted_workers.add(1, &[]);
        let scheduler = self.scheduler.borrow();
        if let Some(worker) = scheduler.worker(worker) {
            warn!(self.log, "worker has more runs than capacity"; "worker" => &worker.entry.name,
                "reported" => %worker.reported, "used" => %worker.used,
                "capacity" => %worker.entry.capacity, "runs" => worker.attempts.len(), "token" => self.token.0);
        }
    }

    fn worker_name(&self, worker: Worker) -> String {
        let scheduler = self.scheduler.borrow();
        scheduler
            .worker(worker)
            .map(|worker| worker.entry.name.clone())
            .unwrap_or_default()
    }

    fn address(&self, worker: Worker) -> Option<Address> {
        let scheduler = self.scheduler.borrow();
        Some(Address::from(&scheduler.worker(worker)?.entry))
    }

    fn answer(&self, request: Request, answer: Result<Answer>) {
        let reply = self.requests.borrow_mut().try_remove(request.0 as usize);
        if let Some(reply) = reply {
            // The caller may have stopped waiting.
            let _ = reply.send(answer);
        }
    }

    /// Serves a request of a client once the takeover is complete.
    pub async fn serve(&self, request: EntryRequest) -> Result<EntryResponse> {
        if !self.opened().await {
            return Err(no_owner());
        }
        match request {
            EntryRequest::Read {
                job,
                queue,
                endpoint,
                account,
            } => {
                let queue = Locator::new(endpoint.as_ref(), &queue);
                let scheduler = self.scheduler.borrow();
                let state = scheduler.job(job);
                let state = state.filter(|state| state.is_visible_to(account.as_ref()));
                let phase = state.and_then(|_| scheduler.phase(job, queue));
                Ok(phase.map_or(EntryResponse::Gone, EntryResponse::Phase))
            }
            EntryRequest::Pending { queue, endpoint } => {
                let queue = Locator::new(endpoint.as_ref(), &queue);
                let pending = self.scheduler.borrow().pending(queue);
                Ok(EntryResponse::Pending(pending as u64))
            }
            EntryRequest::Submit {
                job,
                queue,
                endpoint,
                spec,
                account,
            } => {
                let at = self.clock.stamp();
                let spec = std::sync::Arc::new(spec);
                info!(self.log, "job handed in"; "job" => %job, "queue" => &queue.name, "steps" => spec.steps.len(),
                    "account" => account.as_ref().map(|name| name.0.as_str()));
                let answer = self.request(|request| Input::Submit {
                    request,
                    job,
                    queue,
                    endpoint,
                    spec,
                    account,
                    at,
                });
                answer.await
            }
            EntryRequest::Cancel {
                job,
                queue,
                endpoint,
                account,
            } => {
                let at = self.clock.stamp();
                info!(self.log, "cancellation of a job requested"; "job" => %job);
                let answer = self.request(|request| Input::Cancel {
                    request,
                    job,
                    queue,
                    endpoint,
                    account,
                    at,
                });
                answer.await
            }
            EntryRequest::Explain(subject) => self.explain(subject),
            EntryRequest::Claim
            | EntryRequest::Configuration { .. }
            | EntryRequest::TakeOver { .. }
            | EntryRequest::Leases { .. }
            | EntryRequest::Advise { .. } => Err(Error::new(
                Kind::Internal,
                "the request is for the entry itself, not for the owner of the cell",
            )),
        }
    }

    /// Explains a placement on a copy of the scheduler, at most once in [`EXPLAIN_INTERVAL`].
    fn explain(&self, subject: Explain) -> Result<EntryResponse> {
        let time = self.time();
        let since = self.explained_at.get().map(|at| time.now.since(at));
        if let Some(left) = since.and_then(|since| EXPLAIN_INTERVAL.checked_sub(since)) {
            let error = Error::new(
                Kind::Overloaded,
                "the owner has just explained another placement; retry later",
            );
            return Err(error.with_retry_after(left));
        }
        self.explained_at.set(Some(time.now));
        let scheduler = self.scheduler.borrow();
        let explanation = match subject {
            Explain::Submission {
                queue,
                spec,
                account,
            } => {
                let spec = std::sync::Arc::new(spec);
                let submission = Submission {
                    queue: *queue,
                    spec,
                    account,
                };
                scheduler.explain_submission(time, &submission)
            }
            Explain::Job(job) => scheduler.explain_job(time, job).ok_or_else(|| {
                let message = format!("job {job} is not known or has ended");
                Error::new(Kind::NotFound, message)
            })?,
        };
        Ok(EntryResponse::Explained(Box::new(explanation)))
    }

    async fn request(&self, input: impl FnOnce(Request) -> Input) -> Result<EntryResponse> {
        let (reply, answer) = oneshot::channel();
        let request = Request(self.requests.borrow_mut().insert(reply) as u64);
        self.apply(input(request));
        match answer.await {
            Ok(answer) => answer.map(|answer| match answer {
                Answer::Accepted => EntryResponse::Accepted,
                Answer::Cancelled => EntryResponse::Cancelled,
                Answer::Gone => EntryResponse::Gone,
            }),
            Err(_) => Err(Error::new(
                Kind::AnswerLost,
                "the ownership ended before the log confirmed the record",
            )),
        }
    }

    async fn write(self: Rc<Owner<P>>) {
        let on_event = |event| match event {
            writer::Event::Durable { mark, sent } => {
                self.metrics.appends.add(1, &label("outcome", "done"));
                self.is_refused.set(false);
                self.apply(Input::ClaimConfirmed(sent));
                self.apply(Input::Durable(mark));
                self.durable.notify_waiters();
            }
            writer::Event::Unavailable(sent) => {
                self.metrics.appends.add(1, &label("outcome", "away"));
                self.is_log_unavailable.set(true);
                self.apply(Input::LogUnavailable { sent });
                // The scheduler's withdrawals must have left the queue before the writer continues.
                self.run_scheduler();
            }
            writer::Event::Refused => self.is_refused.set(true),
            writer::Event::Available => {
                self.is_log_unavailable.set(false);
                self.is_refused.set(false);
                self.apply(Input::LogAvailable);
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
            on_event,
        )
        .await;
    }

    async fn follow_directory(self: Rc<Owner<P>>) {
        let mut directory = self.platform.directory();
        let mut is_readable = true;
        loop {
            match directory.changes().await {
                Ok(changes) => {
                    if !is_readable {
                        info!(self.log, "directory can be read again");
                        is_readable = true;
                    }
                    for change in changes {
                        self.apply(match change {
                            DirectoryChange::Listed(entry) => Input::Listed(entry),
                            DirectoryChange::Unlisted(name) => Input::Unlisted(name),
                        });
                    }
                }
                Err(failure) if is_readable => {
                    warn!(self.log, "directory cannot be read"; "failure" => ?failure);
                    is_readable = false;
                }
                Err(_) => {}
            }
            tokio::time::sleep(DIRECTORY_PAUSE).await;
        }
    }

    async fn follow_configuration(
        self: Rc<Owner<P>>,
        mut tables: watch::Receiver<Option<std::sync::Arc<QueueTable>>>,
    ) {
        loop {
            let table = tables.borrow_and_update().clone();
            if let Some(table) = table {
                self.apply(Input::Queues(table.bindings().cloned().collect()));
                let accounts = table.accounts.iter().flat_map(account::Table::accounts);
                self.apply(Input::Accounts(accounts.cloned().collect()));
            }
            if tables.changed().await.is_err() {
                return;
            }
        }
    }

    /// Adds a link to an entry that can call the advisor.
    pub fn add_advisor_proxy(&self, link: Link) {
        let proxy = AdvisorProxy(self.next_proxy.replace(self.next_proxy.get() + 1));
        self.advisor_proxies.borrow_mut().insert(proxy, link);
        self.publish_advisor_proxies();
    }

    /// Whether the log keeps refusing the records of this owner.
    pub fn is_refused(&self) -> bool {
        self.is_refused.get() && !self.is_over()
    }

    /// Returns the links to the other entries.
    pub fn links(&self) -> Vec<Link> {
        self.advisor_proxies.borrow().values().cloned().collect()
    }

    /// Returns how many entries can call the advisor, this one included.
    pub fn advisor_proxies(&self) -> usize {
        self.advisor_proxies.borrow().len() + 1
    }

    /// Removes the entries whose links are closed, and notifies the scheduler if there are any.
    fn remove_closed_proxies(&self) {
        let mut proxies = self.advisor_proxies.borrow_mut();
        let before = proxies.len();
        proxies.retain(|_, link| link.is_open());
        let is_changed = proxies.len() < before;
        drop(proxies);
        if is_changed {
            self.publish_advisor_proxies();
        }
    }

    /// Passes the numbers of the entries that can call the advisor to the scheduler.
    fn publish_advisor_proxies(&self) {
        let mut proxies: Vec<AdvisorProxy> =
            self.advisor_proxies.borrow().keys().copied().collect();
        proxies.push(LOCAL_PROXY);
        proxies.sort_unstable();
        self.apply(Input::AdvisorProxies(proxies));
    }
}

/// Returns the error for a request to an entry that is not the owner.
pub fn no_owner() -> Error {
    Error::new(
        Kind::NoOwner,
        "this entry does not own the cell; retry later",
    )
}

/// Returns the first offset that can be read, if a read failed because the log no longer has the
/// records before it.
pub fn first_available(failure: ReadError) -> Option<u64> {
    match failure {
        ReadError::Truncated { first } => Some(first),
        ReadError::Refused | ReadError::Lost => None,
    }
}
