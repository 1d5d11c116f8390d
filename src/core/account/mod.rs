//! Client accounts: whose jobs a cell runs, and how much of it each account may use.
//!
//! Operators list the accounts in the configuration. A deployment without accounts serves every caller
//! alike.

mod table;

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

impl Cap {
    /// Whether an amount exceeds no limit.
    pub fn allows(&self, amount: Amount) -> bool {
        let is_within = |amount: u64, limit: Option<u64>| limit.is_none_or(|limit| amount <= limit);
        is_within(amount.cpu_millis, self.cpu_millis)
            && is_within(amount.memory_mib, self.memory_mib)
            && is_within(amount.accelerators, self.accelerators)
    }
}
