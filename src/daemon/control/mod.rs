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
mod event;
mod follow;
mod jobs;
pub mod journal;
mod keys;
mod learn;
mod ownership;
mod slots;
mod tenure;
mod worker_io;

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::oneshot;

use super::context::Context;
use super::supervisor::Inbox;
use super::{dispatch, peer};
use crate::core::id::{Job, Partition, Vm};
use crate::core::request::dedup;
use crate::core::stream::PushId;
use crate::core::time::Instant;
use crate::platform::client::{Client, Failure};
use crate::platform::vms::List;
use crate::util::timer;
use crate::wire::{Frame, Reply};
use archive::Archive;
use configuration::Configuration;
pub use event::Event;
use jobs::Jobs;
use journal::Journal;
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
    pending: HashMap<PushId, (Pending, archive::Record)>,
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
        self.describe(now);
        let is_up = self.journal.is_up();
        for (partition, outputs) in self.jobs.tick(now, &self.tenure, is_up) {
            self.follow_cell(partition, outputs);
        }
        for (partition, outputs) in self.keys.tick(self.context.clock, &self.tenure, is_up) {
            self.follow_keys(partition, outputs);
        }
        for answer in self.configuration.tick(now, &mut self.journal) {
            answer.send();
        }
        self.push_refused();
    }

    fn take_log(&mut self, now: Instant, event: journal::Event) {
        let mut facts = Vec::new();
        self.journal.take(now, event, &mut facts);
        self.learn(now, facts);
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
        let neighbours = tenure::neighbours(&self.context.settings, &list);
        self.context.peer(peer::Command::Neighbours(neighbours));
        self.context.dispatch(dispatch::Event::Vms(list.clone()));
        let outputs = self.tenure.adopt(now, &list);
        self.follow_view(now, outputs);
        self.slots.adopt(&list);
        for (partition, outputs) in self.jobs.adopt(now, &list) {
            self.follow_cell(partition, outputs);
        }
        self.vms = list;
    }

    fn send(&self, to: Vm, frame: Frame) {
        self.context.peer(peer::Command::Send { to, frame });
    }
}
