//! Amounts of processors, memory and accelerators.

use std::fmt;
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

impl fmt::Display for Amount {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{}m/{}Mi/{}",
            self.cpu_millis, self.memory_mib, self.accelerators
        )
    }
}

impl Amount {
    /// Returns whether no resource of `self` exceeds that of `available`.
    pub fn fits(self, available: Amount) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns `self` minus `other`, or `None` if any resource would be negative.
    pub fn checked_sub(self, other: Amount) -> Option<Amount> {
        other.fits(self).then(|| self - other)
    }

    /// Returns the larger value of each resource.
    pub fn max(self, other: Amount) -> Amount {
        Amount {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller value of each resource.
    pub fn min(self, other: Amount) -> Amount {
        Amount {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns `self` multiplied by `count`, saturating.
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

    /// Adds each resource, saturating.
    fn add(self, other: Amount) -> Amount {
        Amount {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl Sub for Amount {
    type Output = Amount;

    /// Subtracts each resource, saturating at zero.
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
