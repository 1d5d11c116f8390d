//! Operators that wait for the verdict on their change.
//!
//! A change is answered when this node's reader has read it from the log and the
//! [`Store`](super::Store) has returned its verdict, never when its append succeeded. At the
//! deadline of a waiter the answer is that the outcome is unknown, or, if the change was never
//! sent, that it was not sent.

use std::collections::BTreeMap;

use laburnum_derive::state;
use uuid::Uuid;

use super::change::Version;
use super::verdict::Verdict;
use crate::core::error::{Error, Kind, Result};
use crate::core::stream::PushId;
use crate::core::time::Instant;

/// The maximum number of operators that wait at one node.
const MAX_WAITERS: usize = 1_000;

/// An input of [`Pending`].
#[state]
pub enum Input {
    /// An operator's change was pushed to the writer.
    Submitted {
        /// The change.
        id: Uuid,
        /// The push id of its record in the writer.
        push_id: PushId,
        /// When the operator stops waiting.
        deadline: Instant,
    },
    /// The store returned the verdict on a change that was read from the log.
    Evaluated {
        /// The change.
        id: Uuid,
        /// The verdict.
        verdict: Verdict,
    },
    /// The writer removed a record that was never sent.
    Withdrawn(PushId),
    /// These records may or may not be in the log.
    Unknown(Vec<PushId>),
    /// Time has passed.
    Tick,
}

/// An action that the caller of [`Pending`] must carry out.
#[state]
pub enum Output {
    /// Send the operator of this change the result.
    Answer {
        /// The change.
        id: Uuid,
        /// The version that the change became, or why it became none.
        result: Result<Version>,
    },
    /// Withdraw this record from the writer; respond with [`Input::Withdrawn`] if it was never
    /// sent.
    Withdraw(PushId),
}

/// An operator that waits.
#[state]
struct Waiter {
    push_id: PushId,
    deadline: Instant,
    withdraw_requested: bool,
}

/// The changes of this node's operators that wait for a verdict.
#[state]
#[derive(Default)]
pub struct Pending {
    waiters: BTreeMap<Uuid, Waiter>,
}

impl Pending {
    /// Returns whether one more operator may wait.
    pub fn has_room(&self) -> bool {
        self.waiters.len() < MAX_WAITERS
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        self.waiters.values().map(|waiter| waiter.deadline).min()
    }

    /// Handles `input` and answers the operators whose result is known.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submitted {
                id,
                push_id,
                deadline,
            } => {
                let waiter = Waiter {
                    push_id,
                    deadline,
                    withdraw_requested: false,
                };
                self.waiters.insert(id, waiter);
            }
            Input::Evaluated { id, verdict } => self.answer(id, result(verdict), out),
            Input::Withdrawn(push_id) => {
                let message = "the change was not sent; try again";
                self.settle(push_id, &Error::new(Kind::LogDown, message), out);
            }
            Input::Unknown(push_ids) => {
                for push_id in push_ids {
                    self.settle(push_id, &outcome_unknown(), out);
                }
            }
            Input::Tick => self.expire(now, out),
        }
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        let late = |waiter: &Waiter| now >= waiter.deadline;
        let expired: Vec<Uuid> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| late(waiter) && waiter.withdraw_requested)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.answer(id, Err(outcome_unknown()), out);
        }
        for waiter in self.waiters.values_mut().filter(|waiter| late(waiter)) {
            waiter.withdraw_requested = true;
            out.push(Output::Withdraw(waiter.push_id));
        }
    }

    fn settle(&mut self, push_id: PushId, error: &Error, out: &mut Vec<Output>) {
        let found = self
            .waiters
            .iter()
            .find(|(_, waiter)| waiter.push_id == push_id);
        if let Some(id) = found.map(|(id, _)| *id) {
            self.answer(id, Err(error.clone()), out);
        }
    }

    fn answer(&mut self, id: Uuid, result: Result<Version>, out: &mut Vec<Output>) {
        if self.waiters.remove(&id).is_some() {
            out.push(Output::Answer { id, result });
        }
    }
}

/// Converts a verdict to the result for the operator.
fn result(verdict: Verdict) -> Result<Version> {
    match verdict {
        Verdict::Accepted(version) | Verdict::Repeated(version) => Ok(version),
        Verdict::Conflict { in_force } => {
            let message = format!("version {in_force} is in force; make the change against it");
            Err(Error::new(Kind::Conflict, message))
        }
        Verdict::Invalid(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            Err(Error::new(Kind::InvalidConfig, lines.join("\n")))
        }
        Verdict::Stale | Verdict::Unsupported => Err(outcome_unknown()),
    }
}

/// Returns the error for a change whose verdict isn't known.
fn outcome_unknown() -> Error {
    let message = "the change may still be accepted; check the history before retrying";
    Error::new(Kind::AnswerLost, message)
}
