//! Amounts of processors, memory and accelerators.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use laburnum_derive::value;

/// An amount of each resource that a worker has or a task needs.
#[value]
#[derive(Default)]
pub struct Amount {
    /// Processors, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Amount {
    /// Returns whether `self` fits into `room` in every resource.
    pub fn fits(self, room: Amount) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Returns `self` less `other`, or `None` when any resource would fall below zero.
    pub fn checked_sub(self, other: Amount) -> Option<Amount> {
        other.fits(self).then(|| self - other)
    }

    /// Returns the larger of the two amounts in each resource.
    pub fn max(self, other: Amount) -> Amount {
        Amount {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns `self` `count` times.
    pub fn times(self, count: u64) -> Amount {
        Amount {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

impl Add for Amount {
    type Output = Amount;

    fn add(self, other: Amount) -> Amount {
        Amount {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl Sub for Amount {
    type Output = Amount;

    /// Subtracts in each resource, down to zero.
    fn sub(self, other: Amount) -> Amount {
        Amount {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Amount) {
        *self = *self + other;
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Amount) {
        *self = *self - other;
    }
}
