//! Client accounts: whose jobs a cell runs, and how much of it each account may use.
//!
//! Operators list the accounts in the configuration. A deployment without accounts serves every caller
//! alike.

mod table;

use std::fmt;

use laburnum_derive::{message, name};

pub use table::{Digest, Fault, MAX_KEY_BYTES, Table};

use super::resource::Amount;

/// The name of a client account.
#[name]
pub struct Name(pub String);

/// A client account, as configured.
#[message]
pub struct Account {
    /// The account's name.
    pub name: Name,
    /// The account's share of a full cell, relative to those of the others. It is also the number of jobs
    /// a second that the account is entitled to.
    pub weight: f64,
    /// The most that the account may have running on all workers.
    pub cap: Cap,
}

/// An upper limit on each resource; `None` where there is no limit.
#[message]
#[derive(Copy, Default)]
pub struct Cap {
    /// Processors, in thousandths of a core.
    pub cpu_millis: Option<u64>,
    /// Memory, in MiB.
    pub memory_mib: Option<u64>,
    /// Whole accelerators.
    pub accelerators: Option<u64>,
}

impl fmt::Display for Cap {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limit = |limit: Option<u64>| limit.map_or("-".to_owned(), |limit| limit.to_string());
        write!(
            out,
            "{}m/{}Mi/{}",
            limit(self.cpu_millis),
            limit(self.memory_mib),
            limit(self.accelerators)
        )
    }
}

impl Cap {
    /// Whether an amount exceeds no limit.
    pub fn allows(&self, amount: Amount) -> bool {
        let is_within = |amount: u64, limit: Option<u64>| limit.is_none_or(|limit| amount <= limit);
        is_within(amount.cpu_millis, self.cpu_millis)
            && is_within(amount.memory_mib, self.memory_mib)
            && is_within(amount.accelerators, self.accelerators)
    }

    /// Returns the lower limit on each resource.
    pub fn min(self, other: Cap) -> Cap {
        let lower = |limit: Option<u64>, other: Option<u64>| limit.into_iter().chain(other).min();
        Cap {
            cpu_millis: lower(self.cpu_millis, other.cpu_millis),
            memory_mib: lower(self.memory_mib, other.memory_mib),
            accelerators: lower(self.accelerators, other.accelerators),
        }
    }

    /// Returns what may be used in addition to `used`; [`u64::MAX`] of a resource without a limit.
    pub fn left(self, used: Amount) -> Amount {
        let left = |limit: Option<u64>, used: u64| {
            limit.map_or(u64::MAX, |limit| limit.saturating_sub(used))
        };
        Amount {
            cpu_millis: left(self.cpu_millis, used.cpu_millis),
            memory_mib: left(self.memory_mib, used.memory_mib),
            accelerators: left(self.accelerators, used.accelerators),
        }
    }
}
