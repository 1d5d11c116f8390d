//! The baseline policy: one queue per entry, a random target, immediate retries.

use std::collections::{BTreeMap, VecDeque};

use laburnumplank::core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::scenario::{ENTRIES, SLOTS, Scenario, TARGETS};
use super::simulation::{self, AttemptResult, Effect, Request, TargetAnswer};

/// The most attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

/// The most requests that one entry has at targets at once: its share of all slots.
const MAX_IN_FLIGHT: usize = TARGETS * SLOTS / ENTRIES;

#[derive(Default)]
struct Entry {
    queue: VecDeque<Request>,
    in_flight: BTreeMap<u64, (Request, u32)>,
}

/// The baseline policy of all entries.
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

    /// Sends queued requests to random targets until the entry has `MAX_IN_FLIGHT` requests at targets.
    fn send_queued(&mut self, entry: usize, out: &mut Vec<Effect<()>>) {
        let state = &mut self.entries[entry];
        while state.in_flight.len() < MAX_IN_FLIGHT {
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

impl simulation::Policy for Policy {
    type Message = ();

    fn arrive(&mut self, _: Instant, entry: usize, request: Request, out: &mut Vec<Effect<()>>) {
        self.entries[entry].queue.push_back(request);
        self.send_queued(entry, out);
    }

    fn target_answered(
        &mut self,
        _: Instant,
        entry: usize,
        answer: TargetAnswer,
        out: &mut Vec<Effect<()>>,
    ) {
        let id = answer.id;
        let is_success = answer.result == AttemptResult::Done;
        let Some((request, attempts)) = self.entries[entry].in_flight.remove(&id) else {
            return;
        };
        if !is_success && attempts < MAX_ATTEMPTS {
            let retry = (request, attempts + 1);
            self.entries[entry].in_flight.insert(id, retry);
            let target = self.random.random_range(0..TARGETS);
            out.push(Effect::Send {
                target,
                id,
                token: 0,
            });
            return;
        }
        out.push(Effect::Answer { id, is_success });
        self.send_queued(entry, out);
    }

    fn message(&mut self, _: Instant, _: usize, (): (), _: &mut Vec<Effect<()>>) {}

    fn is_control((): &()) -> bool {
        true
    }

    fn tick(&mut self, _: Instant, _: usize, _: &mut Vec<Effect<()>>) {}
}
