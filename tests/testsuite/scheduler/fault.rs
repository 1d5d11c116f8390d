//! Faults of the world beyond those of single messages: the log, the advisor and its entries, and
//! workers that come and go.

use std::sync::Arc;
use std::time::Duration;

use laburnumplank::core::resource::Amount;
use laburnumplank::core::scheduler::advice::{AdvisorCall, AdvisorProxy, CALL_GRACE};
use laburnumplank::core::scheduler::id::Step;
use laburnumplank::core::scheduler::{Input, Time};
use laburnumplank::core::time::Instant;

use super::advisor::{Call, Failure, Ticket};
use super::world::{Event, Host, Outage, TRANSIT, World};

/// After this long without a success, the writer reports that the log refuses records.
const REFUSED_LIMIT: Duration = Duration::from_millis(600);
/// After this long without an answer, the writer reports that the log is silent.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
/// How long a fault has effects after its end: leases of up to 6 s, by slow clocks, and messages that
/// are up to 4 s late.
const AFTERMATH: Duration = Duration::from_secs(12);

impl World {
    /// Records a fault that ends at `until`.
    pub(super) fn disturb(&mut self, until: Instant) {
        self.quiet_at = self.quiet_at.max(until + AFTERMATH);
    }

    /// Ends all faults that can end.
    pub(super) fn end_faults(&mut self) {
        let now = self.now;
        if let Some(outage) = &mut self.outage {
            outage.until = now;
        }
        self.delay_appends(TRANSIT);
        for host in &mut self.hosts {
            host.requests_held_until = now;
            host.responses_lost_until = now;
            host.late_until = now;
            host.late_polls_until = now;
            host.incomplete_until = now;
        }
        for path in &mut self.advisor.paths {
            path.lost_until = now;
            path.late_until = now;
        }
        for host in 0..self.hosts.len() {
            self.list(host);
        }
        self.disturb(now);
    }

    /// Lets the log take no records for a while.
    pub(super) fn stop_log(&mut self, span: Duration, is_silent: bool) {
        let until = self.now + span;
        self.remember(&format!("the log is away, silent {is_silent}"));
        self.outage = Some(Outage { until, is_silent });
        self.disturb(until);
    }

    pub(super) fn present_outage(&self) -> Option<Outage> {
        self.outage.filter(|outage| self.now < outage.until)
    }

    /// Does what the writer of the latest owner does as time passes.
    pub(super) fn write(&mut self) {
        let now = self.now;
        let awake = self.owners.last();
        let awake = awake.filter(|owner| owner.frozen_until.is_none());
        let Some(token) = awake.map(|owner| owner.token) else {
            return;
        };
        let Some(outage) = self.present_outage() else {
            if self.outage.take().is_some() {
                self.resume_log(token);
            }
            return;
        };
        if outage.is_silent {
            self.send_records(token);
        }
        let limit = if outage.is_silent {
            SILENCE_LIMIT
        } else {
            REFUSED_LIMIT
        };
        let Some(owner) = self.owner(token) else {
            return;
        };
        let writer = &mut owner.writer;
        if writer.unconfirmed.is_empty() && !writer.is_unavailable {
            return;
        }
        let since = *writer.silent_since.get_or_insert(now);
        if now.since(since) < limit {
            return;
        }
        let sent = writer.sent;
        if !std::mem::replace(&mut writer.is_unavailable, true) {
            self.remember(&format!("the log is unavailable, sent {}", sent.0));
        }
        self.input_to(token, Input::LogUnavailable { sent });
        self.tick(token);
    }

    fn resume_log(&mut self, token: u64) {
        self.remember("the log is back");
        let Some(owner) = self.owner(token) else {
            return;
        };
        owner.writer.silent_since = None;
        if std::mem::take(&mut owner.writer.is_unavailable) {
            self.input_to(token, Input::LogAvailable);
        }
        self.send_records(token);
    }

    pub(super) fn tick(&mut self, token: u64) {
        let time: Time = self.time_of(token);
        let Some(owner) = self.owner(token) else {
            return;
        };
        let mut out = Vec::new();
        owner.scheduler.tick(time, &mut out);
        self.carry_out(token, out);
    }

    /// Returns the entry that owns the cell next.
    pub(super) fn next_entry(&self) -> usize {
        let count = self.advisor.paths.len();
        let former = self.owners.last().map_or(0, |owner| owner.entry);
        let mut others = (1..=count).map(|step| (former + step) % count);
        let found = others.find(|&entry| self.advisor.paths[entry].is_up);
        found.unwrap_or_default()
    }

    /// Passes the entries that can call the advisor to an owner.
    pub(super) fn publish_proxies(&mut self, token: u64) {
        if self.advisor.paths.is_empty() {
            return;
        }
        let up: Vec<usize> = (0..self.advisor.paths.len())
            .filter(|&entry| self.advisor.paths[entry].is_up)
            .collect();
        let Some(owner) = self.owner(token) else {
            return;
        };
        owner.proxies.retain(|(_, entry)| up.contains(entry));
        for entry in up {
            if owner.proxies.iter().any(|&(_, known)| known == entry) {
                continue;
            }
            let number = if entry == owner.entry {
                0
            } else {
                owner.next_proxy += 1;
                owner.next_proxy - 1
            };
            owner.proxies.push((AdvisorProxy(number), entry));
        }
        owner.proxies.sort_unstable();
        let proxies = owner.proxies.iter().map(|&(proxy, _)| proxy).collect();
        self.input_to(token, Input::AdvisorProxies(proxies));
    }

    fn publish_all(&mut self) {
        let tokens: Vec<u64> = self.owners.iter().map(|owner| owner.token).collect();
        tokens
            .into_iter()
            .for_each(|token| self.publish_proxies(token));
    }

    /// Whether an entry other than `except` has a path to the advisor.
    fn has_other_path(&self, except: usize) -> bool {
        let mut paths = self.advisor.paths.iter().enumerate();
        paths.any(|(entry, path)| entry != except && path.is_up && path.failure.is_none())
    }

    /// Lets every call of an entry fail for good, if another entry has a path to the advisor.
    pub(super) fn break_path(&mut self, entry: usize, failure: Failure) {
        let entry = entry % self.advisor.paths.len();
        if self.has_other_path(entry) {
            self.remember(&format!(
                "entry {entry} cannot call the advisor: {failure:?}"
            ));
            self.advisor.paths[entry].failure = Some(failure);
        }
    }

    /// Stops an entry, which owns the cell or not, or starts it again.
    pub(super) fn toggle_entry(&mut self, entry: usize) {
        let entry = entry % self.advisor.paths.len();
        let is_up = self.advisor.paths[entry].is_up;
        if is_up && !self.has_other_path(entry) {
            return;
        }
        self.disturb(self.now);
        self.remember(&format!("entry {entry} runs: {}", !is_up));
        self.advisor.paths[entry].is_up = !is_up;
        let is_owner = |owner: &super::world::Owner| owner.entry == entry;
        if is_up && self.owners.last().is_some_and(is_owner) {
            self.take_over(false);
        } else {
            self.owners.retain(|owner| !is_up || !is_owner(owner));
            self.publish_all();
        }
    }

    pub(super) fn lose_advice(&mut self, entry: usize, span: Duration) {
        let entry = entry % self.advisor.paths.len();
        self.advisor.paths[entry].lost_until = self.now + span;
        self.disturb(self.now + span);
    }

    pub(super) fn delay_advice(&mut self, entry: usize, span: Duration) {
        let entry = entry % self.advisor.paths.len();
        self.advisor.paths[entry].late_until = self.now + span;
        self.disturb(self.now + span);
    }

    /// Makes a call of an owner to the advisor.
    pub(super) fn call_advisor(&mut self, token: u64, call: &AdvisorCall) {
        let id = self.next_event();
        let Some(owner) = self.owner(token) else {
            return;
        };
        owner.calls.insert(id);
        let workers = call.workers.iter();
        let names: Vec<String> = workers
            .filter_map(|&key| Some(owner.scheduler.worker(key)?.entry.name.clone()))
            .collect();
        let mut proxies = owner.proxies.iter();
        let entry = proxies.find(|(proxy, _)| *proxy == call.proxy);
        let entry = entry.map(|&(_, entry)| entry);
        let until = self.now + CALL_GRACE + call.cost;
        let arrives = self.now + TRANSIT;
        let outcome = entry.map_or(Call::Refused, |entry| {
            self.advisor.call(entry, arrives, call.cost, until)
        });
        let (at, allowed) = match outcome {
            Call::Refused => (arrives, None),
            Call::Lost => (until, None),
            Call::Answered { issued, delay } if delay.is_zero() && issued + TRANSIT > until => {
                (until, None)
            }
            Call::Answered { issued, delay } => {
                let tickets = self.issue(call.step, &names, issued);
                (issued + delay + TRANSIT, Some(tickets))
            }
        };
        let is_answered = allowed.is_some();
        let answer = Input::Advised {
            call: call.clone(),
            allowed,
            validity: self.validity(call.step),
        };
        let how = if is_answered { "answered" } else { "failed" };
        self.remember(&format!(
            "entry {entry:?} calls for {}, {} workers, {how} at {} ms",
            call.step,
            names.len(),
            at.0 / 1_000
        ));
        let advised = Event::Advised {
            token,
            call: id,
            answer,
        };
        self.schedule(at, advised);
    }

    fn validity(&self, step: Step) -> Duration {
        let submitted = self.works.get(&step.job);
        let advice = submitted.and_then(|submitted| submitted.queue.advice);
        advice.map_or(Duration::ZERO, |advice| advice.validity)
    }

    /// Returns the named workers that may run a step, with their tickets.
    fn issue(&mut self, step: Step, names: &[String], issued: Instant) -> Vec<(String, Arc<str>)> {
        let slots = self.empty_slots(step);
        let tasks = self.tasks_of(step);
        self.advisor.admit(step, tasks, &slots);
        let until = (issued + self.validity(step)).0;
        let permitted = names.iter().filter(|name| self.advisor.permits(step, name));
        let tickets = permitted.map(|name| {
            let ticket = Ticket {
                step,
                name: name.clone(),
                incarnation: self.hosts[super::world::host_of(name)].model.incarnation(),
                until,
            };
            (name.clone(), ticket.encode().into())
        });
        tickets.collect()
    }

    /// Adds a worker.
    pub(super) fn add_host(&mut self, capacity: Amount) {
        self.hosts.push(Host::new(capacity, self.now));
        let host = self.hosts.len() - 1;
        self.remember(&format!("w{host} comes"));
        self.schedule(self.now + TRANSIT, Event::Lists(host));
        self.disturb(self.now);
    }

    /// Takes a worker out of the directory; it comes back to it after `span`.
    pub(super) fn unlist(&mut self, host: usize, span: Duration) {
        let host = host % self.hosts.len();
        if !self.hosts[host].is_gone {
            self.take_off_list(host);
            self.schedule(self.now + span, Event::Lists(host));
            self.disturb(self.now + span);
        }
    }

    fn take_off_list(&mut self, host: usize) {
        self.remember(&format!("w{host} is not listed any more"));
        self.unlist_now(host);
    }

    /// Lets a worker drain and leave for good after `span`.
    pub(super) fn drain(&mut self, host: usize, span: Duration) {
        let host = host % self.hosts.len();
        let is_last = self.hosts.iter().filter(|host| host.is_open()).count() <= 2;
        if self.hosts[host].is_gone || is_last {
            return;
        }
        self.remember(&format!("w{host} drains"));
        self.hosts[host].is_draining = true;
        self.list(host);
        self.schedule(self.now + span, Event::Leaves(host));
        self.disturb(self.now + span);
    }

    /// Lets a worker leave for good without a notice.
    pub(super) fn vanish(&mut self, host: usize) {
        let host = host % self.hosts.len();
        let others = self.hosts.iter().enumerate();
        let others = others.filter(|(index, other)| *index != host && other.is_open());
        if self.hosts[host].is_gone || others.count() < 2 {
            return;
        }
        let capacity = self.hosts[host].model.capacity();
        self.crash(host, capacity);
        self.hosts[host].is_gone = true;
        self.take_off_list(host);
        self.disturb(self.now);
    }

    pub(super) fn truncate_reports(&mut self, host: usize, span: Duration) {
        let host = host % self.hosts.len();
        self.hosts[host].incomplete_until = self.now + span;
        self.disturb(self.now + span);
    }
}
