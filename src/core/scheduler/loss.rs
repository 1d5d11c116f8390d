//! Remembers the changes of the owner at which workers were gone.
//!
//! The load that this answers: a task crashes each worker that starts it, and the owner changes before it
//! learns of the crash, more than once. The first start of a task has no record, so none of the owners
//! knows of the starts of those before it. What they can tell is whether a worker of the former owner was
//! gone when they took over: if all were still there, no run has crashed one.

use std::time::Duration;

use laburnum_derive::message;

use super::id::{self, Token};
use super::message::Output;
use super::record::{Key, encode};
use super::{Scheduler, Time};
use crate::core::time::Stamp;

/// Losses are forgotten after this time. Starts that no owner sees end follow each other within seconds,
/// and the innocent tasks of a job that lasts should not answer for all changes of the owner.
const MEMORY: Duration = Duration::from_secs(600);
/// The most losses that are remembered; with this many possible crashes, no task is started again after
/// its second known crash.
const MAX_LOSSES: usize = 5;
/// How far the clocks of two owners may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// A change of the owner at which a worker of the former owner was gone.
#[message]
pub(super) struct Loss {
    /// The new owner.
    owner: Token,
    /// The time of day when it had looked at all workers.
    at: Stamp,
}

/// The latest losses, in order.
#[message]
#[derive(Default)]
pub(super) struct Losses {
    /// The losses.
    losses: Vec<Loss>,
}

impl Losses {
    /// Whether a worker was gone when an owner after `owner` had taken over.
    pub(super) fn is_after(&self, owner: Token) -> bool {
        self.losses.iter().any(|loss| loss.owner > owner)
    }

    fn add(&mut self, loss: Loss) {
        let now = loss.at;
        self.losses.push(loss);
        self.losses.retain(|loss| now.since(loss.at) < MEMORY);
        let excess = self.losses.len().saturating_sub(MAX_LOSSES);
        self.losses.drain(..excess);
    }

    /// Returns the number of losses after `accepted`.
    fn count_after(&self, accepted: Stamp, now: Stamp) -> usize {
        let recent = self
            .losses
            .iter()
            .filter(|loss| loss.at + MAX_CLOCK_SKEW >= accepted && now.since(loss.at) < MEMORY);
        recent.count()
    }
}

impl Scheduler {
    /// Records whether workers of the former owner are gone, once all runs there are known or have ended.
    pub(super) fn note_losses(&mut self, time: Time, out: &mut Vec<Output>) {
        if self.has_noted_losses || !self.are_inherited_runs_known() {
            return;
        }
        self.has_noted_losses = true;
        let workers = self.lost_inherited_workers();
        if workers.is_empty() {
            return;
        }
        self.losses.add(Loss {
            owner: self.token,
            at: time.stamp,
        });
        out.push(Output::Lost {
            workers,
            losses: self.losses.losses.len(),
        });
        self.append(Key::Losses, Some(encode(&self.losses)), out);
    }

    /// Returns the number of starts of a task of a job that may have crashed a worker without any owner
    /// having seen it. An owner that sees the first crash of a task records all later starts.
    pub(super) fn unseen_starts(&self, id: id::Job, now: Stamp) -> usize {
        let job = self.jobs.get(&id).filter(|job| job.is_inherited);
        job.map_or(0, |job| self.losses.count_after(job.accepted, now))
    }
}
