//! Determines when the runs of earlier owners are known or have ended.
//!
//! A worker that an earlier owner used may run any task of an inherited job until it responds or its
//! lease has ended. Without further knowledge that takes the longest lease that a worker grants,
//! counted from the end of the recovery. When owners follow each other quickly, each would wait
//! anew for a worker that is gone for good. Therefore an owner asks the one before it, which has ended
//! by then and knows when the leases end.
//!
//! An earlier owner that cannot be asked may go on without knowing of its successors, on workers that
//! these cannot reach. It extends leases and starts tasks only for [`MAX_CLAIM_AGE`] after the log
//! has last confirmed its claim, which was before any successor fenced the log. Nor does it take a lease
//! for ended before the log has confirmed its claim after that end: a successor may have extended the
//! lease, and may know by now that the run is done.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnum_derive::message;

use super::id::Worker;
use super::message::Output;
use super::worker::{Entry, Worker as WorkerState, longest_lease};
use super::workers::{LOST_ADDRESS, START_TIMEOUT};
use super::{Rules, Scheduler};
use crate::core::time::Instant;

/// A worker on which earlier owners may have started tasks.
#[derive(Clone)]
pub(super) struct InheritedWorker {
    pub(super) name: String,
    pub(super) incarnation: u64,
    /// The address at which it responded to an earlier owner, if known.
    pub(super) address: Option<SocketAddr>,
    /// When its lease has ended for certain.
    pub(super) until: Instant,
    /// What `until` is based on.
    source: &'static str,
    /// Whether the runs there were known or had ended at the last check.
    is_known: bool,
    /// Whether it has responded to this owner, so that no earlier run has crashed it.
    has_responded: bool,
}

/// An owner extends leases and starts tasks for this long after the log last confirmed its claim. It has
/// to outlast short outages of the log, and every takeover whose former owner cannot be asked may have to
/// wait for it.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(5);

/// How long a lease that should have ended is expected to wait for the log to confirm the claim.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(5);

/// The end of a lease is that of the longest lease that a worker grants.
const LONGEST_LEASE: &str = "the longest lease has ended";
/// The end of a lease is the one that the former owner reported.
const REPORTED_LEASE: &str = "the lease that the former owner reported has ended";

/// The longest time that a worker may go on after the end of an ownership, without a further lease.
#[message]
pub struct RemainingLease {
    /// The worker's name.
    pub worker: String,
    /// The worker's incarnation, which is the start time of its process.
    pub incarnation: u64,
    /// The time until its lease has ended for certain.
    pub left: Duration,
}

impl Scheduler {
    /// Restores the workers on which earlier owners may have started tasks, at the end of the recovery:
    /// until then an earlier owner may have gone on writing.
    pub(super) fn inherit_workers(
        &mut self,
        now: Instant,
        workers: Vec<(String, u64)>,
        addresses: &[(String, u64, SocketAddr)],
    ) {
        let addresses: HashMap<(&str, u64), SocketAddr> = addresses
            .iter()
            .map(|(name, incarnation, address)| ((name.as_str(), *incarnation), *address))
            .collect();
        let of_isolated_owner = MAX_CLAIM_AGE + longest_lease(self.rules.lease);
        let until = now + longest_lease(self.rules.max_lease).max(of_isolated_owner);
        self.recovered_at = now;
        self.inheritance_ends_at = until;
        self.inherited_known_at = until;
        let inherited = workers.into_iter();
        self.inherited_workers = inherited
            .map(|(name, incarnation)| InheritedWorker {
                address: addresses.get(&(name.as_str(), incarnation)).copied(),
                name,
                incarnation,
                until,
                source: LONGEST_LEASE,
                is_known: false,
                has_responded: false,
            })
            .collect();
    }

    /// Processes the leases that the owner before this one had granted or inherited, as of
    /// `answered`, when its ownership had ended. A worker that it no longer knew has no lease.
    pub(super) fn limit_inheritance(&mut self, answered: Instant, leases: &[RemainingLease]) {
        for inherited in &mut self.inherited_workers {
            let mut of_worker = leases
                .iter()
                .filter(|lease| lease.worker == inherited.name)
                .peekable();
            let until = if of_worker.peek().is_none() {
                Some(answered)
            } else {
                of_worker
                    .find(|lease| lease.incarnation == inherited.incarnation)
                    .map(|lease| answered + lease.left)
            };
            let Some(until) = until else {
                continue;
            };
            if until < inherited.until {
                inherited.until = until;
                inherited.source = REPORTED_LEASE;
            }
            let key = self.by_name.get(&inherited.name);
            let worker = key.and_then(|&key| self.workers.get_mut(key));
            let worker = worker.filter(|worker| worker.entry.incarnation == inherited.incarnation);
            if let Some(worker) = worker {
                worker.limit_inherited_lease(inherited.until);
            }
        }
    }

    /// Whether the log has confirmed recently enough that no later owner has claimed the cell.
    pub(super) fn is_claim_confirmed(&self, now: Instant) -> bool {
        now.since(self.claim_confirmed_at) < MAX_CLAIM_AGE
    }

    /// Whether no later owner can have acted on the cell while this process stood still.
    pub(super) fn is_pause_confirmed(&self) -> bool {
        self.resumed_at <= self.claim_confirmed_at
    }

    /// Returns the leases that workers may still have, for the next owner. Must be called after the
    /// ownership has ended, so that no lease is extended any more.
    pub fn remaining_leases(&self, now: Instant) -> Vec<RemainingLease> {
        let known = self.workers.values().map(|worker| RemainingLease {
            worker: worker.entry.name.clone(),
            incarnation: worker.entry.incarnation,
            left: remaining_lease(&self.rules, worker, now).max(self.unreported_lease(worker, now)),
        });
        let unlisted = self.unlisted_inherited_workers();
        let unlisted = unlisted.map(|inherited| RemainingLease {
            worker: inherited.name.clone(),
            incarnation: inherited.incarnation,
            left: inherited.until.since(now),
        });
        known.chain(unlisted).collect()
    }

    /// Returns the time that a worker may go on which has restarted since earlier owners used it and has
    /// not reported: it may have carried out a command of theirs.
    fn unreported_lease(&self, worker: &WorkerState, now: Instant) -> Duration {
        let mut inherited = self.inherited_workers.iter();
        let is_restarted = inherited.any(|inherited| {
            inherited.name == worker.entry.name && inherited.incarnation != worker.entry.incarnation
        });
        if is_restarted && !worker.has_reported {
            self.inheritance_ends_at.since(now)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the workers of earlier owners that the directory has not listed again.
    pub(super) fn unlisted_inherited_workers(&self) -> impl Iterator<Item = &InheritedWorker> {
        let inherited = self.inherited_workers.iter();
        inherited.filter(|inherited| !self.by_name.contains_key(&inherited.name))
    }

    /// Returns the workers of earlier owners that have not responded to this one.
    pub(super) fn unproven_inherited_workers(&self) -> impl Iterator<Item = &InheritedWorker> {
        let inherited = self.inherited_workers.iter();
        inherited.filter(|inherited| {
            let key = self.by_name.get(&inherited.name);
            let worker = key.and_then(|&key| self.workers.get(key));
            worker.is_none_or(|worker| !worker.is_proven)
        })
    }

    /// Records that a worker has responded. Later incarnations of it that earlier owners recorded have never been.
    pub(super) fn note_inherited_response(&mut self, key: Worker) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let entry = &worker.entry;
        let inherited = self.inherited_workers.iter_mut();
        let inherited = inherited
            .filter(|other| other.name == entry.name && other.incarnation >= entry.incarnation);
        for inherited in inherited {
            inherited.has_responded = true;
        }
    }

    /// Returns the names of the workers of earlier owners that have never responded to this one.
    pub(super) fn lost_inherited_workers(&self) -> Vec<String> {
        let inherited = self.inherited_workers.iter();
        let lost = inherited.filter(|inherited| !inherited.has_responded);
        lost.map(|inherited| inherited.name.clone()).collect()
    }

    /// Whether a worker that an entry names responded to an earlier owner at the address in it.
    pub(super) fn was_at(&self, entry: &Entry) -> bool {
        let mut inherited = self.inherited_workers.iter();
        inherited.any(|inherited| {
            inherited.name == entry.name
                && inherited.incarnation == entry.incarnation
                && inherited.address == Some(entry.address)
        })
    }

    /// Records that a worker of earlier owners has ended.
    pub(super) fn end_inherited_lease(&mut self, name: &str, incarnation: u64) {
        let mut inherited = self.inherited_workers.iter_mut();
        let inherited =
            inherited.find(|other| other.name == name && other.incarnation == incarnation);
        if let Some(inherited) = inherited {
            inherited.until = Instant::default();
            inherited.source = LOST_ADDRESS;
        }
    }

    /// Returns when the lease of a worker from earlier owners has ended for certain; `None` if they did not know the
    /// worker.
    pub(super) fn inherited_lease_end(&self, name: &str, incarnation: u64) -> Option<Instant> {
        let inherited = self.inherited_workers.iter();
        let mut of_name = inherited.filter(|other| other.name == name).peekable();
        of_name.peek()?;
        let same = of_name.find(|other| other.incarnation == incarnation);
        // A command that was meant for a former incarnation may have extended the lease of this one.
        Some(same.map_or(self.inheritance_ends_at, |inherited| inherited.until))
    }

    /// Whether every run that an earlier owner started is known or has ended: each worker on which
    /// one may have been started has responded or can no longer hold a lease. A worker that has
    /// restarted has to respond as well: it may have got a command that was meant for the incarnation
    /// before.
    pub fn are_inherited_runs_known(&self) -> bool {
        self.unknown_inherited_workers().next().is_none()
    }

    /// Whether a lease that ends at `end` has ended, and no later owner can have extended it before.
    pub(super) fn has_lease_ended(&self, end: Instant) -> bool {
        end <= self.claim_confirmed_at
    }

    /// Returns when every run that an earlier owner started is known or has ended, if no further worker
    /// responds.
    pub(super) fn inherited_runs_known_at(&self, now: Instant) -> Instant {
        let unknown = self.unknown_inherited_workers();
        let last = unknown.map(|(_, until)| until).max();
        last.map_or(now, |last| last.max(now + CONFIRMATION_WAIT))
    }

    /// Returns the workers on which runs of an earlier owner may be that are not known, each with the
    /// time until which that lasts at most.
    pub(super) fn unknown_inherited_workers(&self) -> impl Iterator<Item = (&str, Instant)> {
        let inherited = self.inherited_workers.iter();
        inherited.filter_map(|inherited| {
            let until = self.unknown_until(inherited)?;
            Some((inherited.name.as_str(), until))
        })
    }

    /// Returns the time until which the runs of earlier owners on a worker are not known at most; `None` if
    /// they are known or have ended.
    fn unknown_until(&self, inherited: &InheritedWorker) -> Option<Instant> {
        let key = self.by_name.get(&inherited.name);
        let worker = key.and_then(|&key| self.workers.get(key));
        let until = match worker {
            Some(worker) if worker.has_reported => return None,
            // Its lease goes on, so no run of it counts as lapsed. The rest of its ends follows once
            // these are acknowledged.
            Some(worker) if worker.may_have_unread_ends => {
                self.inheritance_ends_at.max(worker.lease_end())
            }
            // The end of a lease is a time on the clock of the former incarnation.
            Some(worker) if worker.entry.incarnation != inherited.incarnation => {
                self.inheritance_ends_at
            }
            // This owner may have extended the lease itself.
            Some(worker) => inherited.until.max(worker.lease_end()),
            None => inherited.until,
        };
        (!self.has_lease_ended(until)).then_some(until)
    }

    /// Reports the workers of earlier owners whose runs have become known or unknown.
    pub(super) fn report_inheritance(&mut self, now: Instant, out: &mut Vec<Output>) {
        let inherited = self.inherited_workers.iter();
        let known: Vec<bool> = inherited
            .map(|inherited| self.unknown_until(inherited).is_none())
            .collect();
        for (inherited, is_known) in self.inherited_workers.iter_mut().zip(known) {
            if is_known == inherited.is_known {
                continue;
            }
            inherited.is_known = is_known;
            let key = self.by_name.get(&inherited.name);
            let worker = key.and_then(|&key| self.workers.get(key));
            let source = match worker {
                _ if !is_known => "its next incarnation has not reported",
                Some(worker) if worker.has_reported => "it has reported",
                _ => inherited.source,
            };
            out.push(Output::Inherited {
                worker: inherited.name.clone(),
                incarnation: inherited.incarnation,
                is_known,
                source,
                waited: now.since(self.recovered_at),
            });
        }
    }

    /// Forgets the workers of earlier owners once these owners' leases have ended. A worker that is not
    /// listed any more is then dropped from the record, so that no later owner waits for it.
    pub(super) fn end_inheritance(&mut self, now: Instant) {
        let is_over = now >= self.inheritance_ends_at && self.are_inherited_runs_known();
        if self.inherited_workers.is_empty() || !is_over || !self.has_noted_losses {
            return;
        }
        self.inherited_workers.clear();
        self.is_worker_list_recorded = false;
    }
}

fn remaining_lease(rules: &Rules, worker: &WorkerState, now: Instant) -> Duration {
    // A start that was sent just now may reach the next incarnation, on whose clock the lease that it
    // carries ends later.
    let may_be_under_way = worker
        .attempts
        .values()
        .any(|attempt| !attempt.is_confirmed && now.since(attempt.started) < START_TIMEOUT);
    let left = worker.last_lease_end(rules.max_lease).since(now);
    if may_be_under_way {
        left.max(longest_lease(rules.max_lease))
    } else {
        left
    }
}
