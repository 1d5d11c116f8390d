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
pub mod archive;
mod configuration;
mod follow;
mod jobs;
pub mod journal;
mod keys;
mod slots;
mod tenure;
mod worker_io;

use std::collections::{HashMap, HashSet};
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
use crate::core::stream::snapshot::recovery::Copy;
use crate::core::time::Instant;
use crate::core::{lease, membership};
use crate::platform::client::{Client, Failure};
use crate::platform::vms::List;
use crate::platform::worker::Inventory;
use crate::util::metric::label;
use crate::util::timer;
use crate::wire::{Ask, Estate, Frame, Reply, Stream, Tell};
use archive::{Archive, Body};
use configuration::Configuration;
use jobs::Jobs;
use journal::{Fact, Journal};
use keys::Keys;
use slots::Slots;
use tenure::Tenure;
pub(super) use tenure::place_of;

/// How often leases, cells and tables are looked after.
const TICK: Duration = Duration::from_millis(25);
/// How often membership and leases are looked after.
const TENURE_TICK: Duration = Duration::from_millis(100);
/// The partition whose owner writes the snapshots of the streams.
const PUBLISHER: Partition = Partition(0);
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
    /// The former owner of a partition hands its grants over.
    SlotEstate(Estate),
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
    drain: Option<oneshot::Sender<()>>,
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
            Event::SlotEstate(estate) => self.slots.inherit(estate),
            Event::Drain { done } => {
                self.drain = Some(done);
                self.tenure.stop(now);
            }
        }
    }

    /// Lets time pass for the journal, the cells and the tables.
    fn work(&mut self, now: Instant) {
        let mut facts = Vec::new();
        self.journal.tick(now, &mut facts);
        self.learn(now, facts);
        for (partition, outputs) in self.jobs.tick(now, &self.tenure) {
            self.follow_cell(partition, outputs);
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
    }

    /// Tells the leases of which partitions the log describes all that was done: cells never act
    /// before their records. While the log is down nothing is told of tables of keys, so that the
    /// standbys' promises allow runs without a record.
    fn describe(&mut self, now: Instant) {
        let mut described: Vec<Partition> = self.jobs.partitions().collect();
        if self.journal.is_up() {
            described.extend(self.keys.described());
        }
        for partition in described {
            self.tenure.set_described(now, partition);
        }
    }

    /// Lets time pass for leases and membership, and tells the dispatch part who owns what.
    fn tend_tenure(&mut self, now: Instant) {
        let outputs = self.tenure.tick_view(now);
        self.follow_view(now, outputs);
        self.keep_unfinished(now);
        let is_publisher = self.tenure.deadline(PUBLISHER, now).is_some();
        let mut facts = Vec::new();
        self.journal.set_publisher(now, is_publisher, &mut facts);
        self.learn(now, facts);
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
        self.tend_drain();
    }

    /// Ends a planned stop once nothing is owned any more.
    fn tend_drain(&mut self) {
        if self.tenure.is_idle()
            && let Some(done) = self.drain.take()
        {
            info!(self.context.log, "nothing is owned any more");
            let _ = done.send(());
        }
    }

    /// Holds partitions that are to move until what was begun on them is in the log, so that the
    /// next owner finds it there.
    fn keep_unfinished(&mut self, now: Instant) {
        let records = self.pending.values().chain(&self.refused);
        let recording: HashSet<Partition> = records.map(|(_, record)| record.partition).collect();
        let keys = &self.keys;
        self.tenure.keep(now, |partition| {
            recording.contains(&partition) || keys.unfinished(partition) > 0
        });
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
                    self.configure(now);
                }
                Fact::Work(record) => self.learn_work(now, &record),
                Fact::End(Stream::Lease) => self.tenure.set_ready(now),
                Fact::End(_) => {}
                Fact::Durable { stream, tickets } => self.durable(now, stream, &tickets),
                Fact::Unknown { stream, tickets } => self.unknown(now, stream, &tickets),
                Fact::LeaseState(snapshot) => {
                    let outputs = self.tenure.restore(now, &snapshot);
                    self.follow_leases(outputs);
                }
                Fact::ConfigState(state) => {
                    if let Err(error) = self.configuration.restore(*state) {
                        warn!(self.context.log, "configuration cannot be restored"; "error" => %error);
                    }
                    self.configure(now);
                }
                Fact::WorkState(state) => self.archive.restore(*state),
                Fact::Capture(stream) => self.capture(now, stream),
            }
        }
    }

    /// Gives the state of a stream to the journal's snapshots.
    fn capture(&mut self, now: Instant, stream: Stream) {
        let Some(copy) = self.stream_copy(stream) else {
            return;
        };
        let mut facts = Vec::new();
        self.journal.captured(now, stream, copy, &mut facts);
        self.learn(now, facts);
    }

    /// Returns the encoded state of a stream, if this entry has one.
    fn stream_copy(&mut self, stream: Stream) -> Option<Copy> {
        let state = match stream {
            Stream::Lease => journal::State::Lease(self.tenure.snapshot()),
            Stream::Config => journal::State::Config(Box::new(self.configuration.state()?)),
            Stream::Work => {
                let (stamp, retention) = (self.context.clock.stamp(), self.keys.retention());
                journal::State::Work(Box::new(self.archive.state(stamp, retention)))
            }
        };
        self.journal.copy(state)
    }

    /// Puts the configuration in force in the other parts.
    fn configure(&mut self, now: Instant) {
        self.jobs.configure(now, self.configuration.config());
        self.context.set_config(self.configuration.shared());
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
        if self.tenure.is_moving(partition) {
            let message = "the key's partition is moving to another entry; come back";
            submission.refusal = Some(Error::new(Kind::NoOwner, message));
        }
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
        self.tenure.set_open(partition);
        let Some(until) = self.tenure.deadline(partition, now) else {
            return;
        };
        info!(self.context.log, "partition opened"; "partition" => partition.0, "epoch" => acquired.epoch.0, "origin" => ?acquired.origin);
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
            let (region, peers) = (self.tenure.region(), self.tenure.peers());
            let mut facts = Vec::new();
            self.journal.set_members(now, &region, &peers, &mut facts);
            self.learn(now, facts);
            let outputs = self.tenure.prefer(now);
            self.follow_leases(outputs);
        }
    }

    /// Carries out what the lease table wants.
    fn follow_leases(&mut self, outputs: Vec<lease::Output>) {
        let now = self.context.clock.now();
        for output in outputs {
            match output {
                lease::Output::Append(append) => {
                    if let Err(error) = self.journal.push_lease(&append.record) {
                        warn!(self.context.log, "lease record refused"; "error" => %error);
                    }
                }
                lease::Output::Send { to, message } => {
                    self.send_estate(to, &message);
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
                    self.close(now, partition);
                }
            }
        }
    }

    /// Hands the grants of a partition's targets to the entry that is yielded to.
    fn send_estate(&mut self, to: Node, message: &lease::Message) {
        let lease::Message::Yield(yielded) = message else {
            return;
        };
        let partition = yielded.partition;
        let targets = self.slots.take_left(partition);
        let epoch = lease::Epoch(yielded.claim);
        self.send(
            to.vm,
            Frame::SlotEstate(Estate {
                partition,
                epoch,
                targets,
            }),
        );
    }

    fn note_ownership(&self, change: &'static str, partition: Partition) {
        self.context
            .metrics
            .ownership
            .add(1, &label("change", change));
        info!(self.context.log, "partition changed hands"; "change" => change, "partition" => partition.0);
    }

    /// Stops acting on a partition.
    fn close(&mut self, now: Instant, partition: Partition) {
        self.tenure.note_lost(partition);
        self.keys.close(partition);
        self.jobs.close(partition);
        self.slots.close(now, partition);
        // The dispatch part must not admit anything under the ownership that ended.
        for (partition, owner) in self.tenure.changed_owners(now) {
            self.context
                .dispatch(dispatch::Event::Owner(partition, owner));
        }
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
