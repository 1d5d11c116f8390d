//! The control part: the state that entries agree on, and the decisions about it.
//!
//! One thread owns all of it. Events arrive in its inbox: asks of traffic threads and other
//! entries, answers of the log service, the VM list and workers, and notices of other entries.
//! [`journal`] follows and writes the log, [`tenure`] runs leases and membership, [`keys`] the
//! at-most-once tables, [`jobs`] the cells, [`slots`] the grants of targets' slots, and
//! [`configuration`] what operators set. [`follow`] carries out what tables and cells want, and
//! [`answer`] answers what is asked. A partition that this entry acquires is first brought up to
//! the end of the work stream, and only then handed to the part that acts on it.

mod answer;
mod archive;
mod configuration;
mod follow;
mod jobs;
pub mod journal;
mod keys;
mod slots;
mod tenure;
mod worker_io;

use std::collections::HashMap;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::oneshot;

use super::context::Context;
use super::supervisor::Inbox;
use super::{dispatch, peer};
use crate::core::error::{Effect, Error, Kind};
use crate::core::id::{Attempt, Job, Node, Partition, Service, Vm, Worker};
use crate::core::placement::Input;
use crate::core::request::dispatcher::Verdict;
use crate::core::request::{Answer, dedup, slot};
use crate::core::stream::Ticket;
use crate::core::time::Instant;
use crate::core::{lease, membership};
use crate::platform::client::{Client, Failure};
use crate::platform::vms::List;
use crate::platform::worker::Inventory;
use crate::util::metric::label;
use crate::util::timer;
use crate::wire::{Ask, Frame, Reply, Tell};
use archive::{Archive, Body};
use configuration::Configuration;
use jobs::Jobs;
use journal::{Fact, Journal, Stream};
use keys::Keys;
use slots::Slots;
use tenure::Tenure;
pub(super) use tenure::place_of;

/// How often leases, cells and tables are looked after.
const TICK: Duration = Duration::from_millis(25);
/// How often membership and leases are looked after.
const TENURE_TICK: Duration = Duration::from_millis(100);
/// How long a read of the VM list may take.
const VMS_TIMEOUT: Duration = Duration::from_secs(2);

/// What the control part is told.
pub enum Event {
    /// Something is asked.
    Ask {
        /// What is asked.
        ask: Ask,
        /// When the answer is due.
        deadline: Instant,
        /// Whether another entry forwarded it here.
        is_forwarded: bool,
        /// Where the answer goes.
        reply: Reply,
    },
    /// A heartbeat of another entry.
    Membership(membership::Heartbeat),
    /// A notice of another entry's lease table.
    Lease {
        /// The other entry.
        from: Node,
        /// The notice.
        message: lease::Message,
    },
    /// An answer of the log service.
    Log(journal::Event),
    /// An answer of the VM list.
    Vms(std::result::Result<List, Failure>),
    /// A dispatcher asks its partition's table about a request.
    Admit {
        /// The service of the dispatcher.
        service: Service,
        /// The partition.
        partition: Partition,
        /// The request.
        submission: dedup::Submission,
    },
    /// A dispatcher tells its partition's table about a request.
    Report {
        /// The partition.
        partition: Partition,
        /// What happened.
        input: dedup::Input,
    },
    /// A dispatcher asks for slots of a target.
    SlotAsk(slot::Ask),
    /// A worker answered a start.
    Started {
        /// The partition whose cell sent the start.
        partition: Partition,
        /// The attempt.
        attempt: Attempt,
        /// The answer.
        result: std::result::Result<(), Failure>,
    },
    /// A worker answered a request for its inventory.
    Inventory {
        /// The partition whose cell asked.
        partition: Partition,
        /// The worker.
        worker: Worker,
        /// The number of the request.
        request: u64,
        /// The answer.
        result: std::result::Result<Inventory, Failure>,
    },
    /// A planned stop began.
    Drain {
        /// Told when nothing is owned any more.
        done: oneshot::Sender<()>,
    },
}

/// What a subscription of the timer service is for.
#[derive(Clone, Copy, Debug)]
enum Topic {
    /// Cells, tables and the journal.
    Work,
    /// Leases and membership.
    Tenure,
    /// The VM list.
    Vms,
}

/// What a record of this process in the log stands for.
enum Pending {
    /// A record of a table of keys.
    Key(Partition, dedup::Serial),
    /// A batch of a cell.
    Batch(Partition, u64),
    /// An accepted job.
    Accepted(Job, Reply),
    /// Nothing waits for the record.
    Nothing,
}

/// The state of the control part.
struct Control {
    context: Context,
    client: Client,
    timers: timer::Service<Topic>,
    journal: Journal,
    tenure: Tenure,
    archive: Archive,
    keys: Keys,
    jobs: Jobs,
    slots: Slots,
    configuration: Configuration,
    vms: List,
    /// Records of this process that are on their way into the log.
    pending: HashMap<Ticket, (Pending, archive::Record)>,
    /// Records that the journal had no room for.
    refused: Vec<(Pending, archive::Record)>,
    /// Answers that wait for the end of a job's cancellation.
    canceling: HashMap<Job, Vec<Reply>>,
    drain: Option<Drain>,
}

/// A planned stop. What was begun is first finished and recorded, so that the next owners find it
/// in the log; only then are the partitions handed over.
struct Drain {
    done: oneshot::Sender<()>,
    /// When the partitions are handed over whatever is unfinished.
    give_up_at: Instant,
    is_handing_over: bool,
}

/// Runs the control part until its inbox closes.
pub async fn run(context: Context, inbox: Inbox<Event>) {
    let mut inbox = inbox.open().await;
    context.renew_incarnation();
    let mut control = Control::new(context);
    control.read_vms();
    loop {
        let now = control.context.clock.now();
        let wake = control.wake_at(now).since(now);
        match actix_rt::time::timeout(wake, inbox.recv()).await {
            Ok(Some(event)) => {
                control.handle(event);
                // Events that wait already share the work that follows.
                while let Ok(event) = inbox.try_recv() {
                    control.handle(event);
                }
            }
            Ok(None) => return,
            Err(_) => {}
        }
        control.run_timers();
    }
}

impl Control {
    fn new(context: Context) -> Control {
        let now = context.clock.now();
        let poll = Duration::from_millis(context.settings.platform.poll_ms);
        let mut timers = timer::Service::default();
        timers.every(now, TICK, Topic::Work);
        timers.every(now, TENURE_TICK, Topic::Tenure);
        timers.every(now + poll, poll, Topic::Vms);
        Control {
            client: Client::new(worker_io::CONNECTIONS),
            timers,
            journal: Journal::new(&context),
            tenure: Tenure::new(&context),
            archive: Archive::default(),
            keys: Keys::new(&context),
            jobs: Jobs::new(&context),
            slots: Slots::new(&context),
            configuration: Configuration::default(),
            vms: List::default(),
            pending: HashMap::new(),
            refused: Vec::new(),
            canceling: HashMap::new(),
            drain: None,
            context,
        }
    }

    /// Returns when the next timer is due.
    fn wake_at(&self, now: Instant) -> Instant {
        self.timers.next().unwrap_or(now + TICK)
    }

    fn run_timers(&mut self) {
        let now = self.context.clock.now();
        for topic in self.timers.due(now) {
            match topic {
                Topic::Work => self.work(now),
                Topic::Tenure => self.tend_tenure(now),
                Topic::Vms => self.read_vms(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.context.clock.now();
        match event {
            Event::Ask {
                ask,
                deadline,
                is_forwarded,
                reply,
            } => {
                self.answer(now, ask, deadline, is_forwarded, reply);
            }
            Event::Membership(heartbeat) => {
                let outputs = self.tenure.hear(now, &heartbeat);
                self.follow_view(now, outputs);
            }
            Event::Lease { from, message } => {
                let outputs = self.tenure.deliver(now, from, &message);
                self.follow_leases(outputs);
            }
            Event::Log(event) => self.take_log(now, event),
            Event::Vms(list) => self.take_vms(now, list),
            Event::Admit {
                service,
                partition,
                submission,
            } => {
                self.admit(service, partition, submission);
            }
            Event::Report { partition, input } => {
                let outputs = self.keys.step(self.context.clock, partition, input);
                self.follow_keys(partition, outputs);
            }
            Event::SlotAsk(ask) => self.grant(now, &ask),
            Event::Started {
                partition,
                attempt,
                result,
            } => {
                let outputs = self.jobs.started(now, partition, attempt, &result);
                self.follow_cell(partition, outputs);
            }
            Event::Inventory {
                partition,
                worker,
                request,
                result,
            } => {
                if let Ok(inventory) = result {
                    let outputs = self
                        .jobs
                        .inventory(now, partition, worker, request, inventory);
                    self.follow_cell(partition, outputs);
                }
            }
            Event::Drain { done } => {
                let give_up_at =
                    now + Duration::from_millis(self.context.settings.traffic.drain_ms / 2);
                self.drain = Some(Drain {
                    done,
                    give_up_at,
                    is_handing_over: false,
                });
            }
        }
    }

    /// Lets time pass for the journal, the cells and the tables.
    fn work(&mut self, now: Instant) {
        let mut facts = Vec::new();
        self.journal.tick(now, &mut facts);
        self.learn(now, facts);
        if self.drain.is_none() {
            for (partition, outputs) in self.jobs.tick(now, &self.tenure) {
                self.follow_cell(partition, outputs);
            }
        }
        self.describe(now);
        let is_up = self.journal.is_up();
        for (partition, outputs) in self.keys.tick(self.context.clock, &self.tenure, is_up) {
            self.follow_keys(partition, outputs);
        }
        for answer in self.configuration.tick(now, &mut self.journal) {
            answer.send();
        }
        self.push_refused();
        self.rewrite(now);
    }

    /// Tells the leases of which partitions the log describes all that was done. While the log is
    /// down nothing is told, so that the standbys' promises allow work without a record.
    fn describe(&mut self, now: Instant) {
        if !self.journal.is_up() {
            return;
        }
        let mut described = self.keys.described();
        described.extend(self.jobs.partitions());
        for partition in described {
            self.tenure.set_described(now, partition);
        }
    }

    /// Lets time pass for leases and membership, and tells the dispatch part who owns what.
    fn tend_tenure(&mut self, now: Instant) {
        let outputs = self.tenure.tick_view(now);
        self.follow_view(now, outputs);
        let outputs = self
            .tenure
            .tick(now, self.context.clock.stamp(), self.journal.is_up());
        self.follow_leases(outputs);
        for (partition, owner) in self.tenure.changed_owners(now) {
            self.context
                .dispatch(dispatch::Event::Owner(partition, owner));
        }
        let is_listed = !self.vms.vms.is_empty();
        self.context
            .set_ready(is_listed && self.tenure.has_owners());
        self.tend_drain(now);
    }

    /// Goes on with a planned stop.
    fn tend_drain(&mut self, now: Instant) {
        let is_finished = self.is_finished();
        let Some(drain) = &mut self.drain else {
            return;
        };
        if !drain.is_handing_over && (is_finished || now >= drain.give_up_at) {
            drain.is_handing_over = true;
            info!(self.context.log, "partitions are handed over"; "finished" => is_finished);
            self.tenure.stop(now);
        }
        if self.tenure.is_idle()
            && let Some(drain) = self.drain.take_if(|drain| drain.is_handing_over)
        {
            info!(self.context.log, "nothing is owned any more");
            let _ = drain.done.send(());
        }
    }

    /// Returns whether everything that was begun is in the log.
    fn is_finished(&self) -> bool {
        self.pending.is_empty() && self.refused.is_empty() && self.keys.unfinished() == 0
    }

    fn take_log(&mut self, now: Instant, event: journal::Event) {
        let mut facts = Vec::new();
        self.journal.take(now, event, &mut facts);
        self.learn(now, facts);
    }

    /// Takes what was learnt from the log.
    fn learn(&mut self, now: Instant, facts: Vec<Fact>) {
        for fact in facts {
            match fact {
                Fact::Lease { offset, record } => {
                    let outputs = self.tenure.read(now, offset, &record);
                    self.follow_leases(outputs);
                }
                Fact::Config(record) => {
                    for answer in self.configuration.apply(now, &record) {
                        answer.send();
                    }
                    self.jobs.configure(now, self.configuration.config());
                }
                Fact::Work(record) => self.learn_work(now, &record),
                Fact::End(Stream::Lease) => self.tenure.set_ready(now),
                Fact::End(_) => {}
                Fact::Durable { stream, tickets } => self.durable(now, stream, &tickets),
                Fact::Unknown { stream, tickets } => self.unknown(now, stream, &tickets),
                Fact::Expired(stream) => {
                    warn!(self.context.log, "state must be read from a peer"; "stream" => stream.name());
                }
            }
        }
    }

    /// Keeps a record of a partition and gives one of an earlier owner to the present one.
    fn learn_work(&mut self, now: Instant, record: &archive::Record) {
        let retention = self.keys.retention();
        self.archive
            .keep(self.context.clock.stamp(), retention, record);
        match &record.body {
            Body::Key(key_record) => {
                let outputs = self
                    .keys
                    .read(self.context.clock, record.partition, key_record);
                self.follow_keys(record.partition, outputs);
            }
            Body::Open => self.open(now, record),
            Body::Cell(_) => {}
        }
    }

    /// Goes on with what waited for records to be in the log.
    fn durable(&mut self, now: Instant, stream: Stream, tickets: &[Ticket]) {
        if stream != Stream::Work {
            return;
        }
        for ticket in tickets {
            match self.pending.remove(ticket).map(|(pending, _)| pending) {
                Some(Pending::Key(partition, serial)) => {
                    let input = dedup::Input::Durable(serial);
                    let outputs = self.keys.step(self.context.clock, partition, input);
                    self.follow_keys(partition, outputs);
                }
                Some(Pending::Batch(partition, number)) => {
                    let outputs = self.jobs.step(now, partition, Input::Durable(number));
                    self.follow_cell(partition, outputs);
                }
                Some(Pending::Accepted(job, reply)) => {
                    self.answer_accepted(now, job, reply);
                    if let Some((partition, outputs)) = self.jobs.accepted(now, job) {
                        self.follow_cell(partition, outputs);
                    }
                }
                Some(Pending::Nothing) | None => {}
            }
        }
    }

    /// Answers what waited for records that may or may not be in the log.
    fn unknown(&mut self, now: Instant, stream: Stream, tickets: &[Ticket]) {
        if stream == Stream::Config {
            for answer in self.configuration.unknown(now, tickets) {
                answer.send();
            }
        }
        for ticket in tickets {
            match self.pending.remove(ticket) {
                Some((Pending::Accepted(job, reply), _)) => {
                    self.jobs.forget_accept(job);
                    let _ = reply.send(Err(accept_unknown(job)));
                }
                Some((Pending::Nothing, _)) | None => {}
                // A record may stand in the log twice, so what waits for it is written again.
                Some((pending, record)) => self.push_work(record, pending),
            }
        }
    }

    /// Says that a job is durable; a record that the log took after the ownership may be void.
    fn answer_accepted(&self, now: Instant, job: Job, reply: Reply) {
        let partition = self.jobs.partition_of(job);
        let answer = match self.tenure.deadline(partition, now) {
            Some(_) => Ok(Tell::Submitted(job)),
            None => Err(accept_unknown(job)),
        };
        let _ = reply.send(answer);
    }

    /// Asks the table of a partition about a request.
    fn admit(&mut self, service: Service, partition: Partition, mut submission: dedup::Submission) {
        let id = submission.id;
        submission.room &= self.drain.is_none();
        let clock = self.context.clock;
        match self
            .keys
            .submit(clock, service.clone(), partition, submission)
        {
            Some(outputs) => self.follow_keys(partition, outputs),
            None => {
                let message = "the owner of the key has changed; come back";
                let answer = Answer::refused(Kind::NoOwner, message).with_effect(Effect::Unknown);
                let verdict = Verdict::Answer(id, answer);
                self.context
                    .dispatch(dispatch::Event::Verdict { service, verdict });
            }
        }
    }

    /// Hands a partition whose records are read to the part that acts on it.
    fn open(&mut self, now: Instant, record: &archive::Record) {
        let partition = record.partition;
        let Some(acquired) = self.tenure.opening(partition, record.epoch) else {
            return;
        };
        self.tenure.set_open(partition, now);
        let Some(until) = self.tenure.deadline(partition, now) else {
            return;
        };
        info!(self.context.log, "partition opened"; "partition" => partition.0, "epoch" => acquired.epoch.0);
        if self.jobs.is_worker_partition(partition) {
            let records = self.archive.cell(partition).to_vec();
            let outputs = self.jobs.open(now, &acquired, until, records);
            self.follow_cell(partition, outputs);
        } else {
            let records = self.archive.keys(partition);
            let outputs = self.keys.open(self.context.clock, &acquired, records);
            self.follow_keys(partition, outputs);
            self.slots.open(now, &acquired);
        }
    }

    /// Asks for the VM list.
    fn read_vms(&self) {
        let context = self.context.clone();
        let client = self.client.clone();
        actix_rt::spawn(async move {
            let list = client
                .vms(&context.settings.platform.vms, VMS_TIMEOUT)
                .await;
            context.control(Event::Vms(list));
        });
    }

    fn take_vms(&mut self, now: Instant, list: std::result::Result<List, Failure>) {
        let Ok(list) = list else {
            return;
        };
        if list.version <= self.vms.version && !self.vms.vms.is_empty() {
            return;
        }
        self.context
            .peer(peer::Command::Addresses(tenure::addresses(&list)));
        self.context.dispatch(dispatch::Event::Vms(list.clone()));
        let outputs = self.tenure.adopt(now, &list);
        self.follow_view(now, outputs);
        self.slots.adopt(&list);
        for (partition, outputs) in self.jobs.adopt(now, &list) {
            self.follow_cell(partition, outputs);
        }
        self.vms = list;
    }

    /// Carries out what the view of the entries wants.
    fn follow_view(&mut self, now: Instant, outputs: Vec<membership::Output>) {
        let mut is_changed = false;
        for output in outputs {
            match output {
                membership::Output::Send { to, heartbeat } => {
                    self.send(to, Frame::Membership(heartbeat));
                }
                membership::Output::Changed { vm, state } => {
                    info!(self.context.log, "entry changed state"; "vm" => vm.0, "state" => ?state);
                    is_changed = true;
                }
                membership::Output::Returned(node) => {
                    info!(self.context.log, "entry runs anew"; "node" => %node);
                    is_changed = true;
                }
            }
        }
        if is_changed {
            let mut facts = Vec::new();
            self.journal
                .set_entries(now, self.tenure.live_entries(), &mut facts);
            self.learn(now, facts);
            let outputs = self.tenure.prefer(now);
            self.follow_leases(outputs);
        }
    }

    /// Carries out what the lease table wants.
    fn follow_leases(&mut self, outputs: Vec<lease::Output>) {
        for output in outputs {
            match output {
                lease::Output::Append(append) => {
                    if let Err(error) = self.journal.push_lease(&append.record) {
                        warn!(self.context.log, "lease record refused"; "error" => %error);
                    }
                }
                lease::Output::Send { to, message } => {
                    let own = self.tenure.node();
                    self.send(to.vm, Frame::Lease(own, message));
                }
                lease::Output::Acquired(acquired) => {
                    self.note_ownership("acquired", acquired.partition);
                    self.tenure.note_acquired(acquired);
                    self.push_body(acquired.partition, Body::Open, Pending::Nothing);
                }
                lease::Output::Lost { partition, .. } => {
                    self.note_ownership("lost", partition);
                    self.close(partition);
                }
            }
        }
    }

    fn note_ownership(&self, change: &'static str, partition: Partition) {
        self.context
            .metrics
            .ownership
            .add(1, &label("change", change));
        info!(self.context.log, "partition changed hands"; "change" => change, "partition" => partition.0);
    }

    /// Stops acting on a partition.
    fn close(&mut self, partition: Partition) {
        self.tenure.note_lost(partition);
        self.keys.close(partition);
        self.jobs.close(partition);
        self.slots.close(partition);
        let owner = dispatch::Event::Owner(partition, None);
        self.context.dispatch(owner);
    }

    fn send(&self, to: Vm, frame: Frame) {
        self.context.peer(peer::Command::Send { to, frame });
    }
}

/// Makes the error of a job of which it is not known whether it is durable.
fn accept_unknown(job: Job) -> Error {
    let message = format!("job {job} may or may not be accepted; read it by its id");
    Error::new(Kind::AnswerLost, message)
}
