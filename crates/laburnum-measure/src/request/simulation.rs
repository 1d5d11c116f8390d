//! Simulated callers, network and targets under a policy.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use laburnumplank::core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::Outcome;
use super::scenario::{
    ANSWER_BYTES, Arrivals, DATA_CENTRES, ENTRIES, REQUEST_BYTES, SLOTS, Scenario, TARGETS,
};

/// How often each entry gets a tick.
const TICK: Duration = Duration::from_millis(10);
/// How long a failing target takes to answer.
const FAILURE: Duration = Duration::from_millis(5);
/// The most requests that wait or run at a target, which refuses any others.
const TARGET_BOUND: usize = 64;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) id: u64,
    pub(super) is_lookup: bool,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
}

/// The result of an attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptResult {
    Done,
    Failed,
    Refused,
}

/// An action that a policy returns.
pub(super) enum Effect<M> {
    /// Send an attempt of a request to a target; the answer carries the same `token`.
    Send { target: usize, id: u64, token: u64 },
    /// Answer a request.
    Answer { id: u64, is_success: bool },
    /// Send a message with a body of `bytes` bytes to an entry; `delay` adds to the network's delay.
    Message {
        to: usize,
        delay: Duration,
        bytes: usize,
        message: M,
    },
}

/// The dispatch policy of all entries.
pub(super) trait Policy {
    /// Messages between entries and within one.
    type Message;

    /// Handles a request that arrived at an entry.
    fn arrive(
        &mut self,
        now: Instant,
        entry: usize,
        request: Request,
        out: &mut Vec<Effect<Self::Message>>,
    );

    /// Handles a target's answer.
    fn target_answered(
        &mut self,
        now: Instant,
        entry: usize,
        answer: TargetAnswer,
        out: &mut Vec<Effect<Self::Message>>,
    );

    /// Handles a message that arrived at an entry.
    fn message(
        &mut self,
        now: Instant,
        entry: usize,
        message: Self::Message,
        out: &mut Vec<Effect<Self::Message>>,
    );

    /// Returns whether a message belongs to no request.
    fn is_control(message: &Self::Message) -> bool;

    /// Handles the periodic tick of an entry.
    fn tick(&mut self, now: Instant, entry: usize, out: &mut Vec<Effect<Self::Message>>);
}

/// A target's answer to an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetAnswer {
    pub(super) target: usize,
    pub(super) id: u64,
    pub(super) token: u64,
    pub(super) result: AttemptResult,
}

enum Event<M> {
    Arrive {
        is_lookup: bool,
    },
    Reach {
        entry: usize,
        target: usize,
        id: u64,
        token: u64,
    },
    End {
        target: usize,
    },
    TargetAnswered {
        entry: usize,
        answer: TargetAnswer,
    },
    Message {
        entry: usize,
        message: M,
    },
    Tick {
        entry: usize,
    },
}

struct Pending {
    request: Request,
    attempts: u32,
    is_answered: bool,
}

#[derive(Clone, Copy)]
struct Attempt {
    entry: usize,
    id: u64,
    token: u64,
}

#[derive(Default)]
struct Target {
    running: BinaryHeap<Reverse<(Instant, u64)>>,
    attempts: BTreeMap<u64, Attempt>,
    waiting: VecDeque<Attempt>,
}

struct Simulation<'a, P: Policy> {
    scenario: &'a Scenario,
    policy: P,
    random: Pcg64Mcg,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event<P::Message>>,
    /// The last number given to an event, a request or an attempt; it orders simultaneous events.
    order: u64,
    pending: BTreeMap<u64, Pending>,
    targets: Vec<Target>,
    outcome: Outcome,
    /// The end of the warm-up.
    start: Instant,
}

/// Returns the data centre of an entry or a target.
pub(super) fn data_centre(index: usize) -> usize {
    index % DATA_CENTRES
}

/// Returns whether two data centres are in different regions.
pub(super) fn is_remote(one: usize, other: usize) -> bool {
    (one == DATA_CENTRES - 1) != (other == DATA_CENTRES - 1)
}

/// Returns the one-way delay between two data centres.
fn delay(one: usize, other: usize) -> Duration {
    if one == other {
        Duration::from_micros(200)
    } else if is_remote(one, other) {
        Duration::from_millis(8)
    } else {
        Duration::from_millis(1)
    }
}

/// Runs a scenario under a policy.
pub(super) fn run<P: Policy>(scenario: &Scenario, policy: P) -> Outcome {
    let mut simulation = Simulation::new(scenario, policy);
    let end = simulation.start + scenario.span;
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.outcome
}

impl<'a, P: Policy> Simulation<'a, P> {
    fn new(scenario: &'a Scenario, policy: P) -> Simulation<'a, P> {
        let now = Instant(1_000_000);
        let mut simulation = Simulation {
            scenario,
            policy,
            random: Pcg64Mcg::seed_from_u64(7),
            now,
            events: BTreeMap::new(),
            order: 0,
            pending: BTreeMap::new(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            outcome: Outcome::new(scenario.span),
            start: now + scenario.warm_up,
        };
        for entry in 0..ENTRIES {
            simulation.schedule(TICK * entry as u32 / ENTRIES as u32, Event::Tick { entry });
        }
        simulation.next_arrival(true);
        simulation.next_arrival(false);
        simulation
    }

    fn schedule(&mut self, delay: Duration, event: Event<P::Message>) {
        self.order += 1;
        self.events.insert((self.now + delay, self.order), event);
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn arrivals(&self, is_lookup: bool) -> Arrivals {
        if is_lookup {
            self.scenario.lookups
        } else {
            self.scenario.bulk
        }
    }

    fn next_arrival(&mut self, is_lookup: bool) {
        let rate = self.arrivals(is_lookup).rate;
        if rate > 0.0 {
            let gap = self.exponential(1.0 / rate);
            self.schedule(gap, Event::Arrive { is_lookup });
        }
    }

    /// Returns whether a request is counted: it arrives after the warm-up and its deadline is within
    /// the run.
    fn is_counted(&self, request: &Request) -> bool {
        let end = self.start + self.scenario.span;
        request.arrived >= self.start && request.deadline <= end
    }

    fn handle(&mut self, event: Event<P::Message>) {
        let mut out = Vec::new();
        match event {
            Event::Arrive { is_lookup } => self.arrive(is_lookup),
            Event::Reach {
                entry,
                target,
                id,
                token,
            } => {
                self.reach(target, Attempt { entry, id, token });
            }
            Event::End { target } => self.end(target),
            Event::TargetAnswered { entry, answer } => {
                let now = self.now;
                self.timed(false, |policy| {
                    policy.target_answered(now, entry, answer, &mut out);
                });
                self.carry_out(entry, out);
            }
            Event::Message { entry, message } => {
                let now = self.now;
                let is_control = P::is_control(&message);
                self.timed(is_control, |policy| {
                    policy.message(now, entry, message, &mut out);
                });
                self.carry_out(entry, out);
            }
            Event::Tick { entry } => {
                let now = self.now;
                self.timed(true, |policy| policy.tick(now, entry, &mut out));
                self.carry_out(entry, out);
                self.schedule(TICK, Event::Tick { entry });
            }
        }
    }

    /// Calls the policy and adds the wall-clock time of the call to the processor time.
    fn timed(&mut self, is_control: bool, call: impl FnOnce(&mut P)) {
        let start = std::time::Instant::now();
        call(&mut self.policy);
        let took = start.elapsed();
        if self.now >= self.start {
            self.outcome.processor_time += took;
            if is_control {
                self.outcome.control_time += took;
            }
        }
    }

    fn arrive(&mut self, is_lookup: bool) {
        self.next_arrival(is_lookup);
        self.order += 1;
        let request = Request {
            id: self.order,
            is_lookup,
            arrived: self.now,
            deadline: self.now + self.arrivals(is_lookup).timeout,
        };
        let pending = Pending {
            request,
            attempts: 0,
            is_answered: false,
        };
        self.pending.insert(request.id, pending);
        if self.is_counted(&request) {
            self.outcome.requests += 1;
            self.outcome.lookups += u64::from(is_lookup);
        }
        let entry = self.random.random_range(0..ENTRIES);
        let now = self.now;
        let mut out = Vec::new();
        self.timed(false, |policy| {
            policy.arrive(now, entry, request, &mut out);
        });
        self.carry_out(entry, out);
    }

    fn carry_out(&mut self, entry: usize, out: Vec<Effect<P::Message>>) {
        for effect in out {
            match effect {
                Effect::Send { target, id, token } => self.send(entry, target, id, token),
                Effect::Answer { id, is_success } => self.answer(id, is_success),
                Effect::Message {
                    to,
                    delay: extra,
                    bytes,
                    message,
                } => {
                    let (from, at) = (data_centre(entry), data_centre(to));
                    if is_remote(from, at) && self.now >= self.start {
                        self.outcome.remote_messages += 1;
                        self.outcome.remote_bytes += bytes as u64;
                    }
                    let network = if entry == to {
                        Duration::ZERO
                    } else {
                        delay(from, at)
                    };
                    self.schedule(extra + network, Event::Message { entry: to, message });
                }
            }
        }
    }

    fn send(&mut self, entry: usize, target: usize, id: u64, token: u64) {
        let (from, at) = (data_centre(entry), data_centre(target));
        let is_measured = self.now >= self.start;
        if let (Some(pending), true) = (self.pending.get_mut(&id), is_measured) {
            pending.attempts += 1;
            self.outcome.attempts += 1;
            self.outcome.sent_requests += u64::from(pending.attempts == 1);
            self.outcome.failing_attempts += u64::from(target < self.scenario.failing);
            if is_remote(from, at) {
                self.outcome.remote_bytes += u64::from(REQUEST_BYTES);
            }
        }
        self.schedule(
            delay(from, at),
            Event::Reach {
                entry,
                target,
                id,
                token,
            },
        );
    }

    /// Handles an attempt that has reached its target.
    fn reach(&mut self, target: usize, attempt: Attempt) {
        if target < self.scenario.failing && self.now >= self.start {
            return self.reply(target, attempt, FAILURE, AttemptResult::Failed);
        }
        let state = &mut self.targets[target];
        if state.running.len() < SLOTS {
            return self.begin(target, attempt);
        }
        self.outcome.without_slot += 1;
        if state.running.len() + state.waiting.len() >= TARGET_BOUND {
            return self.reply(target, attempt, Duration::ZERO, AttemptResult::Refused);
        }
        state.waiting.push_back(attempt);
    }

    /// Starts an attempt in a free slot.
    fn begin(&mut self, target: usize, attempt: Attempt) {
        let Some(pending) = self.pending.get(&attempt.id) else {
            return;
        };
        let request = pending.request;
        if self.is_counted(&request) && request.is_lookup {
            let waited = self.now.since(request.arrived).as_micros() as u64;
            let _ = self.outcome.lookup_waits.record(waited.max(1));
        }
        let mean = self.arrivals(request.is_lookup).service.as_secs_f64();
        let takes = self.exponential(mean);
        self.order += 1;
        let (ends, order) = (self.now + takes, self.order);
        let state = &mut self.targets[target];
        state.running.push(Reverse((ends, order)));
        state.attempts.insert(order, attempt);
        self.schedule(takes, Event::End { target });
    }

    /// Ends the attempt that is due and starts the next waiting one.
    fn end(&mut self, target: usize) {
        let state = &mut self.targets[target];
        let Some(Reverse((_, order))) = state.running.pop() else {
            return;
        };
        let ended = state.attempts.remove(&order);
        let next = state.waiting.pop_front();
        if let Some(attempt) = ended {
            self.reply(target, attempt, Duration::ZERO, AttemptResult::Done);
        }
        if let Some(attempt) = next {
            self.begin(target, attempt);
        }
    }

    fn reply(&mut self, target: usize, attempt: Attempt, after: Duration, result: AttemptResult) {
        let (from, at) = (data_centre(target), data_centre(attempt.entry));
        if is_remote(from, at) && result == AttemptResult::Done && self.now >= self.start {
            self.outcome.remote_bytes += ANSWER_BYTES as u64;
        }
        let answer = TargetAnswer {
            target,
            id: attempt.id,
            token: attempt.token,
            result,
        };
        let entry = attempt.entry;
        self.schedule(
            after + delay(from, at),
            Event::TargetAnswered { entry, answer },
        );
    }

    fn answer(&mut self, id: u64, is_success: bool) {
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if pending.is_answered {
            return;
        }
        pending.is_answered = true;
        let request = pending.request;
        let is_timely = is_success && now <= request.deadline && now >= self.start;
        if is_timely {
            let service = self.arrivals(request.is_lookup).service;
            self.outcome.in_time_seconds += service.as_secs_f64();
        }
        if !self.is_counted(&request) {
            return;
        }
        let in_time = is_success && now <= request.deadline;
        self.outcome.in_time += u64::from(in_time);
        self.outcome.in_time_lookups += u64::from(in_time && request.is_lookup);
        self.outcome.failed += u64::from(!is_success);
    }
}
