//! An exhaustive breadth-first search through the states of a small model.
//!
//! The model drives real decision code; its state is a value that can be cloned, hashed and
//! compared. States that were seen are kept as 128-bit fingerprints, so two states that share one
//! would be taken for the same; at ten million states the odds of that are below 1 in 10^24. A
//! violated property comes with the shortest sequence of actions that leads to it.

use std::collections::HashSet;
use std::fmt;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// A model to search.
pub trait Model {
    /// One state of everything.
    type State: Clone + Hash + Eq;
    /// One thing that can happen.
    type Action: Clone + Debug;

    /// Returns the states to start from.
    fn init(&self) -> Vec<Self::State>;

    /// Adds what can happen in `state` to `out`.
    fn actions(&self, state: &Self::State, out: &mut Vec<Self::Action>);

    /// Returns the state after `action`, or `None` when it changes nothing of interest.
    fn next(&self, state: &Self::State, action: &Self::Action) -> Option<Self::State>;

    /// Checks what must hold in every state.
    ///
    /// # Errors
    ///
    /// Says what does not hold.
    fn property(&self, state: &Self::State) -> Result<(), String>;
}

/// How far to search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest sequence of actions.
    pub depth: usize,
    /// The most states to visit.
    pub states: usize,
}

/// What a search found.
#[derive(Clone, Debug)]
pub struct Outcome<A> {
    /// How many different states were visited.
    pub states: usize,
    /// How many actions were tried.
    pub transitions: usize,
    /// The depth down to which all states were visited.
    pub depth: usize,
    /// Whether no state beyond those visited can be reached.
    pub exhausted: bool,
    /// The first violation.
    pub failure: Option<Failure<A>>,
}

/// A violated property.
#[derive(Clone, Debug)]
pub struct Failure<A> {
    /// What does not hold.
    pub message: String,
    /// What happened, from the start.
    pub trace: Vec<A>,
}

/// How a state was first reached.
#[derive(Clone, Copy)]
struct Origin {
    parent: u32,
    action: u32,
}

/// Searches `model` within `bounds`.
pub fn search<M: Model>(model: &M, bounds: Bounds) -> Outcome<M::Action> {
    Search::new(model, bounds).run()
}

/// A search under way.
struct Search<'a, M: Model> {
    model: &'a M,
    bounds: Bounds,
    seen: HashSet<u128>,
    feed: Feed,
    origins: Vec<Origin>,
    roots: Vec<M::State>,
    frontier: Vec<(u32, M::State)>,
    outcome: Outcome<M::Action>,
}

impl<'a, M: Model> Search<'a, M> {
    /// Begins a search.
    fn new(model: &'a M, bounds: Bounds) -> Search<'a, M> {
        Search {
            model,
            bounds,
            seen: HashSet::new(),
            feed: Feed::default(),
            origins: Vec::new(),
            roots: Vec::new(),
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

    /// Searches level by level.
    fn run(mut self) -> Outcome<M::Action> {
        self.roots = self.model.init();
        for (index, state) in self.roots.clone().into_iter().enumerate() {
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
            if !self.level() {
                break;
            }
            self.outcome.depth += 1;
        }
        self.finish()
    }

    /// Visits all successors of the frontier; returns whether to go on.
    fn level(&mut self) -> bool {
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

    /// Visits a state; returns whether to go on.
    fn visit(&mut self, state: M::State, origin: Origin) -> bool {
        if !self.seen.insert(fingerprint(&state, &mut self.feed)) {
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

    /// Returns the actions that lead to a state, by repeating them.
    fn trace(&self, id: u32) -> Vec<M::Action> {
        let mut chosen = Vec::new();
        let mut origin = self.origins[id as usize];
        while origin.parent != u32::MAX {
            chosen.push(origin.action);
            origin = self.origins[origin.parent as usize];
        }
        let mut state = self.roots[origin.action as usize].clone();
        let mut trace = Vec::new();
        for index in chosen.into_iter().rev() {
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

    /// Returns what was found.
    fn finish(mut self) -> Outcome<M::Action> {
        self.outcome.states = self.origins.len();
        self.outcome
    }
}

/// Collects what a state feeds to its hash function.
#[derive(Default)]
struct Feed(Vec<u8>);

impl Hasher for Feed {
    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn finish(&self) -> u64 {
        xxh3_64(&self.0)
    }
}

/// Returns the fingerprint of a state.
fn fingerprint<S: Hash>(state: &S, feed: &mut Feed) -> u128 {
    feed.0.clear();
    state.hash(feed);
    xxh3_128(&feed.0)
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
