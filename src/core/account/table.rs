//! The client accounts of one version of the configuration, and whose key a caller sent.
//!
//! The table holds digests only, so that neither a dump nor a message between entries shows a key.

use std::collections::BTreeMap;
use std::fmt;

use laburnum_derive::{message, state};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use super::{Account, Name};

/// Longer keys are refused without being looked up.
pub const MAX_KEY_BYTES: usize = 1_024;

/// The SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Digest {
        Digest(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the part by which the table is searched. The rest is compared in constant time.
    fn prefix(&self) -> u64 {
        let (prefix, _) = self.0.split_at(8);
        prefix
            .iter()
            .fold(0, |sum, &byte| sum << 8 | u64::from(byte))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Digest(..)")
    }
}

/// A fault in the configured accounts. The rest of the configuration is in force.
#[state]
pub enum Fault {
    /// The account has an empty key or one of more than [`MAX_KEY_BYTES`], which admits nobody.
    UnusableKey(Name),
    /// Both accounts have the same key, which admits nobody.
    SharedKey(Name, Name),
    /// The weight is negative or not a number, and counts as 0.
    InvalidWeight(Name),
    /// The account is listed more than once; only the first entry counts.
    RepeatedAccount(Name),
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::UnusableKey(name) => {
                write!(out, "client account {}: a key is empty or too long", name.0)
            }
            Fault::SharedKey(name, other) => write!(
                out,
                "client accounts {} and {} have the same key, which admits nobody",
                name.0, other.0
            ),
            Fault::InvalidWeight(name) => {
                write!(out, "client account {}: the weight counts as 0", name.0)
            }
            Fault::RepeatedAccount(name) => {
                write!(out, "client account {} is listed more than once", name.0)
            }
        }
    }
}

#[message]
struct Entry {
    digest: Digest,
    /// `None` for a key that several accounts have.
    account: Option<Name>,
}

/// The accounts and their keys.
#[message]
#[derive(Default)]
pub struct Table {
    accounts: BTreeMap<Name, Account>,
    /// By the prefix of the digest.
    keys: BTreeMap<u64, Vec<Entry>>,
}

impl Table {
    /// Creates the table of accounts with their keys, and returns the faults that were found.
    pub fn new(listed: Vec<(Account, Vec<String>)>) -> (Table, Vec<Fault>) {
        let mut table = Table::default();
        let mut faults = Vec::new();
        for (account, keys) in listed {
            table.add(account, &keys, &mut faults);
        }
        (table, faults)
    }

    fn add(&mut self, mut account: Account, keys: &[String], faults: &mut Vec<Fault>) {
        let name = account.name.clone();
        if self.accounts.contains_key(&name) {
            faults.push(Fault::RepeatedAccount(name));
            return;
        }
        if !(account.weight.is_finite() && account.weight >= 0.0) {
            account.weight = 0.0;
            faults.push(Fault::InvalidWeight(name.clone()));
        }
        for key in keys {
            if is_usable(key) {
                faults.extend(self.add_key(key, &name));
            } else {
                faults.push(Fault::UnusableKey(name.clone()));
            }
        }
        self.accounts.insert(name, account);
    }

    fn add_key(&mut self, key: &str, name: &Name) -> Option<Fault> {
        let digest = Digest::of(key);
        let entries = self.keys.entry(digest.prefix()).or_default();
        if let Some(entry) = entries.iter_mut().find(|entry| entry.digest == digest) {
            let other = entry.account.take_if(|other| *other != *name)?;
            return Some(Fault::SharedKey(other, name.clone()));
        }
        entries.push(Entry {
            digest,
            account: Some(name.clone()),
        });
        None
    }

    /// Returns the account of a key; `None` for a key that admits nobody.
    pub fn account_of(&self, key: &str) -> Option<&Account> {
        if !is_usable(key) {
            return None;
        }
        let digest = Digest::of(key);
        let entries = self.keys.get(&digest.prefix())?;
        let entry = entries
            .iter()
            .find(|entry| bool::from(entry.digest.0.ct_eq(&digest.0)))?;
        self.accounts.get(entry.account.as_ref()?)
    }

    /// Returns all accounts, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values()
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

fn is_usable(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES
}
