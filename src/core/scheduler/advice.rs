//! Permits for workers, which an advisor issues for each step, and the distribution of the calls to
//! the advisor over the entries.
//!
//! An advisor takes one call at a time from each entry, so calls are spread over the entries. Calls
//! for bulk steps can take half a second, as long as a lookup may take in all, so some entries take
//! short calls only. An entry may be unable to reach the advisor while its link to the owner works, so
//! an entry whose call failed is passed over for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use fixedbitset::FixedBitSet;
use laburnum_derive::{state, value};

use super::id::{Step, Worker};
use super::plan::Reserved;
use super::spec::Advice;
use crate::core::time::Instant;

/// A call that is expected to take longer than this is a long one.
const LONG_CALL: Duration = Duration::from_millis(50);
/// A call is assigned only to an entry whose earlier calls are expected to end within this span. It
/// covers the round trip to the advisor. A longer span would queue calls at the entry, where a call
/// for a step that comes earlier in the order cannot overtake them.
const LOOKAHEAD: Duration = Duration::from_millis(25);
/// One in this many entries takes short calls only.
const SHORT_ONLY_SHARE: usize = 3;
/// How long after its expected end an unanswered call is given up.
pub const CALL_GRACE: Duration = Duration::from_millis(1_500);
/// The first pause of an entry whose call failed. It doubles with each further failure.
const FIRST_ENTRY_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause of an entry.
const MAX_ENTRY_PAUSE: Duration = Duration::from_secs(8);
/// How long a step that the permitted workers cannot hold waits until it asks again about those denied.
/// The wait doubles each time: a worker may have been denied because the advisor did not know it yet,
/// but most denials last.
const FIRST_RECHECK: Duration = Duration::from_secs(1);
/// The longest such wait.
const MAX_RECHECK: Duration = Duration::from_secs(16);
/// A permit is not used when it ends within this span, since the start command needs time to reach
/// the worker.
const PERMIT_MARGIN: Duration = Duration::from_millis(150);

/// The number of an entry that calls the advisor for the owner; 0 is the owner itself.
#[value]
pub struct AdvisorProxy(pub u32);

/// A permit for a worker to run tasks of a step.
#[state]
pub struct Permit {
    /// The advisor's text for the permit, which the start command passes to the worker.
    pub value: std::sync::Arc<str>,
    /// When the permit ends, on this process's clock.
    pub until: Instant,
}

/// The last answer of the advisor for a worker.
#[state]
pub enum Verdict {
    /// The worker may run the step.
    Permitted(Permit),
    /// The worker may not run the step.
    Denied,
    /// The worker was denied, and the advisor is to be asked again.
    Doubted,
}

impl Verdict {
    fn permit(&self) -> Option<&Permit> {
        match self {
            Verdict::Permitted(permit) => Some(permit),
            Verdict::Denied | Verdict::Doubted => None,
        }
    }
}

/// When a step asks again about workers that the advisor has denied.
#[state]
struct Recheck {
    due: Instant,
    wait: Duration,
}

/// The advisor's answers for a step, and the call in progress.
#[state]
#[derive(Default)]
pub struct Permits {
    /// The last answer for each worker.
    pub workers: BTreeMap<Worker, Verdict>,
    /// The number of the call in progress.
    pub call: Option<u64>,
    /// The earliest time of the next call; set after a failed call.
    pub not_before: Instant,
    recheck: Option<Recheck>,
    /// The seats of the permitted workers, and maybe those of others.
    permitted_seats: FixedBitSet,
    /// The seats of the workers of which the advisor need not be asked, unless others have got them since.
    closed_seats: FixedBitSet,
    /// How many seats had got a further worker before the first answer.
    reused_before: Option<usize>,
}

impl Permits {
    /// Returns the value of the worker's permit; `None` if it has none that can be used at `now`.
    pub fn usable(&self, worker: Worker, now: Instant) -> Option<&std::sync::Arc<str>> {
        let permit = self.workers.get(&worker)?.permit()?;
        (permit.until > now + PERMIT_MARGIN).then_some(&permit.value)
    }

    /// Returns whether the last answer for the worker permitted it; `None` without an answer. The
    /// permit may have ended.
    pub fn verdict(&self, worker: Worker) -> Option<bool> {
        let verdict = self.workers.get(&worker)?;
        Some(verdict.permit().is_some())
    }

    /// Whether the advisor is to be asked if the worker may run the step.
    pub fn is_open(&self, worker: Worker) -> bool {
        let verdict = self.workers.get(&worker);
        verdict.is_none_or(|verdict| *verdict == Verdict::Doubted)
    }

    /// Whether the last answers permitted any worker.
    pub(super) fn has_permitted(&self) -> bool {
        let mut verdicts = self.workers.values();
        verdicts.any(|verdict| verdict.permit().is_some())
    }

    /// Returns the seats of the workers that the last answers permitted, whether or not their permits have
    /// ended. The [verdict](Permits::verdict) tells whether the worker that has the seat now is permitted.
    pub(super) fn permitted_seats(&self) -> &FixedBitSet {
        &self.permitted_seats
    }

    /// Stores which seat a worker has that an answer has named. `reused` are the seats that got a further
    /// worker so far.
    pub(super) fn note_seat(&mut self, worker: Worker, seat: usize, reused: &[usize]) {
        self.reused_before.get_or_insert(reused.len());
        self.closed_seats.grow(seat + 1);
        self.closed_seats.set(seat, !self.is_open(worker));
        self.permitted_seats.grow(seat + 1);
        let is_permitted = self.verdict(worker) == Some(true);
        self.permitted_seats.set(seat, is_permitted);
    }

    /// Returns those of `seats` whose workers the advisor may have to be asked about: all for which that
    /// [is so](Permits::is_open), and maybe others.
    pub(super) fn open_seats(&self, seats: &FixedBitSet, reused: &[usize]) -> FixedBitSet {
        let mut open = seats.clone();
        open.difference_with(&self.closed_seats);
        let before = self.reused_before.unwrap_or(reused.len());
        for &seat in &reused[before..] {
            if seats.contains(seat) {
                open.insert(seat);
            }
        }
        open
    }

    /// Forgets the answer for a worker.
    pub(super) fn forget(&mut self, worker: Worker, seat: usize) {
        self.workers.remove(&worker);
        for seats in [&mut self.closed_seats, &mut self.permitted_seats] {
            seats.grow(seat + 1);
            seats.remove(seat);
        }
    }

    /// Doubts all denials when the next recheck is due. Is to be called while the permitted workers
    /// cannot hold the step.
    pub fn recheck_denials(&mut self, now: Instant) {
        let wait = match &self.recheck {
            None => FIRST_RECHECK,
            Some(recheck) if now < recheck.due => return,
            Some(recheck) => {
                for verdict in self.workers.values_mut() {
                    if *verdict == Verdict::Denied {
                        *verdict = Verdict::Doubted;
                    }
                }
                self.closed_seats.clone_from(&self.permitted_seats);
                (recheck.wait * 2).min(MAX_RECHECK)
            }
        };
        let due = now + wait;
        self.recheck = Some(Recheck { due, wait });
    }

    /// Whether the step may call the advisor: no call is in progress or has just failed.
    pub fn may_call(&self, now: Instant) -> bool {
        self.call.is_none() && now >= self.not_before
    }

    /// Whether a call for the step has failed.
    pub fn has_failed(&self) -> bool {
        self.not_before > Instant(0)
    }

    /// Stores the answer to a call that named the workers `named`; its permits end at `until`. A worker
    /// that has restarted since the call is not one of those named. A permit that ends later is from a
    /// newer answer and is kept.
    pub fn record_answer(
        &mut self,
        named: &[Worker],
        mut allowed: Vec<(Worker, std::sync::Arc<str>)>,
        until: Instant,
    ) {
        let workers = &self.workers;
        let is_newer = |worker: &Worker| {
            let permit = workers.get(worker).and_then(Verdict::permit);
            permit.is_some_and(|permit| permit.until > until)
        };
        let named: Vec<Worker> = named.iter().copied().filter(|it| !is_newer(it)).collect();
        allowed.retain(|(worker, _)| named.contains(worker));
        let denied = named.iter().map(|&worker| (worker, Verdict::Denied));
        self.workers.extend(denied);
        for (worker, value) in allowed {
            let permit = Permit { value, until };
            self.workers.insert(worker, Verdict::Permitted(permit));
        }
    }
}

/// Distributes calls to the advisor over the entries.
#[state]
#[derive(Default)]
pub struct AdvisorProxies {
    loads: Vec<CallLoad>,
}

/// The calls of one entry.
#[state]
struct CallLoad {
    proxy: AdvisorProxy,
    /// When the last of the calls is expected to end.
    until: Instant,
    /// The number of calls in progress.
    calls: u32,
    /// How many calls in a row have failed.
    failures: u32,
    /// Whether its last call was answered.
    has_answered: bool,
    /// The length of the last pause; zero if there was none since a call succeeded.
    pause: Duration,
    /// When the pause ends.
    paused_until: Instant,
}

impl CallLoad {
    fn new(proxy: AdvisorProxy) -> CallLoad {
        CallLoad {
            proxy,
            until: Instant(0),
            calls: 0,
            failures: 0,
            has_answered: false,
            pause: Duration::ZERO,
            paused_until: Instant(0),
        }
    }

    fn is_paused(&self, now: Instant) -> bool {
        now < self.paused_until
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.until <= now + LOOKAHEAD
    }

    /// Records that a call ended. An entry without calls in progress is idle.
    fn end_call(&mut self, now: Instant) {
        self.calls = self.calls.saturating_sub(1);
        if self.calls == 0 {
            self.until = self.until.min(now);
        }
    }

    fn end_pause(&mut self) {
        self.pause = Duration::ZERO;
        self.paused_until = Instant(0);
    }
}

impl AdvisorProxies {
    /// Replaces the set of entries that can call the advisor.
    pub fn set(&mut self, proxies: &[AdvisorProxy]) {
        let former = std::mem::take(&mut self.loads);
        for &proxy in proxies {
            let known = former.iter().find(|load| load.proxy == proxy);
            let load = known.cloned().unwrap_or_else(|| CallLoad::new(proxy));
            self.loads.push(load);
        }
        self.end_pauses_of_all(|load| load.failures > 0);
    }

    /// Assigns a call that takes `cost` to an entry, and returns the entry with the expected end of
    /// the call; `None` while all entries that could take it are busy. An entry whose last call failed
    /// gets one only while the others are busy.
    pub fn pick(&mut self, now: Instant, cost: Duration) -> Option<(AdvisorProxy, Instant)> {
        self.assign(now, cost, false)
    }

    /// Does the same for a step of which a call has failed: it goes to an entry whose last call was
    /// answered, if there is one, and not to one whose last call failed while there are others.
    pub fn pick_for_retry(
        &mut self,
        now: Instant,
        cost: Duration,
    ) -> Option<(AdvisorProxy, Instant)> {
        self.assign(now, cost, true)
    }

    fn assign(
        &mut self,
        now: Instant,
        cost: Duration,
        is_retry: bool,
    ) -> Option<(AdvisorProxy, Instant)> {
        let idle = self.takers(now, cost, is_retry);
        let idle = idle.filter(|load| load.is_idle(now));
        let picked = idle.min_by_key(|load| (load.failures, load.until.max(now)))?;
        let proxy = picked.proxy;
        let load = self.load_mut(proxy)?;
        load.until = load.until.max(now) + cost;
        load.calls += 1;
        Some((proxy, load.until))
    }

    /// Returns the entries that take calls of this cost: those that have not failed, or all that are
    /// not paused if each has failed, without the share for short calls only. They are followed by the
    /// others that are not paused. A retry takes any entry whose last call was answered, if there is
    /// one.
    fn takers(
        &self,
        now: Instant,
        cost: Duration,
        is_retry: bool,
    ) -> impl Iterator<Item = &CallLoad> {
        let has_answered = is_retry && self.loads.iter().any(|load| load.has_answered);
        let has_proven = self.loads.iter().any(|load| load.failures == 0);
        let is_first = move |load: &&CallLoad| match (has_answered, has_proven) {
            (true, _) => load.has_answered,
            (false, true) => load.failures == 0,
            (false, false) => !load.is_paused(now),
        };
        let count = self.loads.iter().filter(is_first).count();
        let short_only = if !has_answered && cost > LONG_CALL && count >= SHORT_ONLY_SHARE {
            count.div_ceil(SHORT_ONLY_SHARE)
        } else {
            0
        };
        let first = self.loads.iter().filter(is_first).skip(short_only);
        let others = self.loads.iter().filter(move |load| {
            !is_retry && has_proven && load.failures > 0 && !load.is_paused(now)
        });
        first.chain(others)
    }

    /// Whether at least one entry could take a call of this cost now.
    pub fn has_idle(&self, now: Instant, cost: Duration, is_retry: bool) -> bool {
        let mut takers = self.takers(now, cost, is_retry);
        takers.any(|load| load.is_idle(now))
    }

    /// Returns how many calls of an entry have failed in a row.
    pub fn failures(&self, proxy: AdvisorProxy) -> u32 {
        let load = self.loads.iter().find(|load| load.proxy == proxy);
        load.map_or(0, |load| load.failures)
    }

    /// Records that a call was answered.
    pub fn ended(&mut self, proxy: AdvisorProxy, now: Instant) {
        if let Some(load) = self.load_mut(proxy) {
            load.end_call(now);
            load.failures = 0;
            load.has_answered = true;
            load.end_pause();
        }
    }

    /// Records that a call failed. The entry takes no calls for a pause.
    pub fn failed(&mut self, proxy: AdvisorProxy, now: Instant) {
        let Some(load) = self.load_mut(proxy) else {
            return;
        };
        load.end_call(now);
        load.failures = load.failures.saturating_add(1);
        load.has_answered = false;
        load.pause = (load.pause * 2).clamp(FIRST_ENTRY_PAUSE, MAX_ENTRY_PAUSE);
        load.paused_until = now + load.pause;
        self.end_pauses_of_all(|load| load.is_paused(now));
    }

    /// Ends the pauses if `is_failing` holds for all entries: when the calls of all of them fail, the
    /// failures say nothing about a single one.
    fn end_pauses_of_all(&mut self, is_failing: impl Fn(&CallLoad) -> bool) {
        if self.loads.iter().all(is_failing) {
            self.loads.iter_mut().for_each(CallLoad::end_pause);
        }
    }

    fn load_mut(&mut self, proxy: AdvisorProxy) -> Option<&mut CallLoad> {
        self.loads.iter_mut().find(|load| load.proxy == proxy)
    }
}

/// Returns how long a call that names this many workers takes.
pub fn cost(advice: &Advice, workers: usize) -> Duration {
    advice.base + advice.per_worker * workers as u32
}

/// Returns how many workers a call should name to get about `wanted` permitted ones, if the advisor
/// permits `permitted_share` of them. The call names more if these add no more than a quarter to its
/// fixed cost.
pub fn workers_to_name(advice: &Advice, wanted: usize, permitted_share: f64) -> usize {
    let needed = (wanted as f64 / permitted_share.max(0.05)).ceil() as usize;
    let per_worker = advice.per_worker.as_secs_f64().max(1e-6);
    let cheap = (advice.base.as_secs_f64() * 0.25 / per_worker) as usize;
    needed.max(cheap).min(MAX_NAMED)
}

/// The most workers that one call may name; a limit of the advisor.
pub const MAX_NAMED: usize = 100;

/// A call to the advisor for permits for a step.
#[state]
pub struct AdvisorCall {
    /// The number of the call in this ownership.
    pub number: u64,
    /// The entry that makes the call.
    pub proxy: AdvisorProxy,
    /// The step.
    pub step: Step,
    /// The workers to get permits for.
    pub workers: Vec<Worker>,
    /// How long the advisor is expected to take.
    pub cost: Duration,
    /// When the call was decided.
    pub decided_at: Instant,
}

impl AdvisorCall {
    /// Returns the earliest time at which the advisor can have issued the permits of an answer that
    /// arrived at `now`. It issues them at the end of its work; the answer may have been on its way
    /// for long since.
    pub fn issued_at(&self, now: Instant) -> Instant {
        (self.decided_at + self.cost).min(now)
    }
}

/// A call to the advisor that is in progress.
#[state]
pub struct PendingCall {
    /// The entry that makes the call.
    pub proxy: AdvisorProxy,
    /// The step that the call is for.
    pub step: Step,
    /// When the call was made.
    pub since: Instant,
    /// When the call is given up.
    pub until: Instant,
    /// The number of workers that the call names.
    pub named: usize,
    /// The free capacity of these workers that is kept until the answer; none for a step that is not
    /// urgent.
    pub(super) held: Reserved,
}

/// The calls to the advisor that are in progress.
#[state]
#[derive(Default)]
pub struct PendingCalls {
    calls: BTreeMap<u64, PendingCall>,
    last: u64,
}

impl PendingCalls {
    /// Adds a call and returns its number.
    pub fn add(&mut self, call: PendingCall) -> u64 {
        self.last += 1;
        self.calls.insert(self.last, call);
        self.last
    }

    /// Returns a call that is in progress.
    pub fn get(&self, number: u64) -> Option<&PendingCall> {
        self.calls.get(&number)
    }

    /// Removes a call that was answered; `None` for one that was given up before.
    pub fn remove(&mut self, number: u64) -> Option<PendingCall> {
        self.calls.remove(&number)
    }

    /// Removes and returns the calls that are to be given up at `now`.
    pub fn take_expired(&mut self, now: Instant) -> Vec<(u64, PendingCall)> {
        let expired = self.calls.extract_if(.., |_, call| now >= call.until);
        expired.collect()
    }
}
