//! Load of calls that run at most once, and the check of their outcomes.
//!
//! Each load task sends one call after another, each with a new key. It retries a call that failed
//! through the next entry, unless the target itself failed. Afterwards the check compares the
//! outcomes with how often the targets ran each key.

use std::cell::{Cell as Flag, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use laburnum_testkit::cell::Cell;
use laburnumplank::api::client::Client;
use laburnumplank::core::error::{Effect, Error, Kind};

use super::{call, client, keyed_call, pause};

/// The maximum number of attempts for one call.
const ATTEMPTS: usize = 40;

/// The delay before the next attempt, in milliseconds.
const PAUSE_MS: u64 = 150;

/// The final outcome of a call.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// The call succeeded with the expected body.
    Done,
    /// The error of the last attempt.
    Failed(Error),
}

/// Load tasks that send calls until they are stopped.
pub(crate) struct Load {
    stop: Rc<Flag<bool>>,
    outcomes: Rc<RefCell<BTreeMap<String, Outcome>>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

/// The outcomes of all calls.
#[derive(Debug)]
pub(crate) struct Summary {
    /// How many calls succeeded.
    pub(crate) done: usize,
    /// The errors of the calls that failed.
    pub(crate) failed: Vec<Error>,
}

impl Load {
    /// Starts `tasks` load tasks that use all entries in turn.
    pub(crate) fn start(cell: &Cell, tasks: usize, method: &str) -> Load {
        let stop = Rc::new(Flag::new(false));
        let outcomes = Rc::new(RefCell::new(BTreeMap::new()));
        let clients: Vec<Client> = (0..cell.entries.len())
            .map(|entry| client(cell, entry))
            .collect();
        let start = |task: usize| {
            let (stop, outcomes) = (Rc::clone(&stop), Rc::clone(&outcomes));
            let (clients, method) = (clients.clone(), method.to_owned());
            actix_rt::spawn(async move {
                let mut number = 0;
                while !stop.get() {
                    let request = keyed_call(&method, &format!("dossier {task}/{number}"));
                    let outcome = send_until_final(&clients, task + number, &request).await;
                    outcomes.borrow_mut().insert(request.key, outcome);
                    number += 1;
                }
            })
        };
        let tasks = (0..tasks).map(start).collect();
        Load {
            stop,
            outcomes,
            tasks,
        }
    }

    /// Returns how many calls have ended.
    pub(crate) fn ended(&self) -> usize {
        self.outcomes.borrow().len()
    }

    /// Stops the load tasks and checks that no key ran twice, that every successful call ran and
    /// that no call ran whose error says that it did not.
    pub(crate) async fn check(self, cell: &Cell) -> Summary {
        self.stop.set(true);
        for task in self.tasks {
            task.await.unwrap();
        }
        let runs = runs(cell).await;
        let mut summary = Summary {
            done: 0,
            failed: Vec::new(),
        };
        for (key, outcome) in self.outcomes.borrow().iter() {
            let count = runs.get(key).copied().unwrap_or(0);
            assert!(count <= 1, "call {key} ran {count} times: {outcome:?}");
            match outcome {
                Outcome::Done => {
                    assert_eq!(count, 1, "call {key} succeeded and did not run");
                    summary.done += 1;
                }
                Outcome::Failed(error) => {
                    let is_not_run = error.effect == Effect::NotRun;
                    assert!(
                        !is_not_run || count == 0,
                        "call {key} ran and failed with: {error:?}"
                    );
                    summary.failed.push(error.clone());
                }
            }
        }
        summary
    }
}

/// Sends a call until it has a final outcome, through one entry after another.
async fn send_until_final(
    clients: &[Client],
    first: usize,
    request: &laburnumplank::api::schema::CallRequest,
) -> Outcome {
    let mut last = Error::new(Kind::Internal, "nothing was sent");
    for attempt in 0..ATTEMPTS {
        let client = &clients[(first + attempt) % clients.len()];
        match call(client, request).await {
            Ok(response) => {
                assert_eq!(response.body, request.body, "the response has another body");
                return Outcome::Done;
            }
            Err(error) => last = error,
        }
        if last.kind == Kind::TargetFailed {
            break;
        }
        pause(PAUSE_MS).await;
    }
    Outcome::Failed(last)
}

/// Returns how often each key ran at all targets in total, and checks that no target exceeded its
/// limits or ran a key twice at once.
pub(crate) async fn runs(cell: &Cell) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for target in 0..cell.platform.targets.addresses.len() {
        let effects = cell.platform.targets.client.effects(target).await.unwrap();
        assert_eq!(
            effects.slots_exceeded, 0,
            "target {target} got more calls at once than it has slots"
        );
        assert_eq!(
            effects.connections_exceeded, 0,
            "target {target} got too many connections"
        );
        assert_eq!(
            effects.key_twice, 0,
            "target {target} ran a key twice at once"
        );
        for (key, count) in effects.by_key {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}
