//! Checks entries of the directory that contradict what is known of a worker.
//!
//! Others than the worker may write its entry. One with another start or address is no proof that the known
//! incarnation has ended, whose runs may go on. The address that it names is polled, and only a response from there
//! with that start replaces the known incarnation. A response of the known one refutes the entry. While neither
//! responds, the runs are kept until the lease of the known incarnation has ended.

use super::id::Worker;
use super::message::{Outcome, Output, Refusal};
use super::worker::Entry;
use super::{Scheduler, Time};
use crate::core::time::Instant;

/// An entry that no worker has confirmed.
#[derive(Clone)]
pub(super) struct UnverifiedEntry {
    pub(super) entry: Entry,
    /// When the directory first listed it.
    since: Instant,
}

impl Scheduler {
    /// Asks the address of an entry that contradicts what is known of the worker `key` for its worker.
    pub(super) fn verify(
        &mut self,
        key: Worker,
        entry: Entry,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if let Some(known) = self.unverified.get_mut(&entry.name)
            && known.entry.agrees_with(&entry)
        {
            known.entry = entry;
            return;
        }
        self.report_contradiction(key, &entry, "to be verified", now, out);
        out.push(Output::Verify {
            entry: entry.clone(),
            since: now,
        });
        let name = entry.name.clone();
        let since = now;
        self.unverified
            .insert(name, UnverifiedEntry { entry, since });
    }

    /// Whether an entry that was first listed at `since` still has to be verified.
    pub fn is_unverified(&self, entry: &Entry, since: Instant) -> bool {
        let unverified = self.unverified.get(&entry.name);
        unverified.is_some_and(|unverified| {
            unverified.entry.agrees_with(entry) && unverified.since == since
        })
    }

    /// Lists the unverified entry of a worker that has been removed: nothing contradicts it any more.
    pub(super) fn list_unverified(&mut self, name: &str, now: Instant, out: &mut Vec<Output>) {
        if let Some(unverified) = self.unverified.remove(name) {
            self.add_worker(unverified.entry, now, out);
        }
    }

    /// Processes the outcome of a poll of the address that an unverified entry names.
    pub(super) fn verified(
        &mut self,
        time: Time,
        entry: &Entry,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        let unverified = self.unverified.get(&entry.name);
        if unverified.is_none_or(|unverified| !unverified.entry.agrees_with(entry)) {
            return;
        }
        let Some(&key) = self.by_name.get(&entry.name) else {
            return;
        };
        let verdict = match outcome {
            Outcome::Done(_) => "confirmed by the worker",
            Outcome::Refused(Refusal::OtherIncarnation) => "another incarnation is there",
            Outcome::Refused(Refusal::OtherWorker) => "another worker is there",
            Outcome::Refused(Refusal::Fenced) => {
                out.push(Output::Superseded);
                return;
            }
            Outcome::Refused(_) | Outcome::Unknown => return,
        };
        self.report_contradiction(key, entry, verdict, time.now, out);
        let Some(unverified) = self.unverified.remove(&entry.name) else {
            return;
        };
        if matches!(outcome, Outcome::Done(_)) {
            self.replace_entry(key, unverified.entry, time.now, out);
        }
    }

    /// Applies an entry that its worker has confirmed.
    fn replace_entry(&mut self, key: Worker, entry: Entry, now: Instant, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let has_moved = worker.entry.incarnation == entry.incarnation;
        let key = if has_moved {
            self.update_entry(key, entry, out);
            key
        } else {
            self.restarted(key, entry, now, out)
        };
        self.has_unrecorded_address = true;
        if let Some(worker) = self.workers.get_mut(key) {
            // A response to a command under way may still come from the former address.
            worker.is_proven = !has_moved;
        }
    }

    /// Drops the unverified entry of a worker that responds: it had not ended when the poll was sent.
    pub(super) fn refute(
        &mut self,
        key: Worker,
        sent: Instant,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let unverified = self.unverified.get(&worker.entry.name);
        if unverified.is_none_or(|unverified| sent < unverified.since) {
            return;
        }
        if let Some(unverified) = self.unverified.remove(&worker.entry.name.clone()) {
            let verdict = "the known worker has responded";
            self.report_contradiction(key, &unverified.entry, verdict, now, out);
        }
    }

    fn report_contradiction(
        &self,
        key: Worker,
        entry: &Entry,
        verdict: &'static str,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if let Some(worker) = self.workers.get(key) {
            out.push(Output::Contradiction {
                entry: entry.clone(),
                incarnation: worker.entry.incarnation,
                address: worker.entry.address,
                report_age: now.since(worker.answered),
                lease_left: worker.lease_end().since(now),
                verdict,
            });
        }
    }
}
