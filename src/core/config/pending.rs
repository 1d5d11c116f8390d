//! Operators that wait for a verdict or for a version.
//!
//! A change is answered when this node's reader has met it in the log and the [`Store`](super::Store)
//! has judged it, never when its append was answered. A waiter whose deadline passes is told that
//! nothing is known, unless its change was never sent.

use std::collections::BTreeMap;

use laburnum_derive::state;
use uuid::Uuid;

use super::change::Version;
use super::verdict::Verdict;
use crate::core::error::{Error, Kind, Result};
use crate::core::stream::Ticket;
use crate::core::time::Instant;

/// How many operators may wait at one node.
const WAITERS: usize = 1_000;

/// What a pending list takes.
#[state]
pub enum Input {
    /// An operator's change was pushed to the writer.
    Submitted {
        /// The change.
        id: Uuid,
        /// Its place in the writer.
        ticket: Ticket,
        /// When the operator gives up.
        deadline: Instant,
    },
    /// The store judged a change that was read from the log.
    Judged {
        /// The change.
        id: Uuid,
        /// The verdict.
        verdict: Verdict,
    },
    /// The writer took back a record that was never sent.
    Withdrawn(Ticket),
    /// The writer can't tell whether records are in the log.
    Unknown(Vec<Ticket>),
    /// Time has passed.
    Tick,
}

/// What a pending list wants done.
#[state]
pub enum Output {
    /// Answer the operator of this change.
    Answer {
        /// The change.
        id: Uuid,
        /// The version, or why there is none.
        result: Result<Version>,
    },
    /// Try to withdraw this record from the writer; answer by [`Input::Withdrawn`] if that worked.
    Withdraw(Ticket),
}

/// An operator that waits.
#[state]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
    asked: bool,
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
        self.waiters.len() < WAITERS
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        self.waiters.values().map(|waiter| waiter.deadline).min()
    }

    /// Takes `input` and answers whom it decides.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submitted {
                id,
                ticket,
                deadline,
            } => {
                let waiter = Waiter {
                    ticket,
                    deadline,
                    asked: false,
                };
                self.waiters.insert(id, waiter);
            }
            Input::Judged { id, verdict } => self.answer(id, result(verdict), out),
            Input::Withdrawn(ticket) => {
                let message = "the change was not sent; try again";
                self.settle(ticket, &Error::new(Kind::LogDown, message), out);
            }
            Input::Unknown(tickets) => {
                for ticket in tickets {
                    self.settle(ticket, &lost(), out);
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
            .filter(|(_, waiter)| late(waiter) && waiter.asked)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.answer(id, Err(lost()), out);
        }
        for waiter in self.waiters.values_mut().filter(|waiter| late(waiter)) {
            waiter.asked = true;
            out.push(Output::Withdraw(waiter.ticket));
        }
    }

    fn settle(&mut self, ticket: Ticket, error: &Error, out: &mut Vec<Output>) {
        let found = self
            .waiters
            .iter()
            .find(|(_, waiter)| waiter.ticket == ticket);
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

/// Turns a verdict into what the operator is told.
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
        Verdict::Stale | Verdict::Unsupported => Err(lost()),
    }
}

fn lost() -> Error {
    let message = "the change may yet be accepted; look at the history before trying again";
    Error::new(Kind::AnswerLost, message)
}
