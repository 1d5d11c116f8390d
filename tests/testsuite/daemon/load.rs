//! Filings under load, and the oracle that judges them.
//!
//! A filer sends one filing after another, each under a key of its own, and repeats one whose
//! answer allows it through another entry. Afterwards the targets tell how often each key ran.

use std::cell::{Cell as Flag, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use laburnum_testkit::cell::Cell;
use laburnumplank::api::client::Client;
use laburnumplank::core::error::{Effect, Error, Kind};

use super::{call, client, filing, pause};

/// How often a filing is sent at most.
const ATTEMPTS: usize = 40;

/// The pause before a filing is sent again, in milliseconds.
const PAUSE_MS: u64 = 150;

/// What a filer was told at last.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// The whole answer.
    Done,
    /// The error of the last attempt.
    Failed(Error),
}

/// Filers that run until they are told to stop.
pub(crate) struct Load {
    stop: Rc<Flag<bool>>,
    outcomes: Rc<RefCell<BTreeMap<String, Outcome>>>,
    filers: Vec<actix_rt::task::JoinHandle<()>>,
}

/// What came of the filings.
#[derive(Debug)]
pub(crate) struct Verdict {
    /// How many filings were answered.
    pub(crate) done: usize,
    /// The errors of the others.
    pub(crate) failed: Vec<Error>,
}

impl Load {
    /// Starts `filers` filers that use all entries in turn.
    pub(crate) fn start(cell: &Cell, filers: usize, method: &str) -> Load {
        let stop = Rc::new(Flag::new(false));
        let outcomes = Rc::new(RefCell::new(BTreeMap::new()));
        let clients: Vec<Client> = (0..cell.entries.len())
            .map(|entry| client(cell, entry))
            .collect();
        let start = |filer: usize| {
            let (stop, outcomes) = (Rc::clone(&stop), Rc::clone(&outcomes));
            let (clients, method) = (clients.clone(), method.to_owned());
            actix_rt::spawn(async move {
                let mut number = 0;
                while !stop.get() {
                    let request = filing(&method, &format!("dossier {filer}/{number}"));
                    let outcome = file(&clients, filer + number, &request).await;
                    outcomes.borrow_mut().insert(request.key, outcome);
                    number += 1;
                }
            })
        };
        let filers = (0..filers).map(start).collect();
        Load {
            stop,
            outcomes,
            filers,
        }
    }

    /// Returns how many filings have ended.
    pub(crate) fn ended(&self) -> usize {
        self.outcomes.borrow().len()
    }

    /// Stops the filers and compares what they were told with what the targets ran.
    pub(crate) async fn judge(self, cell: &Cell) -> Verdict {
        self.stop.set(true);
        for filer in self.filers {
            filer.await.unwrap();
        }
        let runs = runs(cell).await;
        let mut verdict = Verdict {
            done: 0,
            failed: Vec::new(),
        };
        for (key, outcome) in self.outcomes.borrow().iter() {
            let count = runs.get(key).copied().unwrap_or(0);
            assert!(count <= 1, "filing {key} ran {count} times: {outcome:?}");
            match outcome {
                Outcome::Done => {
                    assert_eq!(count, 1, "filing {key} was answered and did not run");
                    verdict.done += 1;
                }
                Outcome::Failed(error) => {
                    let is_denied = error.effect == Effect::NotRun;
                    assert!(
                        !is_denied || count == 0,
                        "filing {key} ran and was told: {error:?}"
                    );
                    verdict.failed.push(error.clone());
                }
            }
        }
        verdict
    }
}

/// Sends a filing until it has a final answer, through one entry after another.
async fn file(
    clients: &[Client],
    first: usize,
    request: &laburnumplank::api::schema::CallRequest,
) -> Outcome {
    let mut last = Error::new(Kind::Internal, "nothing was sent");
    for attempt in 0..ATTEMPTS {
        let client = &clients[(first + attempt) % clients.len()];
        match call(client, request).await {
            Ok(answer) => {
                assert_eq!(answer.body, request.body, "another answer came back");
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

/// Returns how often each key ran at all targets together, and checks the targets' own limits.
pub(crate) async fn runs(cell: &Cell) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for target in 0..cell.platform.targets.addresses.len() {
        let effects = cell.platform.targets.client.effects(target).await.unwrap();
        assert_eq!(
            effects.slots_exceeded, 0,
            "target {target} was given more than its slots"
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
