//! Who sends heartbeats to whom.

use xxhash_rust::xxh3::xxh3_64;

use crate::core::id::Vm;

/// The entries in an order that scatters data centres, the same on all of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Ring {
    order: Vec<Vm>,
}

impl Ring {
    /// Puts the entries in order.
    pub(super) fn new(vms: impl Iterator<Item = Vm>) -> Ring {
        let mut order: Vec<Vm> = vms.collect();
        order.sort_by_key(|vm| (xxh3_64(&vm.0.to_le_bytes()), *vm));
        Ring { order }
    }

    /// Returns the next `count` entries after `vm`, which watch it.
    pub(super) fn after(&self, vm: Vm, count: usize) -> impl Iterator<Item = Vm> {
        let others = self.others();
        let start = self.position(vm);
        (1..=count.min(others)).filter_map(move |step| self.at(start? + step))
    }

    /// Returns the `count` entries before `vm`, which it watches.
    pub(super) fn before(&self, vm: Vm, count: usize) -> impl Iterator<Item = Vm> {
        let others = self.others();
        let start = self.position(vm);
        let len = self.order.len();
        (1..=count.min(others)).filter_map(move |step| self.at(start? + len - step))
    }

    /// Returns the entry that `vm` tells in round `round` beyond its watchers. Distances double
    /// from round to round, so that news doubles its reach.
    pub(super) fn finger(&self, vm: Vm, round: u64) -> Option<Vm> {
        let others = self.others();
        if others == 0 {
            return None;
        }
        let bits = u64::from(usize::BITS - others.leading_zeros());
        let distance = 1_usize << (round % bits);
        self.at(self.position(vm)? + distance.min(others))
    }

    /// Returns how many entries there are besides one.
    fn others(&self) -> usize {
        self.order.len().saturating_sub(1)
    }

    /// Returns the place of `vm`.
    fn position(&self, vm: Vm) -> Option<usize> {
        self.order.iter().position(|&other| other == vm)
    }

    /// Returns the entry at a place, counted round the ring.
    fn at(&self, index: usize) -> Option<Vm> {
        self.order.get(index % self.order.len().max(1)).copied()
    }
}
