//! The client accounts of a world, whose caps change.

use std::time::Duration;

use laburnumplank::core::account::{Account, Cap, Name};
use laburnumplank::core::scheduler::id::Job;
use laburnumplank::core::time::Instant;

/// A start is decided no longer than this before a worker carries it out: an owner may stand still for 9 s
/// in between, and commands end with the longest lease.
const MAX_LATENESS: Duration = Duration::from_secs(15);

/// The number of accounts.
pub(super) const ACCOUNTS: usize = 2;

/// The caps of all accounts, in cores.
pub(super) type Cores = [u64; ACCOUNTS];

/// The accounts with all caps that they have had.
#[derive(Default)]
pub(super) struct Accounts {
    caps: Vec<(Instant, Cores)>,
}

impl Accounts {
    /// Changes the caps, and returns the accounts with them.
    pub(super) fn set(&mut self, now: Instant, cores: Cores) -> Vec<Account> {
        self.caps.push((now, cores));
        accounts(cores)
    }

    /// Returns the accounts with their present caps; `None` without accounts.
    pub(super) fn present(&self) -> Option<Vec<Account>> {
        self.caps.last().map(|&(_, cores)| accounts(cores))
    }

    /// Returns the index of a job's account; every third job has none.
    pub(super) fn of_job(&self, job: Job) -> Option<usize> {
        let index = job.0 as usize % (ACCOUNTS + 1);
        (!self.caps.is_empty() && index < ACCOUNTS).then_some(index)
    }

    /// Returns the name of a job's account.
    pub(super) fn name_of(&self, job: Job) -> Option<Name> {
        self.of_job(job).map(name)
    }

    /// Returns the highest cap with which a start may have been decided that is carried out now, in
    /// thousandths of a core.
    pub(super) fn highest_cap(&self, index: usize, now: Instant) -> u64 {
        let mut highest = 0;
        for (at, cores) in self.caps.iter().rev() {
            highest = highest.max(cores[index] * 1_000);
            if now.since(*at) >= MAX_LATENESS {
                break;
            }
        }
        highest
    }
}

fn name(index: usize) -> Name {
    Name(format!("account-{index}"))
}

fn accounts(cores: Cores) -> Vec<Account> {
    let accounts = (0..).zip(cores).map(|(index, cores)| Account {
        name: name(index),
        weight: 1.0,
        cap: Cap {
            cpu_millis: Some(cores * 1_000),
            ..Cap::default()
        },
    });
    accounts.collect()
}
