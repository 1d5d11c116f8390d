//! An exhaustive breadth-first search through the states of a small model.
//!
//! The model drives real decision code; its state is a value that can be cloned, hashed and
//! compared. Visited states are stored as 128-bit fingerprints, so two states with the same
//! fingerprint would be treated as one; at ten million states the odds of that are below 1 in
//! 10^24. A violated property is reported with the shortest sequence of actions that leads to it.

use std::collections::HashSet;
use std::fmt;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// A model to search.
pub trait Model {
    /// A state of the whole model.
    type State: Clone + Hash + Eq;
    /// An event that can change the state.
    type Action: Clone + Debug;

    /// Returns the initial states.
    fn init(&self) -> Vec<Self::State>;

    /// Adds the actions that are possible in `state` to `out`.
    fn actions(&self, state: &Self::State, out: &mut Vec<Self::Action>);

    /// Returns the state after `action`, or `None` when the action changes nothing relevant.
    fn next(&self, state: &Self::State, action: &Self::Action) -> Option<Self::State>;

    /// Checks the property that must hold in every state.
    ///
    /// # Errors
    ///
    /// Describes the violation.
    fn property(&self, state: &Self::State) -> Result<(), String>;
}

/// The bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The maximum length of a sequence of actions.
    pub depth: usize,
    /// The maximum number of states to visit.
    pub states: usize,
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct Outcome<A> {
    /// The number of distinct states visited.
    pub states: usize,
    /// The number of actions tried.
    pub transitions: usize,
    /// The depth up to which all states were visited.
    pub depth: usize,
    /// Whether all reachable states were visited.
    pub exhausted: bool,
    /// The first violation found.
    pub failure: Option<Failure<A>>,
}

/// A violated property.
#[derive(Clone, Debug)]
pub struct Failure<A> {
    /// A description of the violation.
    pub message: String,
    /// The actions that lead from an initial state to the violation.
    pub trace: Vec<A>,
}

/// The action that first reached a state, and its parent state.
///
/// `parent` is `u32::MAX` for an initial state; `action` is then the index of that state.
#[derive(Clone, Copy)]
struct Origin {
    parent: u32,
    action: u32,
}

/// Searches `model` within `bounds`.
pub fn search<M: Model>(model: &M, bounds: Bounds) -> Outcome<M::Action> {
    Search::new(model, bounds).run()
}

/// A search in progress.
struct Search<'a, M: Model> {
    model: &'a M,
    bounds: Bounds,
    seen: HashSet<u128>,
    hash_input: HashInput,
    origins: Vec<Origin>,
    initial_states: Vec<M::State>,
    frontier: Vec<(u32, M::State)>,
    outcome: Outcome<M::Action>,
}

impl<'a, M: Model> Search<'a, M> {
    /// Creates a search that has visited nothing.
    fn new(model: &'a M, bounds: Bounds) -> Search<'a, M> {
        Search {
            model,
            bounds,
            seen: HashSet::new(),
            hash_input: HashInput::default(),
            origins: Vec::new(),
            initial_states: Vec::new(),
            frontier: Vec::new(),
            outcome: Outcome {
                states: 0,
                transitions: 0,
                depth: 0,
                exhausted: false,
                failure: None,
            },
        }
    }

    /// Searches one depth level after another.
    fn run(mut self) -> Outcome<M::Action> {
        self.initial_states = self.model.init();
        for (index, state) in self.initial_states.clone().into_iter().enumerate() {
            let origin = Origin {
                parent: u32::MAX,
                action: index as u32,
            };
            if !self.visit(state, origin) {
                return self.finish();
            }
        }
        while self.outcome.depth < self.bounds.depth {
            if self.frontier.is_empty() {
                self.outcome.exhausted = true;
                break;
            }
            if !self.expand_frontier() {
                break;
            }
            self.outcome.depth += 1;
        }
        self.finish()
    }

    /// Visits all successors of the frontier; returns whether to continue.
    fn expand_frontier(&mut self) -> bool {
        let mut actions = Vec::new();
        for (id, state) in std::mem::take(&mut self.frontier) {
            actions.clear();
            self.model.actions(&state, &mut actions);
            for (index, action) in actions.iter().enumerate() {
                self.outcome.transitions += 1;
                let Some(next) = self.model.next(&state, action) else {
                    continue;
                };
                let origin = Origin {
                    parent: id,
                    action: index as u32,
                };
                if !self.visit(next, origin) {
                    return false;
                }
            }
        }
        true
    }

    /// Records a state and checks its property; returns whether to continue.
    fn visit(&mut self, state: M::State, origin: Origin) -> bool {
        if !self.seen.insert(fingerprint(&state, &mut self.hash_input)) {
            return true;
        }
        let id = self.origins.len() as u32;
        self.origins.push(origin);
        if let Err(message) = self.model.property(&state) {
            let trace = self.trace(id);
            self.outcome.failure = Some(Failure { message, trace });
            return false;
        }
        self.frontier.push((id, state));
        self.origins.len() < self.bounds.states
    }

    /// Returns the actions that lead to a state, found by replaying them from its initial state.
    fn trace(&self, id: u32) -> Vec<M::Action> {
        let mut indices = Vec::new();
        let mut origin = self.origins[id as usize];
        while origin.parent != u32::MAX {
            indices.push(origin.action);
            origin = self.origins[origin.parent as usize];
        }
        let mut state = self.initial_states[origin.action as usize].clone();
        let mut trace = Vec::new();
        for index in indices.into_iter().rev() {
            let mut actions = Vec::new();
            self.model.actions(&state, &mut actions);
            let action = actions.swap_remove(index as usize);
            if let Some(next) = self.model.next(&state, &action) {
                state = next;
            }
            trace.push(action);
        }
        trace
    }

    /// Completes the result.
    fn finish(mut self) -> Outcome<M::Action> {
        self.outcome.states = self.origins.len();
        self.outcome
    }
}

/// Collects the bytes that a state's `Hash` implementation writes.
#[derive(Default)]
struct HashInput(Vec<u8>);

impl Hasher for HashInput {
    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn finish(&self) -> u64 {
        xxh3_64(&self.0)
    }
}

/// Returns the fingerprint of a state.
fn fingerprint<S: Hash>(state: &S, hash_input: &mut HashInput) -> u128 {
    hash_input.0.clear();
    state.hash(hash_input);
    xxh3_128(&hash_input.0)
}

impl<A: Debug> fmt::Display for Outcome<A> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} states, {} transitions, all to depth {}{}",
            self.states,
            self.transitions,
            self.depth,
            if self.exhausted { ", exhausted" } else { "" }
        )?;
        let Some(failure) = &self.failure else {
            return Ok(());
        };
        write!(out, "\n{}", failure.message)?;
        for (step, action) in failure.trace.iter().enumerate() {
            write!(out, "\n  {}. {action:?}", step + 1)?;
        }
        Ok(())
    }
}
