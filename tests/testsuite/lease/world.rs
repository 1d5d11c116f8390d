//! Simulation of the lease tables of a few nodes with one log and one network. Every event,
//! including every fault, is an action.

use std::time::Duration;

use laburnumplank::core::id::{Incarnation, Node, Partition, Vm};
use laburnumplank::core::lease::{
    Input, Member, Message, Output, Preference, Record, Roster, Rules, STANDBYS, Settings, Table,
};
use laburnumplank::core::time::{Instant, Stamp};

pub(crate) const PARTITION: Partition = Partition(0);
const START: Instant = Instant(60_000_000);

/// Parameters of a world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WorldConfig {
    pub(crate) settings: Settings,
    /// How far each node's clock advances in one step of the world.
    pub(crate) rates: Vec<Duration>,
    /// Whether a restarted process gets a new incarnation number.
    pub(crate) changes_incarnation: bool,
    /// The maximum number of messages in flight; the oldest ones in excess of it are lost.
    pub(crate) messages: usize,
}

/// How often each action with a limited number may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) steps: u32,
    pub(crate) restarts: u32,
    pub(crate) kills: u32,
    pub(crate) repeats: u32,
    pub(crate) preference_changes: u32,
    pub(crate) stops: u32,
    pub(crate) outage_flips: u32,
    pub(crate) restores: u32,
}

impl Budget {
    pub(crate) const NONE: Budget = Budget {
        steps: 0,
        restarts: 0,
        kills: 0,
        repeats: 0,
        preference_changes: 0,
        stops: 0,
        outage_flips: 0,
        restores: 0,
    };
}

/// An event in a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Action {
    /// All clocks advance by one step.
    Advance,
    /// A node's table ticks.
    Tick(usize),
    /// A record in flight is appended to the log. If `stays`, it also stays in flight, as when the
    /// response to the append is lost and the append is repeated.
    Append { record: usize, stays: bool },
    /// A node reads the next record.
    Read(usize),
    /// A message arrives.
    Deliver(usize),
    /// A process ends and another run of it begins without its state.
    Restart(usize),
    /// A VM is removed permanently.
    Kill(usize),
    /// A node receives the current list of VMs and runs.
    UpdateList(usize),
    /// A node's view of the preferred owner changes to another node.
    ChangePreference(usize),
    /// A node begins to stop.
    Stop(usize),
    /// A node dispatches a request that the log does not describe; only possible if it may do so.
    Dispatch(usize),
    /// A node has described in the log all requests that may have been dispatched unlogged.
    Describe(usize),
    /// A node restores a snapshot of the next live node and continues to read from there.
    Restore(usize),
    /// All nodes observe that the log is down (`true`) or up again.
    Outage(bool),
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct Process {
    pub(crate) table: Table,
    pub(crate) node: Node,
    pub(crate) clock: Instant,
    read: usize,
    /// The index of the node that should own the partition in this node's view.
    preferred: usize,
    is_alive: bool,
    is_stopping: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Envelope {
    from: Node,
    to: Node,
    message: Message,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct LoggedRecord {
    offset: u64,
    record: Record,
}

impl Process {
    /// Returns whether the node may dispatch a request that the log does not describe.
    pub(crate) fn may_dispatch_unlogged(&self) -> bool {
        self.table.may_dispatch_unlogged(PARTITION, self.clock)
    }
}

/// The state of all nodes, the log and the network.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) config: WorldConfig,
    pub(crate) budget: Budget,
    pub(crate) processes: Vec<Process>,
    log: Vec<LoggedRecord>,
    next: u64,
    /// The offset of the newest valid record, by the rule that the first successor is valid.
    head: Option<u64>,
    in_flight: Vec<Record>,
    envelopes: Vec<Envelope>,
    version: u64,
    /// Whether a request was dispatched that the log does not describe.
    has_unlogged_request: bool,
    violation: Option<String>,
}

impl World {
    /// Returns a world in which node 0 owns the partition, nodes 1 and 2 are its standbys, and all
    /// nodes have read its claim.
    pub(crate) fn with_owner(config: WorldConfig) -> World {
        let mut world = World {
            processes: Vec::new(),
            config,
            budget: Budget::NONE,
            log: Vec::new(),
            next: 0,
            head: None,
            in_flight: Vec::new(),
            envelopes: Vec::new(),
            version: 1,
            has_unlogged_request: false,
            violation: None,
        };
        for vm in 0..world.config.rates.len() {
            let process = world.process(vm, 1);
            world.processes.push(process);
        }
        for index in 0..world.processes.len() {
            world.initialize(index);
        }
        world.act(Action::Tick(0));
        world.append_and_read();
        world
    }

    fn process(&self, vm: usize, incarnation: u64) -> Process {
        let node = Node {
            vm: Vm(vm as u32),
            incarnation: Incarnation(incarnation),
        };
        Process {
            table: Table::new(node, 1, self.config.settings),
            node,
            clock: START,
            read: 0,
            preferred: 0,
            is_alive: true,
            is_stopping: false,
        }
    }

    /// Passes a new process the VM list, the preferences and that it has read the log.
    fn initialize(&mut self, index: usize) {
        self.update_list(index);
        self.update_preference(index);
        self.step(index, Input::Ready);
    }

    /// Adds the possible actions to `out`.
    pub(crate) fn actions(&self, out: &mut Vec<Action>) {
        let budget = self.budget;
        if budget.steps > 0 {
            out.push(Action::Advance);
        }
        for record in 0..self.in_flight.len() {
            let stays = false;
            out.push(Action::Append { record, stays });
            if budget.repeats > 0 {
                let stays = true;
                out.push(Action::Append { record, stays });
            }
        }
        out.extend((0..self.envelopes.len()).map(Action::Deliver));
        if budget.outage_flips > 0 {
            out.push(Action::Outage(budget.outage_flips.is_multiple_of(2)));
        }
        for index in 0..self.processes.len() {
            self.node_actions(index, out);
        }
    }

    fn node_actions(&self, index: usize, out: &mut Vec<Action>) {
        let process = &self.processes[index];
        if !process.is_alive {
            return;
        }
        out.push(Action::Tick(index));
        if process.read < self.log.len() {
            out.push(Action::Read(index));
        }
        if self.budget.restarts > 0 {
            out.push(Action::Restart(index));
        }
        if self.budget.kills > 0 {
            out.push(Action::Kill(index));
        }
        if self.budget.restores > 0 {
            out.push(Action::Restore(index));
        }
        if self.budget.preference_changes > 0 {
            out.push(Action::ChangePreference(index));
        }
        out.push(Action::UpdateList(index));
        if self.budget.stops > 0 && process.table.may_act(PARTITION, process.clock).is_some() {
            out.push(Action::Stop(index));
        }
        if !self.has_unlogged_request && process.may_dispatch_unlogged() {
            out.push(Action::Dispatch(index));
        }
        if self.has_unlogged_request && process.table.may_act(PARTITION, process.clock).is_some() {
            out.push(Action::Describe(index));
        }
    }

    /// Performs one possible action.
    pub(crate) fn act(&mut self, action: Action) {
        match action {
            Action::Advance => self.advance(),
            Action::Tick(index) => self.step(index, Input::Tick(Stamp(0))),
            Action::Append { record, stays } => self.append(record, stays),
            Action::Read(index) => self.read(index),
            Action::Deliver(envelope) => self.deliver(envelope),
            Action::Restart(index) => self.restart(index),
            Action::Kill(index) => self.kill(index),
            Action::UpdateList(index) => self.update_list(index),
            Action::ChangePreference(index) => self.change_preference(index),
            Action::Stop(index) => {
                self.budget.stops = self.budget.stops.saturating_sub(1);
                self.processes[index].is_stopping = true;
                self.step(index, Input::Stop);
            }
            Action::Dispatch(_) => self.has_unlogged_request = true,
            Action::Describe(index) => {
                self.has_unlogged_request = false;
                self.step(index, Input::UnloggedDescribed(PARTITION));
            }
            Action::Restore(index) => self.restore(index),
            Action::Outage(down) => self.outage(down),
        }
    }

    /// Checks that at most one node may act as owner, and that no node acquired the partition with
    /// a false statement that no request was dispatched unlogged.
    pub(crate) fn check(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let owners: Vec<Node> = self.owners().collect();
        if owners.len() > 1 {
            return Err(format!(
                "{} and {} may both act as owner",
                owners[0], owners[1]
            ));
        }
        Ok(())
    }

    /// Returns the nodes that may act as owner now.
    pub(crate) fn owners(&self) -> impl Iterator<Item = Node> {
        let live = self.processes.iter().filter(|process| process.is_alive);
        live.filter(|process| process.table.may_act(PARTITION, process.clock).is_some())
            .map(|process| process.node)
    }

    pub(crate) fn records_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    pub(crate) fn envelopes(&self) -> usize {
        self.envelopes.len()
    }

    /// Delivers all messages, including those sent in response.
    pub(crate) fn deliver_all(&mut self) {
        while !self.envelopes.is_empty() {
            self.act(Action::Deliver(0));
        }
    }

    /// Appends the oldest record in flight to the log, and lets all nodes read it.
    pub(crate) fn append_and_read(&mut self) {
        let (record, stays) = (0, false);
        self.act(Action::Append { record, stays });
        for index in 0..self.processes.len() {
            self.act(Action::Read(index));
        }
    }

    /// Ends all faults: the log is up, and stopping processes are removed.
    pub(crate) fn end_faults(&mut self) {
        self.act(Action::Outage(false));
        for index in 0..self.processes.len() {
            if self.processes[index].is_stopping {
                self.act(Action::Kill(index));
            }
        }
    }

    /// Advances time by one step, then lets every node tick, append, read and receive all that it
    /// can.
    pub(crate) fn run_step(&mut self) {
        self.run_step_without_log();
        while !self.in_flight.is_empty() {
            let (record, stays) = (0, false);
            self.act(Action::Append { record, stays });
        }
        for index in 0..self.processes.len() {
            while self.processes[index].is_alive && self.processes[index].read < self.log.len() {
                self.act(Action::Read(index));
            }
        }
        self.deliver_all();
    }

    /// Advances time by one step, then lets every node tick and receive messages, without any
    /// appends.
    pub(crate) fn run_step_without_log(&mut self) {
        self.act(Action::Advance);
        for index in 0..self.processes.len() {
            if self.processes[index].is_alive {
                self.act(Action::UpdateList(index));
                self.act(Action::Tick(index));
            }
        }
        self.deliver_all();
    }

    fn advance(&mut self) {
        self.budget.steps = self.budget.steps.saturating_sub(1);
        for (process, &rate) in self.processes.iter_mut().zip(&self.config.rates) {
            process.clock = process.clock + rate;
        }
    }

    fn step(&mut self, index: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let process = &mut self.processes[index];
        process.table.step(process.clock, input, &mut out);
        for output in out {
            self.handle_output(index, output);
        }
    }

    fn handle_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Append(append) => self.in_flight.push(append.record),
            Output::Send { to, message } => self.send(index, to, message),
            Output::Acquired(acquired) => {
                if self.has_unlogged_request && !acquired.may_have_unlogged {
                    let node = self.processes[index].node;
                    self.violation = Some(format!(
                        "{node} acquired the partition without notice of an unlogged request"
                    ));
                }
            }
            Output::Lost { .. } => {}
        }
        self.drop_ineffective();
    }

    fn send(&mut self, index: usize, to: Node, message: Message) {
        let from = self.processes[index].node;
        let envelope = Envelope { from, to, message };
        if !self.envelopes.contains(&envelope) {
            self.envelopes.push(envelope);
        }
        let excess = self.envelopes.len().saturating_sub(self.config.messages);
        self.envelopes.drain(..excess);
    }

    /// Drops what can have no effect: records that do not succeed the newest valid record, and
    /// messages to processes that have ended.
    fn drop_ineffective(&mut self) {
        if self.config.settings.rules.check_predecessor {
            let head = self.head;
            self.in_flight.retain(|record| predecessor(record) == head);
        }
        let processes = &self.processes;
        let is_live = |node: Node| {
            processes
                .iter()
                .any(|process| process.is_alive && process.node == node)
        };
        self.envelopes.retain(|envelope| is_live(envelope.to));
    }

    fn append(&mut self, index: usize, stays: bool) {
        let record = if stays {
            self.budget.repeats = self.budget.repeats.saturating_sub(1);
            self.in_flight[index].clone()
        } else {
            self.in_flight.remove(index)
        };
        let offset = self.next;
        self.next += 1;
        if predecessor(&record) == self.head {
            self.head = Some(offset);
        }
        self.log.push(LoggedRecord { offset, record });
        self.drop_ineffective();
    }

    fn read(&mut self, index: usize) {
        let logged = self.log[self.processes[index].read].clone();
        self.processes[index].read += 1;
        let input = Input::Read {
            offset: logged.offset,
            record: &logged.record,
        };
        self.step(index, input);
    }

    fn deliver(&mut self, index: usize) {
        let envelope = self.envelopes.remove(index);
        let Some(to) = self
            .processes
            .iter()
            .position(|process| process.node == envelope.to)
        else {
            return;
        };
        let input = Input::Deliver {
            from: envelope.from,
            message: &envelope.message,
        };
        self.step(to, input);
    }

    fn restart(&mut self, index: usize) {
        self.budget.restarts = self.budget.restarts.saturating_sub(1);
        let clock = self.processes[index].clock;
        let before = self.processes[index].node.incarnation.0;
        let incarnation = before + u64::from(self.config.changes_incarnation);
        self.processes[index] = Process {
            clock,
            ..self.process(index, incarnation)
        };
        self.drop_ineffective();
        self.initialize(index);
    }

    fn restore(&mut self, index: usize) {
        self.budget.restores = self.budget.restores.saturating_sub(1);
        let count = self.processes.len();
        let others = (1..count).map(|step| &self.processes[(index + step) % count]);
        let Some(peer) = others.into_iter().find(|process| process.is_alive) else {
            return;
        };
        let (snapshot, read) = (peer.table.snapshot(), peer.read);
        if read > self.processes[index].read {
            self.processes[index].read = read;
        }
        self.step(index, Input::Restore(&snapshot));
    }

    fn kill(&mut self, index: usize) {
        self.budget.kills = self.budget.kills.saturating_sub(1);
        self.processes[index].is_alive = false;
        self.version += 1;
        self.drop_ineffective();
    }

    fn update_list(&mut self, index: usize) {
        let live = self.processes.iter().filter(|process| process.is_alive);
        let member = |process: &Process| Member {
            vm: process.node.vm,
            incarnation: Some(process.node.incarnation),
        };
        let roster = Roster {
            version: self.version,
            members: live.map(member).collect(),
        };
        self.step(index, Input::Roster(&roster));
        self.update_preference(index);
    }

    fn update_preference(&mut self, index: usize) {
        let count = self.processes.len();
        let preferred = self.processes[index].preferred;
        let mut candidates = [None; STANDBYS + 1];
        let order = (0..count).map(|rank| &self.processes[(preferred + rank) % count]);
        let live = order.filter(|process| process.is_alive);
        for (place, process) in candidates.iter_mut().zip(live) {
            *place = Some(process.node);
        }
        let preference = Preference {
            partition: PARTITION,
            candidates,
        };
        self.step(index, Input::Prefer(&[preference]));
    }

    fn change_preference(&mut self, index: usize) {
        self.budget.preference_changes = self.budget.preference_changes.saturating_sub(1);
        let count = self.processes.len();
        let process = &mut self.processes[index];
        process.preferred = (process.preferred + count - 1) % count;
        self.update_preference(index);
    }

    fn outage(&mut self, down: bool) {
        self.budget.outage_flips = self.budget.outage_flips.saturating_sub(1);
        for index in 0..self.processes.len() {
            self.step(index, Input::Log { up: !down });
        }
    }
}

/// Returns the offset of the record that `record` succeeds; `record` has one claim, renewal or
/// release.
fn predecessor(record: &Record) -> Option<u64> {
    let claim = record.claims.first().and_then(|claim| claim.predecessor);
    let renewal = record.renewals.first().map(|renewal| renewal.predecessor);
    let release = record.releases.first().map(|release| release.predecessor);
    claim.or(renewal).or(release)
}

/// Returns settings in which one step is a whole number of seconds on the slowest and on the
/// fastest clock allowed, and a lease lasts three steps for both.
pub(crate) fn coarse_settings(rules: Rules) -> Settings {
    Settings::builder()
        .duration(Duration::from_secs(6))
        .renew_after(Duration::from_secs(2))
        .promise_request_interval(Duration::from_secs(2))
        .stagger(Duration::ZERO)
        .min_hold(Duration::ZERO)
        .drift_ppm(200_000)
        .rules(rules)
        .build()
}

/// How far the slowest clock allowed by [`coarse_settings`] advances in one step.
pub(crate) const SLOW_STEP: Duration = Duration::from_secs(2);

/// How far the fastest clock allowed by [`coarse_settings`] advances in one step.
pub(crate) const FAST_STEP: Duration = Duration::from_secs(3);
