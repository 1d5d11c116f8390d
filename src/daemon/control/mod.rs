//! The control thread: holds the state that entries agree on and makes the decisions about it.
//!
//! Events arrive in its inbox: requests of HTTP threads and other entries, responses of the log
//! service, the VM list and workers, and notifications of other entries. [`journal`] reads and
//! writes the log, [`lease_manager`] runs leases and membership, [`keys`] the key tables that
//! ensure that a request runs at most once, [`jobs`] the cells, [`slots`] the grants of targets'
//! slots, and [`configuration`] the operators' settings. [`outputs`] carries out the outputs of key
//! tables and cells, and [`requests`] responds to requests. When this entry acquires a partition,
//! it first reads the work stream up to its own opening record; only then does it open the
//! partition's key table or cell.

pub mod archive;
mod configuration;
mod event;
mod jobs;
pub mod journal;
mod keys;
mod lease_manager;
mod outputs;
mod ownership;
mod requests;
mod slots;
mod updates;
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
use lease_manager::LeaseManager;
pub(super) use lease_manager::place_of;
use slots::Slots;

/// The tick period of the journal, the cells and the key tables.
const TICK: Duration = Duration::from_millis(25);
/// The tick period of membership and leases.
const LEASE_TICK: Duration = Duration::from_millis(100);
/// The partition whose owner writes the snapshots of all streams.
const PUBLISHER: Partition = Partition(0);
/// How long a read of the VM list may take.
const VMS_TIMEOUT: Duration = Duration::from_secs(2);

/// The work that a timer starts.
#[derive(Clone, Copy, Debug)]
enum Topic {
    /// A tick of the journal, the cells and the key tables.
    Work,
    /// A tick of membership and leases.
    Leases,
    /// A read of the VM list.
    Vms,
}

/// What waits for a record of this process to become durable.
enum Pending {
    /// A key table waits for its record.
    Key(Partition, dedup::Serial),
    /// A cell waits for its batch.
    Batch(Partition, u64),
    /// The request that submitted a job waits for its response.
    Accepted(Job, Reply),
    /// Nothing waits for the record.
    Nothing,
}

/// The state of the control thread.
struct Control {
    context: Context,
    client: Client,
    timers: timer::Timers<Topic>,
    journal: Journal,
    leases: LeaseManager,
    archive: Archive,
    keys: Keys,
    jobs: Jobs,
    slots: Slots,
    configuration: Configuration,
    vms: List,
    /// The records of this process that are not durable yet.
    pending: HashMap<PushId, (Pending, archive::Record)>,
    /// The records that the journal refused, to be queued again.
    refused: Vec<(Pending, archive::Record)>,
    /// The requests that wait until a job's cancellation is durable.
    canceling: HashMap<Job, Vec<Reply>>,
    /// Notified when the drain of a planned stop is complete.
    drain: Option<oneshot::Sender<()>>,
}

/// Runs the control thread until its inbox closes.
pub async fn run(context: Context, inbox: Inbox<Event>) {
    let mut inbox = inbox.open().await;
    context.renew_incarnation();
    let mut control = Control::new(context);
    control.request_vms();
    loop {
        let now = control.context.clock.now();
        let wake = control.wake_at(now).since(now);
        match actix_rt::time::timeout(wake, inbox.recv()).await {
            Ok(Some(event)) => {
                control.handle(event);
                // Events that have arrived already are handled before the timers run once.
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
        let mut timers = timer::Timers::default();
        timers.every(now, TICK, Topic::Work);
        timers.every(now, LEASE_TICK, Topic::Leases);
        timers.every(now + poll, poll, Topic::Vms);
        Control {
            client: Client::new(worker_io::CONNECTIONS),
            timers,
            journal: Journal::new(&context),
            leases: LeaseManager::new(&context),
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
        self.timers.next_due().unwrap_or(now + TICK)
    }

    fn run_timers(&mut self) {
        let now = self.context.clock.now();
        for topic in self.timers.take_due(now) {
            match topic {
                Topic::Work => self.tick_work(now),
                Topic::Leases => self.tick_leases(now),
                Topic::Vms => self.request_vms(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.context.clock.now();
        match event {
            Event::Request {
                request,
                deadline,
                is_forwarded,
                reply,
            } => {
                self.respond(now, request, deadline, is_forwarded, reply);
            }
            Event::Membership(heartbeat) => {
                let outputs = self.leases.receive_heartbeat(now, &heartbeat);
                self.apply_view_outputs(now, outputs);
            }
            Event::Lease { from, message } => {
                let outputs = self.leases.deliver(now, from, &message);
                self.apply_lease_outputs(outputs);
            }
            Event::Log(event) => self.handle_log(now, event),
            Event::Vms(list) => self.handle_vms(now, list),
            Event::Admit {
                service,
                partition,
                submission,
            } => {
                self.admit(service, partition, submission);
            }
            Event::Report { partition, input } => {
                let outputs = self.keys.step(self.context.clock, partition, input);
                self.apply_key_outputs(partition, outputs);
            }
            Event::SlotRequest(request) => self.grant(now, &request),
            Event::Started {
                partition,
                attempt,
                result,
            } => {
                let outputs = self.jobs.started(now, partition, attempt, &result);
                self.apply_cell_outputs(partition, outputs);
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
                    self.apply_cell_outputs(partition, outputs);
                }
            }
            Event::SlotHandover(handover) => self.slots.receive_handover(handover),
            Event::Drain { done } => {
                self.drain = Some(done);
                self.leases.stop(now);
            }
        }
    }

    /// Advances the journal, the cells, the key tables and the configuration changes.
    fn tick_work(&mut self, now: Instant) {
        let mut updates = Vec::new();
        self.journal.tick(now, &mut updates);
        self.apply_updates(now, updates);
        self.report_described(now);
        let is_up = self.journal.is_up();
        for (partition, outputs) in self.jobs.tick(now, &self.leases, is_up) {
            self.apply_cell_outputs(partition, outputs);
        }
        for (partition, outputs) in self.keys.tick(self.context.clock, &self.leases, is_up) {
            self.apply_key_outputs(partition, outputs);
        }
        for response in self.configuration.tick(now, &mut self.journal) {
            response.send();
        }
        self.push_refused();
    }

    fn handle_log(&mut self, now: Instant, event: journal::Event) {
        let mut updates = Vec::new();
        self.journal.handle(now, event, &mut updates);
        self.apply_updates(now, updates);
    }

    /// Requests the VM list; the response arrives as an event.
    fn request_vms(&self) {
        let context = self.context.clone();
        let client = self.client.clone();
        actix_rt::spawn(async move {
            let list = client
                .vms(&context.settings.platform.vms, VMS_TIMEOUT)
                .await;
            context.control(Event::Vms(list));
        });
    }

    fn handle_vms(&mut self, now: Instant, list: std::result::Result<List, Failure>) {
        let Ok(list) = list else {
            return;
        };
        if list.version <= self.vms.version && !self.vms.vms.is_empty() {
            return;
        }
        let neighbours = lease_manager::neighbours(&self.context.settings, &list);
        self.context.peer(peer::Command::Neighbours(neighbours));
        self.context.dispatch(dispatch::Event::Vms(list.clone()));
        let outputs = self.leases.apply_vm_list(now, &list);
        self.apply_view_outputs(now, outputs);
        self.slots.apply_vm_list(&list);
        for (partition, outputs) in self.jobs.apply_vm_list(now, &list) {
            self.apply_cell_outputs(partition, outputs);
        }
        self.vms = list;
    }

    fn send(&self, to: Vm, frame: Frame) {
        self.context.peer(peer::Command::Send { to, frame });
    }
}
