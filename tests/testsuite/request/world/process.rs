//! Processes of entries: carries out the outputs of their dispatchers and tables.

use super::*;

impl World {
    pub(super) fn start(&mut self, index: usize) -> Entry {
        self.incarnations += 1;
        let settings = Settings::builder()
            .partitions(Partitions(PARTITIONS))
            .slot(self.switches.slot)
            .link(self.switches.link)
            .retry(self.switches.retry)
            .build();
        let node = node(index, self.incarnations);
        let member = Member { node, thread: 0 };
        let random = Pcg32::seed_from_u64(self.random.random());
        Entry {
            incarnation: self.incarnations,
            is_alive: true,
            is_paused: false,
            dispatcher: Dispatcher::new(settings, member, place(index), random),
            tables: BTreeMap::new(),
            grantors: BTreeMap::new(),
            held: Vec::new(),
            forwarded: BTreeMap::new(),
            appends: Vec::new(),
            clock_offset: self.random_span(SKEW),
        }
    }

    /// Sends the targets and the owners of all partitions to a new process.
    pub(super) fn send_targets_and_owners(&mut self, index: usize) {
        let listed = self.listing();
        self.input(index, Input::Targets(listed));
        for partition in 0..self.leases.len() {
            let owner = self.owner(partition);
            self.input(index, Input::Owner(Partition(partition as u16), owner));
        }
    }

    /// Returns the entry that owns the partition of the newest key.
    pub(super) fn owner_of_newest(&self) -> usize {
        let partition = self
            .keys
            .last()
            .map(|key| Partitions(PARTITIONS).of_key(*key).0);
        self.leases[usize::from(partition.unwrap_or(0))].owner
    }

    pub(super) fn kill(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.is_alive = false;
        entry.is_paused = false;
        entry.held.clear();
        entry.appends.clear();
        let incarnation = entry.incarnation;
        self.oracle.waive_deadlines(index);
        let dropped_at = self.now + self.switches.link.linger;
        for fake in &mut self.targets {
            for ((from, of, _), drop) in &mut fake.connections {
                if (*from, *of) == (index, incarnation) {
                    *drop = Some(dropped_at);
                }
            }
        }
    }

    pub(super) fn restart(&mut self, index: usize) {
        if !self.entries[index].is_alive {
            let entry = self.start(index);
            self.entries[index] = entry;
            self.send_targets_and_owners(index);
        }
    }

    pub(super) fn pause(&mut self, index: usize) {
        if self.entries[index].is_alive {
            self.entries[index].is_paused = true;
            self.oracle.waive_deadlines(index);
        }
    }

    pub(super) fn resume(&mut self, index: usize) {
        if !self.entries[index].is_paused {
            return;
        }
        self.entries[index].is_paused = false;
        let incarnation = self.entries[index].incarnation;
        for event in std::mem::take(&mut self.entries[index].held) {
            self.handle(index, incarnation, event);
        }
    }

    pub(super) fn handle_slot_request(
        &mut self,
        index: usize,
        _partition: Partition,
        from: usize,
        request: &SlotRequest,
    ) {
        let now = self.now;
        let grantor = self.entries[index].grantors.get_mut(&request.target);
        let Some(grant) = grantor.and_then(|grantor| grantor.grant(now, request)) else {
            return;
        };
        if self.is_cut(index, from) || self.random.random_ratio(1, 20) {
            return;
        }
        for _ in 0..self.random.random_range(1..=2) {
            let is_late = self.random.random_ratio(1, 10);
            let delay = self.random_span(millis(if is_late { 900 } else { 10 }));
            self.schedule(
                delay,
                from,
                Event::Dispatcher(Input::Granted(grant.clone())),
            );
        }
    }

    /// Applies an append to the log. Its answer may be lost, and then the append is sent again.
    pub(super) fn apply_append(
        &mut self,
        partition: Partition,
        term: Term,
        from: usize,
        incarnation: u64,
        serial: Serial,
        record: Record,
    ) {
        let is_taken = self.log_up || self.random.random_bool(0.5);
        if is_taken {
            self.streams[usize::from(partition.0)].push(record.clone());
            for (own, table) in self
                .entries
                .iter_mut()
                .filter_map(|entry| entry.tables.get_mut(&partition))
            {
                if *own > term {
                    let now = Now {
                        instant: self.now,
                        stamp: Stamp(EPOCH),
                    };
                    table.step(now, dedup::Input::Read(record.clone()), &mut Vec::new());
                }
            }
        }
        let is_lost = !is_taken || !self.log_up || self.loses_answers;
        let entry = &mut self.entries[from];
        let is_same = entry.is_alive && entry.incarnation == incarnation;
        if is_lost && is_same && is_taken && self.random.random_bool(0.8) {
            let delay = self.random_span(millis(400));
            let event = Event::Append {
                partition,
                term,
                from,
                serial,
                record,
            };
            self.schedule(delay, from, event);
        } else if is_lost && is_same {
            entry.appends.push((partition, term, serial, record));
        } else if is_same {
            let delay = self.random_span(millis(5));
            self.schedule(
                delay,
                from,
                Event::Table(partition, term, dedup::Input::Durable(serial)),
            );
        }
    }

    /// Sends waiting appends while the log is up.
    pub(super) fn append(&mut self, index: usize) {
        if !self.log_up {
            return;
        }
        for (partition, term, serial, record) in std::mem::take(&mut self.entries[index].appends) {
            let is_slow = self.random.random_ratio(1, 12);
            let delay = self.random_span(if is_slow { millis(1500) } else { millis(25) });
            let event = Event::Append {
                partition,
                term,
                from: index,
                serial,
                record,
            };
            self.schedule(delay, index, event);
        }
    }

    /// Passes an input to a dispatcher and carries out its outputs.
    pub(super) fn input(&mut self, index: usize, input: Input) {
        let mut out = Vec::new();
        let now = self.now;
        if let Input::Owner(partition, owner) = &input {
            self.drop_lost_partition(index, *partition, owner);
        }
        self.entries[index].dispatcher.step(now, input, &mut out);
        for output in out {
            self.output(index, output);
        }
    }

    /// Drops the table and the grantors of a partition that has a newer owner.
    pub(super) fn drop_lost_partition(
        &mut self,
        index: usize,
        partition: Partition,
        owner: &Owner,
    ) {
        let entry = &mut self.entries[index];
        let own = entry.tables.get(&partition).map(|(term, _)| *term);
        if own.is_some_and(|own| own >= owner.term) {
            return;
        }
        entry.tables.remove(&partition);
        let of_target = |target: &Target| Partitions(PARTITIONS).of_target(*target);
        entry
            .grantors
            .retain(|target, _| of_target(target) != partition);
    }

    pub(super) fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::Answer(id, answer) => self.answer(index, id, answer),
            Output::Forward(id, node) => self.forward(index, id, node),
            Output::Admit(partition, submission) => {
                self.send_to_table(index, partition, dedup::Input::Submit(submission));
            }
            Output::Report {
                partition,
                id,
                key,
                report,
            } => {
                let input = match report {
                    Report::Finished(outcome) => dedup::Input::Finished { id, key, outcome },
                    Report::NotDispatched(answer) => {
                        dedup::Input::NotDispatched { id, key, answer }
                    }
                    Report::Abandoned => dedup::Input::Abandoned { id, key },
                };
                self.send_to_table(index, partition, input);
            }
            Output::RequestSlots(partition, request) => {
                let to = self.leases[usize::from(partition.0)].owner;
                if !self.is_cut(index, to) && !self.random.random_ratio(1, 20) {
                    let delay = self.random_span(millis(10));
                    self.schedule(
                        delay,
                        to,
                        Event::SlotRequest {
                            partition,
                            from: index,
                            request,
                        },
                    );
                }
            }
            Output::Open(target, connection) => self.open(index, target, connection),
            Output::Send {
                target,
                connection,
                attempt,
                until,
            } => {
                let span = until.since(self.now);
                let delay = self.random_span(millis(20));
                let event = Event::Request {
                    from: index,
                    target,
                    connection,
                    attempt,
                    span,
                };
                self.schedule(delay, index, event);
            }
            Output::Ping(target, connection) => self.ping(index, target, connection),
            Output::Close(target, connection) => {
                let own = (index, self.entries[index].incarnation, connection);
                let fake = &mut self.targets[target.0 as usize];
                if fake.silent.contains(&own) {
                    let dropped_at = self.now + self.switches.link.linger;
                    fake.connections.insert(own, Some(dropped_at));
                } else {
                    fake.connections.remove(&own);
                }
            }
            Output::Drained => {}
        }
    }

    pub(super) fn answer(&mut self, index: usize, id: Id, answer: Answer) {
        let key = self.calls[&id].key();
        if !self.answered_by_owner.remove(&id) {
            self.oracle.decided(key, &answer);
        }
        let Some((from, incarnation, own)) = self.entries[index].forwarded.remove(&id) else {
            return self.oracle.answered(self.now, id, &answer);
        };
        if self.is_cut(index, from) || self.entries[from].incarnation != incarnation {
            return;
        }
        let delay = self.random_span(millis(5));
        self.schedule(
            delay,
            from,
            Event::Dispatcher(Input::ForwardAnswered(own, answer)),
        );
    }

    pub(super) fn forward(&mut self, index: usize, id: Id, node: Node) {
        let to = node.vm.0 as usize;
        let is_same = self.entries[to].incarnation == node.incarnation.0;
        if self.is_cut(index, to) || !is_same || !self.entries[to].is_alive {
            let delay = self.random_span(millis(50));
            return self.schedule(delay, index, Event::Dispatcher(Input::ForwardFailed(id)));
        }
        self.order += 1;
        let call = Call {
            id: Id(self.order),
            origin: Origin::Peer,
            ..self.calls[&id].clone()
        };
        let incarnation = self.entries[index].incarnation;
        let delay = self.random_span(millis(8));
        let event = Event::Forward {
            from: index,
            incarnation,
            id,
            call,
        };
        self.schedule(delay, to, event);
    }

    pub(super) fn send_to_table(
        &mut self,
        index: usize,
        partition: Partition,
        input: dedup::Input,
    ) {
        let Some((term, _)) = self.entries[index].tables.get(&partition) else {
            return;
        };
        let event = Event::Table(partition, *term, input);
        let delay = self.random_span(millis(3));
        self.schedule(delay, index, event);
    }

    pub(super) fn table_input(&mut self, index: usize, partition: Partition, input: dedup::Input) {
        let now = self.clock(index);
        let mut out = Vec::new();
        let Some((term, table)) = self.entries[index].tables.get_mut(&partition) else {
            return;
        };
        let term = *term;
        table.step(now, input, &mut out);
        self.table_outputs(index, partition, term, out);
    }

    pub(super) fn table_outputs(
        &mut self,
        index: usize,
        partition: Partition,
        term: Term,
        out: Vec<dedup::Output>,
    ) {
        for output in out {
            let verdict = match output {
                dedup::Output::Append { serial, record } => {
                    self.entries[index]
                        .appends
                        .push((partition, term, serial, record));
                    continue;
                }
                dedup::Output::Run { id, key } => Verdict::Run(id, key),
                dedup::Output::Answer { id, answer } => Verdict::Answer(id, answer),
            };
            let delay = self.random_span(millis(3));
            self.schedule(delay, index, Event::Dispatcher(Input::Verdict(verdict)));
        }
    }

    pub(super) fn clock(&self, index: usize) -> Now {
        let wall = EPOCH + self.now.0 / 1000;
        Now {
            instant: self.now,
            stamp: Stamp(wall) + self.entries[index].clock_offset,
        }
    }
}
