//! Simulated callers, network and targets under a policy.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use laburnumplank::core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::Outcome;
use super::scenario::{
    ANSWER_BYTES, DATA_CENTRES, ENTRIES, REQUEST_BYTES, SLOTS, Scenario, Stream, TARGETS,
};

/// How often each entry gets a tick.
const TICK: Duration = Duration::from_millis(10);
/// How long a failing target takes to fail.
const FAILURE: Duration = Duration::from_millis(5);
/// Requests that wait or run at a target before it refuses more.
const TARGET_BOUND: usize = 64;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) id: u64,
    pub(super) is_lookup: bool,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
}

/// What a target did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Served {
    Done,
    Failed,
    Refused,
}

/// What a policy wants done.
pub(super) enum Effect<M> {
    /// Send an attempt of a request to a target; `token` comes back with the answer.
    Send { target: usize, id: u64, token: u64 },
    /// Answer a request.
    Answer { id: u64, is_good: bool },
    /// Send a message with a body of so many bytes to an entry after `delay` beside the network's.
    Message {
        to: usize,
        delay: Duration,
        bytes: usize,
        message: M,
    },
}

/// How entries dispatch.
pub(super) trait Policy {
    /// Messages between entries and within one.
    type Message;

    /// A request arrived at an entry.
    fn arrive(
        &mut self,
        now: Instant,
        entry: usize,
        request: Request,
        out: &mut Vec<Effect<Self::Message>>,
    );

    /// A target answered.
    fn served(
        &mut self,
        now: Instant,
        entry: usize,
        answer: Answered,
        out: &mut Vec<Effect<Self::Message>>,
    );

    /// A message arrived.
    fn message(
        &mut self,
        now: Instant,
        entry: usize,
        message: Self::Message,
        out: &mut Vec<Effect<Self::Message>>,
    );

    /// Returns whether a message belongs to no request.
    fn is_control(message: &Self::Message) -> bool;

    /// Time has passed.
    fn tick(&mut self, now: Instant, entry: usize, out: &mut Vec<Effect<Self::Message>>);
}

/// A target's answer to an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answered {
    pub(super) target: usize,
    pub(super) id: u64,
    pub(super) token: u64,
    pub(super) served: Served,
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
    Served {
        entry: usize,
        answer: Answered,
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

struct Fabric<'a, P: Policy> {
    scenario: &'a Scenario,
    policy: P,
    random: Pcg64Mcg,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Event<P::Message>>,
    order: u64,
    pending: BTreeMap<u64, Pending>,
    targets: Vec<Target>,
    outcome: Outcome,
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
    let mut fabric = Fabric::new(scenario, policy);
    let end = fabric.start + scenario.span;
    while let Some(((at, _), event)) = fabric.queue.pop_first() {
        if at > end {
            break;
        }
        fabric.now = at;
        fabric.handle(event);
    }
    fabric.outcome
}

impl<'a, P: Policy> Fabric<'a, P> {
    fn new(scenario: &'a Scenario, policy: P) -> Fabric<'a, P> {
        let now = Instant(1_000_000);
        let mut fabric = Fabric {
            scenario,
            policy,
            random: Pcg64Mcg::seed_from_u64(7),
            now,
            queue: BTreeMap::new(),
            order: 0,
            pending: BTreeMap::new(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            outcome: Outcome::new(scenario.span),
            start: now + scenario.warm_up,
        };
        for entry in 0..ENTRIES {
            fabric.schedule(TICK * entry as u32 / ENTRIES as u32, Event::Tick { entry });
        }
        fabric.next_arrival(true);
        fabric.next_arrival(false);
        fabric
    }

    fn schedule(&mut self, delay: Duration, event: Event<P::Message>) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), event);
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn stream(&self, is_lookup: bool) -> Stream {
        if is_lookup {
            self.scenario.lookups
        } else {
            self.scenario.bulk
        }
    }

    fn next_arrival(&mut self, is_lookup: bool) {
        let rate = self.stream(is_lookup).rate;
        if rate > 0.0 {
            let gap = self.exponential(1.0 / rate);
            self.schedule(gap, Event::Arrive { is_lookup });
        }
    }

    /// Returns whether statistics are kept of a request: it arrives after the warm-up and its
    /// deadline is within the run.
    fn counts(&self, request: &Request) -> bool {
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
            Event::Served { entry, answer } => {
                let now = self.now;
                self.timed(false, |policy| {
                    policy.served(now, entry, answer, &mut out);
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

    /// Calls the policy and adds up the real time that it takes.
    fn timed(&mut self, is_control: bool, call: impl FnOnce(&mut P)) {
        let start = std::time::Instant::now();
        call(&mut self.policy);
        let took = start.elapsed();
        if self.now >= self.start {
            self.outcome.processor += took;
            if is_control {
                self.outcome.control += took;
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
            deadline: self.now + self.stream(is_lookup).patience,
        };
        let pending = Pending {
            request,
            attempts: 0,
            is_answered: false,
        };
        self.pending.insert(request.id, pending);
        if self.counts(&request) {
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
                Effect::Answer { id, is_good } => self.answer(id, is_good),
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
        let counts = self.now >= self.start;
        if let (Some(pending), true) = (self.pending.get_mut(&id), counts) {
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

    /// An attempt reaches its target.
    fn reach(&mut self, target: usize, attempt: Attempt) {
        if target < self.scenario.failing && self.now >= self.start {
            return self.reply(target, attempt, FAILURE, Served::Failed);
        }
        let at = &mut self.targets[target];
        if at.running.len() < SLOTS {
            return self.begin(target, attempt);
        }
        self.outcome.crowded += 1;
        if at.running.len() + at.waiting.len() >= TARGET_BOUND {
            return self.reply(target, attempt, Duration::ZERO, Served::Refused);
        }
        at.waiting.push_back(attempt);
    }

    /// A slot takes an attempt.
    fn begin(&mut self, target: usize, attempt: Attempt) {
        let Some(pending) = self.pending.get(&attempt.id) else {
            return;
        };
        let request = pending.request;
        if self.counts(&request) && request.is_lookup {
            let waited = self.now.since(request.arrived).as_micros() as u64;
            let _ = self.outcome.lookup_waits.record(waited.max(1));
        }
        let mean = self.stream(request.is_lookup).service.as_secs_f64();
        let takes = self.exponential(mean);
        self.order += 1;
        let (ends, order) = (self.now + takes, self.order);
        let at = &mut self.targets[target];
        at.running.push(Reverse((ends, order)));
        at.attempts.insert(order, attempt);
        self.schedule(takes, Event::End { target });
    }

    /// A slot is done with its attempt.
    fn end(&mut self, target: usize) {
        let at = &mut self.targets[target];
        let Some(Reverse((_, order))) = at.running.pop() else {
            return;
        };
        let ended = at.attempts.remove(&order);
        let next = at.waiting.pop_front();
        if let Some(attempt) = ended {
            self.reply(target, attempt, Duration::ZERO, Served::Done);
        }
        if let Some(attempt) = next {
            self.begin(target, attempt);
        }
    }

    fn reply(&mut self, target: usize, attempt: Attempt, after: Duration, served: Served) {
        let (from, at) = (data_centre(target), data_centre(attempt.entry));
        if is_remote(from, at) && served == Served::Done && self.now >= self.start {
            self.outcome.remote_bytes += ANSWER_BYTES as u64;
        }
        let answer = Answered {
            target,
            id: attempt.id,
            token: attempt.token,
            served,
        };
        let entry = attempt.entry;
        self.schedule(after + delay(from, at), Event::Served { entry, answer });
    }

    fn answer(&mut self, id: u64, is_good: bool) {
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if pending.is_answered {
            return;
        }
        pending.is_answered = true;
        let request = pending.request;
        let is_timely = is_good && now <= request.deadline && now >= self.start;
        if is_timely {
            let service = self.stream(request.is_lookup).service;
            self.outcome.good_seconds += service.as_secs_f64();
        }
        if !self.counts(&request) {
            return;
        }
        let in_time = is_good && now <= request.deadline;
        self.outcome.good += u64::from(in_time);
        self.outcome.good_lookups += u64::from(in_time && request.is_lookup);
        self.outcome.refused += u64::from(!is_good);
    }
}
