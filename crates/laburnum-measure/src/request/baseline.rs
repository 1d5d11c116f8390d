//! The baseline: one queue per entry, a random target, immediate retries.

use std::collections::{BTreeMap, VecDeque};

use laburnumplank::core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fabric::{self, Answered, Effect, Request, Served};
use super::scenario::{ENTRIES, SLOTS, Scenario, TARGETS};

/// Attempts of one request.
const ATTEMPTS: u32 = 4;

/// Requests that one entry has at targets at once: its share of all slots.
const IN_FLIGHT: usize = TARGETS * SLOTS / ENTRIES;

#[derive(Default)]
struct Entry {
    queue: VecDeque<Request>,
    in_flight: BTreeMap<u64, (Request, u32)>,
}

/// The policy.
pub(super) struct Policy {
    entries: Vec<Entry>,
    random: Pcg64Mcg,
}

impl Policy {
    pub(super) fn new(_scenario: &Scenario) -> Policy {
        Policy {
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            random: Pcg64Mcg::seed_from_u64(11),
        }
    }

    fn pump(&mut self, entry: usize, out: &mut Vec<Effect<()>>) {
        let state = &mut self.entries[entry];
        while state.in_flight.len() < IN_FLIGHT {
            let Some(request) = state.queue.pop_front() else {
                break;
            };
            state.in_flight.insert(request.id, (request, 1));
            let target = self.random.random_range(0..TARGETS);
            let id = request.id;
            out.push(Effect::Send {
                target,
                id,
                token: 0,
            });
        }
    }
}

impl fabric::Policy for Policy {
    type Message = ();

    fn arrive(&mut self, _: Instant, entry: usize, request: Request, out: &mut Vec<Effect<()>>) {
        self.entries[entry].queue.push_back(request);
        self.pump(entry, out);
    }

    fn served(&mut self, _: Instant, entry: usize, answer: Answered, out: &mut Vec<Effect<()>>) {
        let id = answer.id;
        let is_good = answer.served == Served::Done;
        let Some((request, attempts)) = self.entries[entry].in_flight.remove(&id) else {
            return;
        };
        if !is_good && attempts < ATTEMPTS {
            let again = (request, attempts + 1);
            self.entries[entry].in_flight.insert(id, again);
            let target = self.random.random_range(0..TARGETS);
            out.push(Effect::Send {
                target,
                id,
                token: 0,
            });
            return;
        }
        out.push(Effect::Answer { id, is_good });
        self.pump(entry, out);
    }

    fn message(&mut self, _: Instant, _: usize, (): (), _: &mut Vec<Effect<()>>) {}

    fn tick(&mut self, _: Instant, _: usize, _: &mut Vec<Effect<()>>) {}
}
