//! The ring of entries, which determines the receivers of heartbeats.

use xxhash_rust::xxh3::xxh3_64;

use crate::core::id::Vm;

/// The entries ordered by hash: the same order on all entries, with data centres scattered.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Ring {
    order: Vec<Vm>,
}

impl Ring {
    /// Returns the ring of `vms`.
    pub(super) fn new(vms: impl Iterator<Item = Vm>) -> Ring {
        let mut order: Vec<Vm> = vms.collect();
        order.sort_by_key(|vm| (xxh3_64(&vm.0.to_le_bytes()), *vm));
        Ring { order }
    }

    /// Returns the next `count` entries after `vm`, which watch it.
    pub(super) fn watchers(&self, vm: Vm, count: usize) -> impl Iterator<Item = Vm> {
        let others = self.others();
        let start = self.position(vm);
        (1..=count.min(others)).filter_map(move |step| self.at(start? + step))
    }

    /// Returns the `count` entries before `vm`, which it watches.
    pub(super) fn watched(&self, vm: Vm, count: usize) -> impl Iterator<Item = Vm> {
        let others = self.others();
        let start = self.position(vm);
        let len = self.order.len();
        (1..=count.min(others)).filter_map(move |step| self.at(start? + len - step))
    }

    /// Returns the entry to which `vm` sends a heartbeat in round `round` in addition to its
    /// watchers. Its distance doubles from round to round, so that the number of entries that an
    /// update reaches doubles.
    pub(super) fn gossip_target(&self, vm: Vm, round: u64) -> Option<Vm> {
        let others = self.others();
        if others == 0 {
            return None;
        }
        let bits = u64::from(usize::BITS - others.leading_zeros());
        let distance = 1_usize << (round % bits);
        self.at(self.position(vm)? + distance.min(others))
    }

    /// Returns the number of entries other than one.
    fn others(&self) -> usize {
        self.order.len().saturating_sub(1)
    }

    /// Returns the index of `vm`.
    fn position(&self, vm: Vm) -> Option<usize> {
        self.order.iter().position(|&other| other == vm)
    }

    /// Returns the entry at an index modulo the number of entries.
    fn at(&self, index: usize) -> Option<Vm> {
        self.order.get(index % self.order.len().max(1)).copied()
    }
}
