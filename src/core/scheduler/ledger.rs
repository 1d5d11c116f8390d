//! Accounts for what the runs of each client account use, and keeps starts within the accounts' caps.
//!
//! The load that this answers: an account sends several times what it usually does, while workers are
//! silent, starts have no answer and owners change. No start may bring what the account has running above
//! its cap.
//!
//! A run counts from the decision to start it until it certainly is not on its worker any more, like the
//! [capacity that it uses](super::worker). While workers of earlier owners have not reported, whatever the
//! inherited jobs of an account may have running there counts too: each task that waits, since it may have a
//! run that is not known yet, and the runs that were left when a job ended. None of it exceeds the capacity
//! of those workers.
//!
//! Within a placement, a gang that waits for room below its account's cap holds that room: other steps of
//! the account would take each part of it as it becomes free.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use laburnum_derive::{message, state, value};
use slotmap::{SlotMap, new_key_type};

use super::id::{Job, Run, Step, Task, Worker};
use super::job::Job as JobState;
use super::place::Steps;
use super::plan;
use super::spec::{self, Spec};
use super::worker::Attempt;
use super::{Scheduler, Time};
use crate::core::account;
use crate::core::error::{Error, Kind, Result};
use crate::core::resource::Amount;
use crate::core::time::Instant;

new_key_type! {
    /// The key of a client account in the ledger.
    pub struct Account;
}

/// What a run adds to the use of its account.
#[value]
pub struct Charge {
    account: Account,
    job: Job,
    amount: Amount,
}

/// The runs that a job may have left when it ended.
#[message]
#[derive(Copy)]
pub struct Remainder {
    /// The number of runs.
    pub runs: usize,
    /// The most of each resource that one of them uses.
    pub need: Amount,
}

impl Remainder {
    /// Returns the most that these runs use, except for `seen` of them.
    fn unseen(self, seen: usize) -> Amount {
        self.need.times(self.runs.saturating_sub(seen) as u64)
    }
}

/// What a client account uses.
#[state]
pub struct AccountUse {
    /// The account.
    pub name: account::Name,
    /// What its known runs use.
    pub used: Amount,
    /// What it may have running on workers of earlier owners that have not reported.
    pub unseen: Amount,
    /// What gangs of the account that come earlier in the order wait for.
    pub held: Amount,
    /// Its cap; `None` while the accounts of the configuration are not known.
    pub cap: Option<account::Cap>,
    /// The time since the configuration last set the accounts.
    pub cap_age: Duration,
}

/// What caps and weights did to the jobs of a client account.
#[state]
pub struct AccountReport {
    /// What the account uses.
    pub account: AccountUse,
    /// Its weight; `None` for an account that the configuration does not list.
    pub weight: Option<f64>,
    /// The steps that its cap held back at the last placement of all steps.
    pub capped_steps: u64,
    /// The jobs beyond its weight that were accepted since the last report.
    pub surplus_jobs: u64,
    /// The jobs beyond its weight that were refused since the last report.
    pub refused_jobs: u64,
}

impl AccountReport {
    fn is_empty(&self) -> bool {
        self.capped_steps + self.surplus_jobs + self.refused_jobs == 0
    }
}

impl fmt::Display for AccountUse {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AccountUse {
            name,
            used,
            unseen,
            held,
            cap,
            cap_age,
        } = self;
        write!(
            out,
            "account={} used={used} unseen={unseen} held={held} cap=",
            name.0
        )?;
        match cap {
            Some(cap) => write!(out, "{cap}")?,
            None => write!(out, "unknown")?,
        }
        write!(out, " cap_age_ms={}", cap_age.as_millis())
    }
}

/// What is known of a client account.
#[derive(Clone)]
struct Entry {
    name: account::Name,
    /// The last cap that the configuration listed, if any.
    cap: Option<account::Cap>,
    /// Its weight; `None` for an account that the configuration does not list.
    weight: Option<f64>,
    /// What its known runs use.
    used: Amount,
    /// What it may have running on workers of earlier owners that have not reported.
    unseen: Amount,
    /// What gangs that come earlier in the order wait for, as of the current placement.
    held: Amount,
    /// See [`AccountReport`].
    capped_steps: u64,
    surplus_jobs: u64,
    refused_jobs: u64,
}

/// The use and the caps of client accounts.
#[derive(Clone, Default)]
pub(super) struct Ledger {
    /// When the configuration last set the accounts; `None` while they are not known.
    configured_at: Option<Instant>,
    /// The cap of accounts that the configuration has never listed: not yet, or not any more when this
    /// ownership began. It is the smallest of those that are listed.
    fallback: account::Cap,
    entries: SlotMap<Account, Entry>,
    by_name: HashMap<account::Name, Account>,
    /// The number of known runs of each job that has any.
    runs: HashMap<Job, usize>,
    /// The jobs of accounts that earlier owners may have running.
    inherited: Vec<Job>,
}

impl Ledger {
    /// Sets the accounts of the present configuration. An account that is not listed any more keeps its
    /// cap, since its accepted jobs go on.
    pub(super) fn configure(&mut self, accounts: &[account::Account], now: Instant) {
        self.configured_at = Some(now);
        let caps = accounts.iter().map(|account| account.cap);
        self.fallback = caps.reduce(account::Cap::min).unwrap_or_default();
        for entry in self.entries.values_mut() {
            entry.weight = None;
        }
        for account in accounts {
            let key = self.open(&account.name);
            self.entries[key].cap = Some(account.cap);
            self.entries[key].weight = Some(account.weight);
        }
    }

    /// Returns the key of an account, which is added if it is new.
    fn open(&mut self, name: &account::Name) -> Account {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let key = self.entries.insert(Entry {
            name: name.clone(),
            cap: None,
            weight: None,
            used: Amount::default(),
            unseen: Amount::default(),
            held: Amount::default(),
            capped_steps: 0,
            surplus_jobs: 0,
            refused_jobs: 0,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Returns what the known runs of an account use.
    pub(super) fn used(&self, name: &account::Name) -> Amount {
        let key = self.by_name.get(name);
        key.map_or(Amount::default(), |&key| self.entries[key].used)
    }

    /// Whether no account is known.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the weight of an account; `None` if the configuration does not list it.
    pub(super) fn weight(&self, name: &account::Name) -> Option<f64> {
        self.entries[*self.by_name.get(name)?].weight
    }

    /// Returns the listed accounts with their weights.
    pub(super) fn weights(&self) -> impl Iterator<Item = (&account::Name, f64)> {
        let entries = self.entries.values();
        entries.filter_map(|entry| Some((&entry.name, entry.weight?)))
    }

    /// Counts a run of a job.
    fn charge(&mut self, name: &account::Name, job: Job, amount: Amount) -> Charge {
        let account = self.open(name);
        self.entries[account].used += amount;
        *self.runs.entry(job).or_default() += 1;
        Charge {
            account,
            job,
            amount,
        }
    }

    /// Removes a run that was counted.
    fn refund(&mut self, charge: Charge) {
        self.entries[charge.account].used -= charge.amount;
        if let Some(runs) = self.runs.get_mut(&charge.job) {
            *runs -= 1;
            if *runs == 0 {
                self.runs.remove(&charge.job);
            }
        }
    }

    /// Returns the number of known runs of a job.
    fn runs_of(&self, job: Job) -> usize {
        self.runs.get(&job).copied().unwrap_or_default()
    }

    /// Returns what an account may start now. Urgent steps may use what gangs wait for.
    fn room(&self, name: &account::Name, is_urgent: bool) -> Amount {
        if self.configured_at.is_none() {
            return Amount::default();
        }
        let Some(entry) = self.by_name.get(name).map(|&key| &self.entries[key]) else {
            return self.fallback.left(Amount::default());
        };
        let held = if is_urgent {
            Amount::default()
        } else {
            entry.held
        };
        let cap = entry.cap.unwrap_or(self.fallback);
        let taken = entry.used + entry.unseen;
        cap.left(taken + held)
    }

    /// Returns the first gang that needs more than its account may ever use at once.
    fn impossible_gang<'a>(&self, name: &account::Name, spec: &'a Spec) -> Option<&'a spec::Step> {
        let entry = self.by_name.get(name).map(|&key| &self.entries[key]);
        let cap = entry.and_then(|entry| entry.cap)?;
        let mut gangs = spec.steps.iter().filter(|step| step.gang);
        gangs.find(|step| !cap.allows(step.total_need()))
    }

    /// Returns what is known of an account.
    fn describe(&self, name: &account::Name, now: Instant) -> AccountUse {
        let entry = self.by_name.get(name).map(|&key| &self.entries[key]);
        let amount = |of: fn(&Entry) -> Amount| entry.map(of).unwrap_or_default();
        let cap = entry.and_then(|entry| entry.cap).unwrap_or(self.fallback);
        AccountUse {
            name: name.clone(),
            used: amount(|entry| entry.used),
            unseen: amount(|entry| entry.unseen),
            held: amount(|entry| entry.held),
            cap: self.configured_at.map(|_| cap),
            cap_age: self
                .configured_at
                .map_or(Duration::ZERO, |at| now.since(at)),
        }
    }

    /// Keeps an amount from the later steps of a placement.
    fn hold(&mut self, name: &account::Name, amount: Amount) {
        let key = self.open(name);
        let entry = &mut self.entries[key];
        // Room that the account can never have isn't worth waiting for.
        if entry.cap.unwrap_or(self.fallback).allows(amount) {
            entry.held += amount;
        }
    }

    fn begin_placement(&mut self) {
        for entry in self.entries.values_mut() {
            entry.held = Amount::default();
            entry.capped_steps = 0;
        }
    }

    /// Counts a job beyond the weight of its account.
    pub(super) fn count_surplus(&mut self, name: &account::Name, is_refused: bool) {
        let key = self.open(name);
        let entry = &mut self.entries[key];
        entry.surplus_jobs += u64::from(!is_refused);
        entry.refused_jobs += u64::from(is_refused);
    }

    fn count_capped(&mut self, name: &account::Name) {
        let key = self.open(name);
        self.entries[key].capped_steps += 1;
    }

    /// Returns what happened to accounts since the last call.
    fn take_reports(&mut self, now: Instant) -> Vec<AccountReport> {
        let mut reports = Vec::new();
        for entry in self.entries.values() {
            reports.push(AccountReport {
                account: self.describe(&entry.name, now),
                weight: entry.weight,
                capped_steps: entry.capped_steps,
                surplus_jobs: entry.surplus_jobs,
                refused_jobs: entry.refused_jobs,
            });
        }
        for entry in self.entries.values_mut() {
            entry.surplus_jobs = 0;
            entry.refused_jobs = 0;
        }
        reports.retain(|report| !report.is_empty());
        reports
    }

    fn set_unseen(&mut self, unseen: &HashMap<account::Name, Amount>) {
        for entry in self.entries.values_mut() {
            entry.unseen = unseen.get(&entry.name).copied().unwrap_or_default();
        }
    }
}

impl Scheduler {
    /// Returns what the known runs of a client account use.
    pub fn used_by(&self, account: &account::Name) -> Amount {
        self.ledger.used(account)
    }

    /// Adds a run to a worker, and counts it for the account of its job.
    pub(super) fn insert_run(&mut self, key: Worker, task: Task, run: Run, mut attempt: Attempt) {
        self.remove_run(key, task, run);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let job = self.jobs.get(&task.step.job);
        attempt.charge = job.and_then(|job| {
            let account = job.account.as_ref()?;
            let step = job.spec.steps.get(usize::from(task.step.index));
            let remainder = job.remainder.filter(|remainder| remainder.runs > 0);
            let most = remainder.map_or(worker.entry.capacity, |remainder| remainder.need);
            let amount = step.map_or(most, |step| step.need);
            Some(self.ledger.charge(account, task.step.job, amount))
        });
        worker.insert(task, run, attempt);
    }

    /// Removes a run from a worker, and from the account of its job; `None` if the run is not there.
    pub(super) fn remove_run(&mut self, key: Worker, task: Task, run: Run) -> Option<Attempt> {
        let mut attempt = self.workers.get_mut(key)?.remove(task, run)?;
        if let Some(charge) = attempt.charge.take() {
            self.ledger.refund(charge);
        }
        Some(attempt)
    }

    /// Stores which jobs earlier owners may have running, at the end of the recovery.
    pub(super) fn inherit_accounts(&mut self) {
        let jobs = self.jobs.iter();
        let of_accounts = jobs.filter(|(_, job)| job.account.is_some() && !job.is_over());
        self.ledger.inherited = of_accounts.map(|(&id, _)| id).collect();
    }

    /// Prepares the ledger for a placement of all or of the urgent steps.
    pub(super) fn count_accounts(&mut self, time: Time, steps: Steps) {
        if steps == Steps::All {
            self.ledger.begin_placement();
        }
        let unseen = if self.inherited_known_at > time.now {
            self.unseen_use()
        } else {
            HashMap::new()
        };
        self.ledger.set_unseen(&unseen);
        #[cfg(debug_assertions)]
        self.check_ledger();
    }

    /// Returns what each account may have running on workers of earlier owners that have not reported.
    fn unseen_use(&self) -> HashMap<account::Name, Amount> {
        let mut unseen: HashMap<account::Name, Amount> = HashMap::new();
        for &id in &self.ledger.inherited {
            let job = self.jobs.get(&id);
            let Some((job, name)) = job.and_then(|job| Some((job, job.account.as_ref()?))) else {
                continue;
            };
            let amount = match job.remainder {
                Some(remainder) => remainder.unseen(self.ledger.runs_of(id)),
                None => waiting_need(job),
            };
            let sum = unseen.entry(name.clone()).or_default();
            *sum += amount;
        }
        if let Some(capacity) = self.unknown_capacity() {
            for amount in unseen.values_mut() {
                *amount = Amount::min(*amount, capacity);
            }
        }
        unseen
    }

    /// Returns the capacity of the workers on which runs of earlier owners are not known; `None` while one
    /// of them is not listed.
    fn unknown_capacity(&self) -> Option<Amount> {
        let mut capacity = Amount::default();
        for (name, _) in self.unknown_inherited_workers() {
            let key = self.by_name.get(name)?;
            capacity += self.workers.get(*key)?.entry.capacity;
        }
        Some(capacity)
    }

    /// Returns the runs that a job which ends now may have left.
    pub(super) fn remainder(&self, id: Job, time: Time) -> Option<Remainder> {
        let job = self.jobs.get(&id)?;
        job.account.as_ref()?;
        let mut runs = self.ledger.runs_of(id);
        if job.is_inherited && self.inherited_runs_known_at(time.now) > time.now {
            runs += ready_steps(job).map(|(_, waiting)| waiting).sum::<usize>();
        }
        let needs = job.spec.steps.iter().map(|step| step.need);
        let need = needs.reduce(Amount::max).unwrap_or_default();
        Some(Remainder { runs, need })
    }

    /// Refuses a job with a gang that is wider than the cap of its account.
    pub(super) fn check_gangs(&self, account: Option<&account::Name>, spec: &Spec) -> Result<()> {
        let found = account.and_then(|name| self.ledger.impossible_gang(name, spec));
        let Some(step) = found else {
            return Ok(());
        };
        let message = format!(
            "a gang of {} tasks needs {} at once, more than the cap of the client account",
            step.tasks,
            step.total_need()
        );
        Err(Error::new(Kind::Impossible, message))
    }

    /// Returns how many waiting tasks of a step the cap of its account allows to start now. A gang starts
    /// whole or not at all; while it may not, it holds the room that it waits for.
    pub(super) fn startable_tasks(&mut self, id: Step, is_urgent: bool) -> usize {
        let Some(job) = self.jobs.get(&id.job) else {
            return 0;
        };
        let spec = job.spec.steps.get(usize::from(id.index));
        let (Some(name), Some(spec)) = (&job.account, spec) else {
            return usize::MAX;
        };
        let tasks = plan::fits(self.ledger.room(name, is_urgent), spec.need);
        if !spec.gang || tasks >= usize::from(spec.tasks) {
            return tasks;
        }
        self.ledger.hold(name, spec.total_need());
        0
    }

    /// Returns the account of a job if its cap allows no task of a step to start.
    pub(super) fn account_at_cap(
        &self,
        job: &JobState,
        spec: &spec::Step,
        now: Instant,
    ) -> Option<AccountUse> {
        let name = job.account.as_ref()?;
        let room = self.ledger.room(name, job.queue.priority == 0);
        let needed = if spec.gang {
            spec.total_need()
        } else {
            spec.need
        };
        (!needed.fits(room)).then(|| self.ledger.describe(name, now))
    }

    /// Holds the room below the cap of a gang's account while the gang waits for workers.
    pub(super) fn hold_account(&mut self, id: Step) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let spec = job.spec.steps.get(usize::from(id.index));
        if let (Some(name), Some(spec)) = (&job.account, spec.filter(|spec| spec.gang)) {
            self.ledger.hold(name, spec.total_need());
        }
    }

    /// Counts a step that the cap of its account holds back.
    pub(super) fn count_capped(&mut self, id: Step) {
        let job = self.jobs.get(&id.job);
        if let Some(name) = job.and_then(|job| job.account.as_ref()) {
            self.ledger.count_capped(name);
        }
    }

    /// Returns the client accounts whose jobs were held back, put off or refused since the last call.
    pub fn take_account_reports(&mut self, now: Instant) -> Vec<AccountReport> {
        self.ledger.take_reports(now)
    }

    /// Checks the ledger against the table of runs.
    #[cfg(debug_assertions)]
    fn check_ledger(&self) {
        let mut used: HashMap<Account, Amount> = HashMap::new();
        let attempts = self.workers.values().flat_map(|worker| &worker.attempts);
        for ((task, run), attempt) in attempts {
            let job = self.jobs.get(&task.step.job);
            let account = job.and_then(|job| job.account.as_ref());
            let charged = attempt
                .charge
                .map(|charge| &self.ledger.entries[charge.account].name);
            debug_assert!(job.is_none() || charged == account, "{task} run {}", run.0);
            if let Some(charge) = attempt.charge {
                *used.entry(charge.account).or_default() += charge.amount;
            }
        }
        for (key, entry) in &self.ledger.entries {
            let used = used.get(&key).copied().unwrap_or_default();
            debug_assert_eq!(entry.used, used, "{}", entry.name.0);
        }
    }
}

/// Returns the steps of a job whose dependencies are done, by index, with the numbers of their tasks that
/// have no known run.
fn ready_steps(job: &JobState) -> impl Iterator<Item = (usize, usize)> {
    job.occurrences.values().flat_map(|occurrence| {
        let steps = occurrence.steps.iter().enumerate();
        steps
            .filter(|(index, _)| occurrence.is_ready(&job.spec, *index as u16))
            .map(|(index, step)| (index, step.waiting))
    })
}

/// Returns what the tasks of a job use that have no known run, if each has one.
fn waiting_need(job: &JobState) -> Amount {
    let needs = ready_steps(job).map(|(index, waiting)| {
        let need = job.spec.steps[index].need;
        need.times(waiting as u64)
    });
    needs.fold(Amount::default(), std::ops::Add::add)
}
