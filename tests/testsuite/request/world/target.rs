//! Fake targets.

use super::*;

impl World {
    /// Makes all open connections of an entry to a target silent.
    pub(super) fn silence(&mut self, index: usize, target: u32) {
        let fake = &mut self.targets[target as usize];
        let open = fake.connections.keys().copied();
        let own = open.filter(|(from, _, _)| *from == index);
        fake.silent.extend(own.collect::<Vec<_>>());
    }

    pub(super) fn leave(&mut self, target: u32, is_leaving: bool) {
        self.targets[target as usize].is_leaving = is_leaving;
        self.targets[target as usize].left_at = is_leaving.then_some(self.now);
        self.list_version += 1;
        let listed = self.listing();
        for index in 0..ENTRIES {
            let delay = self.random_span(millis(200));
            self.schedule(
                delay,
                index,
                Event::Dispatcher(Input::Targets(listed.clone())),
            );
        }
    }

    pub(super) fn listing(&self) -> Listing {
        let targets = self.targets.iter().enumerate();
        let listed = targets.map(|(index, fake)| Listed {
            target: Target(index as u32),
            place: place(index),
            capacity: CAPACITY,
            is_leaving: fake.is_leaving,
        });
        Listing {
            version: self.list_version,
            targets: listed.collect(),
        }
    }

    /// Opens a connection to a target and checks the target's limit of connections.
    pub(super) fn open(&mut self, index: usize, target: Target, connection: Connection) {
        let incarnation = self.entries[index].incarnation;
        let fake = &mut self.targets[target.0 as usize];
        fake.connections
            .insert((index, incarnation, connection), None);
        if fake.connections.len() > CAPACITY.connections as usize {
            self.oracle
                .violations
                .push(format!("{target:?} has too many connections"));
        }
    }

    pub(super) fn ping(&mut self, index: usize, target: Target, connection: Connection) {
        let own = (index, self.entries[index].incarnation, connection);
        if !self.targets[target.0 as usize].silent.contains(&own) {
            let delay = self.random_span(millis(10));
            self.schedule(
                delay,
                index,
                Event::Dispatcher(Input::Received { target, connection }),
            );
        }
    }

    /// Handles a request that reaches a target.
    pub(super) fn receive(
        &mut self,
        at: (usize, u64, Connection),
        target: Target,
        attempt: Attempt,
        span: Duration,
    ) {
        let (from, incarnation, connection) = at;
        let is_faulty = self.targets[target.0 as usize].is_faulty;
        let is_silent = self.targets[target.0 as usize].silent.contains(&at);
        let is_refused = self.random.random_ratio(1, 15);
        let takes = self.random_span(self.longest_run).min(span);
        let fake = &mut self.targets[target.0 as usize];
        if is_silent {
            return;
        }
        let left = fake
            .left_at
            .is_some_and(|left| self.now > left + millis(3000));
        if left {
            self.oracle
                .violations
                .push(format!("{target:?} got a request after it left"));
        }
        if is_refused || is_faulty {
            let reply = match is_refused {
                true => Reply::Refused,
                false => Reply::Failed(Error::new(
                    Kind::TargetFailed,
                    "the target fails all requests",
                )),
            };
            if let (false, Some(key)) = (is_refused, self.calls[&attempt.request].key()) {
                self.oracle.ran(key);
            }
            return self.reply(from, incarnation, target, connection, attempt, &reply);
        }
        let key = self.calls[&attempt.request].key();
        let ends = self.now + takes;
        fake.runs.push(Run {
            from,
            incarnation,
            connection,
            attempt,
            key,
            ends,
        });
        if fake.runs.len() > CAPACITY.slots as usize {
            self.oracle
                .violations
                .push(format!("{target:?} has too many requests"));
        }
        if let Some(key) = key {
            self.oracle.ran(key);
        }
    }

    pub(super) fn end_runs(&mut self) {
        for index in 0..self.targets.len() {
            let now = self.now;
            let fake = &mut self.targets[index];
            fake.connections
                .retain(|_, drop| drop.is_none_or(|drop| now < drop));
            let (ended, going) = std::mem::take(&mut fake.runs)
                .into_iter()
                .partition(|run| run.ends <= now);
            fake.runs = going;
            let ended: Vec<Run> = ended;
            for run in ended {
                let at = (run.from, run.incarnation, run.connection);
                if self.targets[index].silent.contains(&at) {
                    self.late_reply(index, &run);
                    continue;
                }
                let reply = Reply::Done(body_of(run.attempt.request, run.key));
                let target = Target(index as u32);
                self.reply(
                    run.from,
                    run.incarnation,
                    target,
                    run.connection,
                    run.attempt,
                    &reply,
                );
            }
        }
    }

    /// Delivers the answer of a silent connection long after the request was given up, and also
    /// under the ids of other requests, like a target that mixes up its answers.
    pub(super) fn late_reply(&mut self, index: usize, run: &Run) {
        if self.entries[run.from].incarnation != run.incarnation {
            return;
        }
        let others: Vec<Id> = self.calls.keys().copied().rev().take(4).collect();
        let others = others
            .into_iter()
            .map(|request| Attempt { request, number: 1 });
        for attempt in others.chain([run.attempt]) {
            let delay = millis(500) + self.random_span(millis(500));
            let event = Event::Dispatcher(Input::Replied {
                target: Target(index as u32),
                connection: run.connection,
                attempt,
                reply: Reply::Done(body_of(run.attempt.request, run.key)),
            });
            self.schedule(delay, run.from, event);
        }
    }

    pub(super) fn reply(
        &mut self,
        from: usize,
        incarnation: u64,
        target: Target,
        connection: Connection,
        attempt: Attempt,
        reply: &Reply,
    ) {
        if self.entries[from].incarnation != incarnation {
            return;
        }
        for _ in 0..self.random.random_range(1..=2) {
            let delay = self.random_span(millis(15));
            let event = Event::Dispatcher(Input::Replied {
                target,
                connection,
                attempt,
                reply: reply.clone(),
            });
            self.schedule(delay, from, event);
        }
    }
}
