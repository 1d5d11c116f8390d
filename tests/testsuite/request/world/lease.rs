//! Leases of partitions and their owners and standbys.

use super::*;

impl World {
    pub(super) fn first_lease(&mut self, partition: usize) {
        let lease = Lease {
            owner: partition,
            incarnation: self.entries[partition].incarnation,
            standbys: self.standbys_of(partition),
            term: Term(1),
            until: self.now + LEASE,
            has_promised: false,
        };
        self.leases.push(lease);
        self.acquire(partition, Acquisition::First, None);
    }

    /// Returns two running entries as standbys of an owner.
    pub(super) fn standbys_of(&self, owner: usize) -> Vec<(usize, u64)> {
        let others = (1..ENTRIES).map(|step| (owner + step) % ENTRIES);
        let alive = others.filter(|index| self.entries[*index].is_alive);
        let alive = alive.map(|index| (index, self.entries[index].incarnation));
        alive.take(2).collect()
    }

    pub(super) fn owner(&self, partition: usize) -> Owner {
        let lease = &self.leases[partition];
        Owner {
            term: lease.term,
            node: node(lease.owner, lease.incarnation),
            place: place(lease.owner),
            until: lease.until,
        }
    }

    /// Creates the table and the grantors of a partition in the process that acquired its lease.
    pub(super) fn acquire(&mut self, partition: usize, how: Acquisition, before: Option<Term>) {
        let index = self.leases[partition].owner;
        let term = self.leases[partition].term;
        let acquired = Acquired { term, before, how };
        let mut out = Vec::new();
        let rules = self.switches.dedup;
        let now = self.clock(index);
        let table = dedup::recover(rules, now, &self.streams[partition], acquired, &mut out);
        let id = Partition(partition as u16);
        self.entries[index].tables.insert(id, (term, table));
        for target in (0..TARGETS).map(Target) {
            if Partitions(PARTITIONS).of_target(target) == id {
                let grantor = match how {
                    Acquisition::First => Grantor::first(self.switches.slot, CAPACITY),
                    _ => Grantor::after_takeover(self.now, self.switches.slot, CAPACITY),
                };
                self.entries[index].grantors.insert(target, grantor);
            }
        }
        self.table_outputs(index, id, term, out);
        self.update_owner(partition, false);
    }

    /// Updates the owner's dispatcher, table and grantors after a change of its lease.
    pub(super) fn update_owner(&mut self, partition: usize, promised: bool) {
        let (index, until) = (self.leases[partition].owner, self.leases[partition].until);
        let id = Partition(partition as u16);
        for (target, grantor) in &mut self.entries[index].grantors {
            if Partitions(PARTITIONS).of_target(*target) == id {
                grantor.extend(until);
            }
        }
        let status = OwnerStatus {
            until,
            log_up: self.log_up,
            promised,
        };
        self.table_input(index, id, dedup::Input::OwnerStatus(status));
        let owner = self.owner(partition);
        self.input(index, Input::Owner(id, owner));
    }

    /// Renews leases of which a third has passed, and claims lapsed ones for other processes.
    pub(super) fn renew_leases(&mut self) {
        for partition in 0..self.leases.len() {
            let lease = &self.leases[partition];
            let entry = &self.entries[lease.owner];
            let is_same = entry.is_alive && entry.incarnation == lease.incarnation;
            let is_living = is_same && !entry.is_paused && self.now < lease.until;
            if is_living && self.now + LEASE - LEASE / 3 > lease.until {
                self.renew(partition);
            } else if self.now > lease.until + CLAIM_MARGIN && self.log_up {
                self.claim(partition);
            }
        }
    }

    pub(super) fn renew(&mut self, partition: usize) {
        let lease = &self.leases[partition];
        let id = Partition(partition as u16);
        let undurable_runs = self.entries[lease.owner].tables[&id].1.undurable_runs();
        if self.log_up && undurable_runs == 0 {
            self.leases[partition].until = self.now + LEASE;
            self.leases[partition].has_promised = false;
            return self.update_owner(partition, false);
        }
        let owner = lease.owner;
        let promises = |&(index, incarnation): &(usize, u64)| {
            let entry = &self.entries[index];
            let is_same = entry.incarnation == incarnation;
            let is_cut = self.is_cut(owner, index);
            is_same && entry.is_alive && !entry.is_paused && !is_cut
        };
        if lease.standbys.len() == 2 && lease.standbys.iter().all(promises) {
            self.leases[partition].until = self.now + LEASE;
            self.leases[partition].has_promised = true;
            self.update_owner(partition, true);
        }
    }

    /// Gives a lapsed lease to a running standby. It goes to its last owner when both standbys have
    /// ended, and to any process when all three have ended.
    pub(super) fn claim(&mut self, partition: usize) {
        let lease = &self.leases[partition];
        let can_act = |index: usize| self.entries[index].is_alive && !self.entries[index].is_paused;
        let is_here = |&(index, incarnation): &(usize, u64)| {
            self.entries[index].is_alive && self.entries[index].incarnation == incarnation
        };
        let mut standbys = lease.standbys.iter().filter(|standby| is_here(standby));
        let standby = standbys.find(|standby| can_act(standby.0)).copied();
        let are_gone = !lease.standbys.iter().any(is_here);
        let owner = (lease.owner, lease.incarnation);
        let lapsed = Some(lease.owner).filter(|index| is_here(&owner) && can_act(*index));
        let is_gone = are_gone && !is_here(&owner);
        let outsider = (0..ENTRIES)
            .find(|index| can_act(*index))
            .filter(|_| is_gone);
        let outsider = outsider.or(lapsed.filter(|_| are_gone));
        let promised = lease.has_promised;
        let (index, how) = match (standby, outsider) {
            (Some((index, _)), _) => (index, Acquisition::Standby { promised }),
            (None, Some(index)) => (index, Acquisition::Outsider),
            (None, None) => return,
        };
        self.take_over(partition, index, how);
    }

    /// Gives the lease to another process and notifies all others after random delays.
    pub(super) fn take_over(&mut self, partition: usize, index: usize, how: Acquisition) {
        let before = self.leases[partition].term;
        self.leases[partition] = Lease {
            owner: index,
            incarnation: self.entries[index].incarnation,
            standbys: self.standbys_of(index),
            term: Term(before.0 + 1),
            until: self.now + LEASE,
            has_promised: false,
        };
        self.acquire(partition, how, Some(before));
        let owner = self.owner(partition);
        for other in (0..ENTRIES).filter(|other| *other != index) {
            let event = Event::Dispatcher(Input::Owner(Partition(partition as u16), owner));
            let delay = self.random_span(millis(300));
            self.schedule(delay, other, event);
        }
    }

    /// Moves a partition from its owner to a standby, if all runs of the owner are in the log.
    pub(super) fn hand_over(&mut self, partition: usize) {
        let lease = &self.leases[partition];
        let (owner, id) = (lease.owner, Partition(partition as u16));
        let is_same = self.entries[owner].incarnation == lease.incarnation;
        let is_living = is_same && self.is_running(owner) && self.now < lease.until;
        let standby = lease.standbys.iter().find(|(index, incarnation)| {
            self.is_running(*index) && self.entries[*index].incarnation == *incarnation
        });
        let Some((next, _)) = standby.copied() else {
            return;
        };
        if !is_living || !self.log_up || self.entries[owner].tables[&id].1.undurable_runs() > 0 {
            return;
        }
        self.leases[partition].until = self.now;
        self.update_owner(partition, false);
        self.take_over(partition, next, Acquisition::Handover);
    }
}
