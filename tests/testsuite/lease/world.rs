//! Lease tables of a few nodes around one log, with everything that can go wrong as an action.

use std::time::Duration;

use laburnumplank::core::id::{Incarnation, Node, Partition, Vm};
use laburnumplank::core::lease::{
    Input, Member, Message, Output, Preference, Record, Roster, Rules, STANDBYS, Settings, Table,
};
use laburnumplank::core::time::{Instant, Stamp};

pub(crate) const PARTITION: Partition = Partition(0);
const START: Instant = Instant(60_000_000);

/// What the nodes and their clocks are like.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    pub(crate) settings: Settings,
    /// How far each node's clock goes in one step of the world.
    pub(crate) rates: Vec<Duration>,
    /// Whether a restarted process gets a new number.
    pub(crate) renumbers: bool,
    /// How many messages are under way at most; older ones are lost.
    pub(crate) messages: usize,
}

/// How often each fault may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) steps: u32,
    pub(crate) restarts: u32,
    pub(crate) kills: u32,
    pub(crate) repeats: u32,
    pub(crate) shifts: u32,
    pub(crate) stops: u32,
    pub(crate) outage_flips: u32,
}

impl Budget {
    pub(crate) const NONE: Budget = Budget {
        steps: 0,
        restarts: 0,
        kills: 0,
        repeats: 0,
        shifts: 0,
        stops: 0,
        outage_flips: 0,
    };
}

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Action {
    /// All clocks go on.
    Advance,
    /// A node does what is due.
    Tick(usize),
    /// A record in flight lands in the log; it may stay in flight, as after a lost answer.
    Land { record: usize, stays: bool },
    /// A node reads the next record.
    Read(usize),
    /// A message arrives.
    Deliver(usize),
    /// A process dies and another run of it begins.
    Restart(usize),
    /// A VM is gone for good.
    Kill(usize),
    /// A node learns which VMs and runs there are.
    List(usize),
    /// A node sees another one as the preferred owner.
    Shift(usize),
    /// A node is to stop.
    Stop(usize),
    /// A node that may do so dispatches a request that the log does not describe.
    Dispatch(usize),
    /// A node has described in the log all that may have been dispatched unlogged.
    Describe(usize),
    /// Nodes notice that the log is down or up again.
    Outage(bool),
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct Proc {
    pub(crate) table: Table,
    pub(crate) node: Node,
    pub(crate) clock: Instant,
    read: usize,
    /// The node that it sees as the preferred owner.
    preferred: usize,
    is_alive: bool,
    is_stopping: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Letter {
    from: Node,
    to: Node,
    message: Message,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Landed {
    offset: u64,
    record: Record,
}

impl Proc {
    /// Returns whether the node may dispatch a request that the log does not describe.
    pub(crate) fn may_dispatch(&self) -> bool {
        self.table.holds_promises(PARTITION, self.clock)
    }
}

/// All nodes, the log and the network.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) shape: Shape,
    pub(crate) budget: Budget,
    pub(crate) procs: Vec<Proc>,
    log: Vec<Landed>,
    next: u64,
    /// The newest valid record, by the plain rule.
    head: Option<u64>,
    flying: Vec<Record>,
    letters: Vec<Letter>,
    version: u64,
    /// Whether a request was dispatched that the log does not describe.
    undescribed: bool,
    fault: Option<String>,
}

impl World {
    /// Makes a world in which node 0 owns the partition, nodes 1 and 2 are its standbys and all
    /// have read so.
    pub(crate) fn settled(shape: Shape) -> World {
        let mut world = World {
            procs: Vec::new(),
            shape,
            budget: Budget::NONE,
            log: Vec::new(),
            next: 0,
            head: None,
            flying: Vec::new(),
            letters: Vec::new(),
            version: 1,
            undescribed: false,
            fault: None,
        };
        for vm in 0..world.shape.rates.len() {
            let proc = world.proc(vm, 1);
            world.procs.push(proc);
        }
        for index in 0..world.procs.len() {
            world.introduce(index);
        }
        world.act(Action::Tick(0));
        world.land_and_read();
        world
    }

    fn proc(&self, vm: usize, incarnation: u64) -> Proc {
        let node = Node {
            vm: Vm(vm as u32),
            incarnation: Incarnation(incarnation),
        };
        Proc {
            table: Table::new(node, 1, self.shape.settings),
            node,
            clock: START,
            read: 0,
            preferred: 0,
            is_alive: true,
            is_stopping: false,
        }
    }

    /// Tells a new process what it needs to take part.
    fn introduce(&mut self, index: usize) {
        self.list(index);
        self.prefer(index);
        self.step(index, Input::Ready);
    }

    /// Adds what can happen now to `out`.
    pub(crate) fn actions(&self, out: &mut Vec<Action>) {
        let budget = self.budget;
        if budget.steps > 0 {
            out.push(Action::Advance);
        }
        for record in 0..self.flying.len() {
            let stays = false;
            out.push(Action::Land { record, stays });
            if budget.repeats > 0 {
                let stays = true;
                out.push(Action::Land { record, stays });
            }
        }
        out.extend((0..self.letters.len()).map(Action::Deliver));
        if budget.outage_flips > 0 {
            out.push(Action::Outage(budget.outage_flips.is_multiple_of(2)));
        }
        for index in 0..self.procs.len() {
            self.actions_of(index, out);
        }
    }

    fn actions_of(&self, index: usize, out: &mut Vec<Action>) {
        let proc = &self.procs[index];
        if !proc.is_alive {
            return;
        }
        out.push(Action::Tick(index));
        if proc.read < self.log.len() {
            out.push(Action::Read(index));
        }
        if self.budget.restarts > 0 {
            out.push(Action::Restart(index));
        }
        if self.budget.kills > 0 {
            out.push(Action::Kill(index));
        }
        if self.budget.shifts > 0 {
            out.push(Action::Shift(index));
        }
        out.push(Action::List(index));
        if self.budget.stops > 0 && proc.table.may_act(PARTITION, proc.clock).is_some() {
            out.push(Action::Stop(index));
        }
        if !self.undescribed && proc.may_dispatch() {
            out.push(Action::Dispatch(index));
        }
        if self.undescribed && proc.table.may_act(PARTITION, proc.clock).is_some() {
            out.push(Action::Describe(index));
        }
    }

    /// Does one action that is possible.
    pub(crate) fn act(&mut self, action: Action) {
        match action {
            Action::Advance => self.advance(),
            Action::Tick(index) => self.step(index, Input::Tick(Stamp(0))),
            Action::Land { record, stays } => self.land(record, stays),
            Action::Read(index) => self.read(index),
            Action::Deliver(letter) => self.deliver(letter),
            Action::Restart(index) => self.restart(index),
            Action::Kill(index) => self.kill(index),
            Action::List(index) => self.list(index),
            Action::Shift(index) => self.shift(index),
            Action::Stop(index) => {
                self.budget.stops = self.budget.stops.saturating_sub(1);
                self.procs[index].is_stopping = true;
                self.step(index, Input::Stop);
            }
            Action::Dispatch(_) => self.undescribed = true,
            Action::Describe(index) => {
                self.undescribed = false;
                self.step(index, Input::Described(PARTITION));
            }
            Action::Outage(down) => self.outage(down),
        }
    }

    /// Checks that at most one node may act, and that no one was misled about unlogged requests.
    pub(crate) fn check(&self) -> Result<(), String> {
        if let Some(fault) = &self.fault {
            return Err(fault.clone());
        }
        let owners: Vec<Node> = self.owners().collect();
        if owners.len() > 1 {
            return Err(format!("{} and {} may act at once", owners[0], owners[1]));
        }
        Ok(())
    }

    /// Returns the nodes that may act now.
    pub(crate) fn owners(&self) -> impl Iterator<Item = Node> {
        let live = self.procs.iter().filter(|proc| proc.is_alive);
        live.filter(|proc| proc.table.may_act(PARTITION, proc.clock).is_some())
            .map(|proc| proc.node)
    }

    pub(crate) fn flying(&self) -> usize {
        self.flying.len()
    }

    pub(crate) fn letters(&self) -> usize {
        self.letters.len()
    }

    /// Delivers all letters, and those sent in answer.
    pub(crate) fn deliver_all(&mut self) {
        while !self.letters.is_empty() {
            self.act(Action::Deliver(0));
        }
    }

    /// Lands the oldest record in flight, and lets all nodes read it.
    pub(crate) fn land_and_read(&mut self) {
        let (record, stays) = (0, false);
        self.act(Action::Land { record, stays });
        for index in 0..self.procs.len() {
            self.act(Action::Read(index));
        }
    }

    /// Ends all faults: the log works, stopping processes end, everybody learns of it.
    pub(crate) fn heal(&mut self) {
        self.act(Action::Outage(false));
        for index in 0..self.procs.len() {
            if self.procs[index].is_stopping {
                self.act(Action::Kill(index));
            }
        }
    }

    /// Lets every node do all that it can, and time go on by one step.
    pub(crate) fn settle(&mut self) {
        self.settle_without_log();
        while !self.flying.is_empty() {
            let (record, stays) = (0, false);
            self.act(Action::Land { record, stays });
        }
        for index in 0..self.procs.len() {
            while self.procs[index].is_alive && self.procs[index].read < self.log.len() {
                self.act(Action::Read(index));
            }
        }
        self.deliver_all();
    }

    /// Lets every node do what it can while the log is down, and time go on by one step.
    pub(crate) fn settle_without_log(&mut self) {
        self.act(Action::Advance);
        for index in 0..self.procs.len() {
            if self.procs[index].is_alive {
                self.act(Action::List(index));
                self.act(Action::Tick(index));
            }
        }
        self.deliver_all();
    }

    fn advance(&mut self) {
        self.budget.steps = self.budget.steps.saturating_sub(1);
        for (proc, &rate) in self.procs.iter_mut().zip(&self.shape.rates) {
            proc.clock = proc.clock + rate;
        }
    }

    fn step(&mut self, index: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let proc = &mut self.procs[index];
        proc.table.step(proc.clock, input, &mut out);
        for output in out {
            self.take(index, output);
        }
    }

    fn take(&mut self, index: usize, output: Output) {
        match output {
            Output::Append(append) => self.flying.push(append.record),
            Output::Send { to, message } => self.send(index, to, message),
            Output::Acquired(acquired) => {
                if self.undescribed && !acquired.exposed {
                    let node = self.procs[index].node;
                    self.fault = Some(format!("{node} was told that nothing ran unlogged"));
                }
            }
            Output::Lost { .. } => {}
        }
        self.prune();
    }

    fn send(&mut self, index: usize, to: Node, message: Message) {
        let from = self.procs[index].node;
        let letter = Letter { from, to, message };
        if !self.letters.contains(&letter) {
            self.letters.push(letter);
        }
        let excess = self.letters.len().saturating_sub(self.shape.messages);
        self.letters.drain(..excess);
    }

    /// Forgets what can have no effect: records that name an old head, and letters to the dead.
    fn prune(&mut self) {
        if self.shape.settings.rules.predecessor {
            let head = self.head;
            self.flying.retain(|record| named(record) == head);
        }
        let procs = &self.procs;
        let lives = |node: Node| procs.iter().any(|proc| proc.is_alive && proc.node == node);
        self.letters.retain(|letter| lives(letter.to));
    }

    fn land(&mut self, index: usize, stays: bool) {
        let record = if stays {
            self.budget.repeats = self.budget.repeats.saturating_sub(1);
            self.flying[index].clone()
        } else {
            self.flying.remove(index)
        };
        let offset = self.next;
        self.next += 1;
        if named(&record) == self.head {
            self.head = Some(offset);
        }
        self.log.push(Landed { offset, record });
        self.prune();
    }

    fn read(&mut self, index: usize) {
        let landed = self.log[self.procs[index].read].clone();
        self.procs[index].read += 1;
        let input = Input::Read {
            offset: landed.offset,
            record: &landed.record,
        };
        self.step(index, input);
    }

    fn deliver(&mut self, index: usize) {
        let letter = self.letters.remove(index);
        let Some(to) = self.procs.iter().position(|proc| proc.node == letter.to) else {
            return;
        };
        let input = Input::Deliver {
            from: letter.from,
            message: &letter.message,
        };
        self.step(to, input);
    }

    fn restart(&mut self, index: usize) {
        self.budget.restarts = self.budget.restarts.saturating_sub(1);
        let clock = self.procs[index].clock;
        let before = self.procs[index].node.incarnation.0;
        let incarnation = before + u64::from(self.shape.renumbers);
        self.procs[index] = Proc {
            clock,
            ..self.proc(index, incarnation)
        };
        self.prune();
        self.introduce(index);
    }

    fn kill(&mut self, index: usize) {
        self.budget.kills = self.budget.kills.saturating_sub(1);
        self.procs[index].is_alive = false;
        self.version += 1;
        self.prune();
    }

    fn list(&mut self, index: usize) {
        let live = self.procs.iter().filter(|proc| proc.is_alive);
        let member = |proc: &Proc| Member {
            vm: proc.node.vm,
            incarnation: Some(proc.node.incarnation),
        };
        let roster = Roster {
            version: self.version,
            members: live.map(member).collect(),
        };
        self.step(index, Input::Roster(&roster));
        self.prefer(index);
    }

    fn prefer(&mut self, index: usize) {
        let count = self.procs.len();
        let preferred = self.procs[index].preferred;
        let mut candidates = [None; STANDBYS + 1];
        let order = (0..count).map(|rank| &self.procs[(preferred + rank) % count]);
        let live = order.filter(|proc| proc.is_alive);
        for (place, proc) in candidates.iter_mut().zip(live) {
            *place = Some(proc.node);
        }
        let preference = Preference {
            partition: PARTITION,
            candidates,
        };
        self.step(index, Input::Prefer(&[preference]));
    }

    fn shift(&mut self, index: usize) {
        self.budget.shifts = self.budget.shifts.saturating_sub(1);
        let count = self.procs.len();
        let proc = &mut self.procs[index];
        proc.preferred = (proc.preferred + count - 1) % count;
        self.prefer(index);
    }

    fn outage(&mut self, down: bool) {
        self.budget.outage_flips = self.budget.outage_flips.saturating_sub(1);
        for index in 0..self.procs.len() {
            self.step(index, Input::Log { up: !down });
        }
    }
}

/// Returns the record that `record`, which says one thing, succeeds.
fn named(record: &Record) -> Option<u64> {
    let claim = record.claims.first().and_then(|claim| claim.predecessor);
    let renewal = record.renewals.first().map(|renewal| renewal.predecessor);
    let release = record.releases.first().map(|release| release.predecessor);
    claim.or(renewal).or(release)
}

/// Returns settings in which one step of the slowest and the fastest clock allowed are whole
/// numbers, and a lease lasts three steps for both.
pub(crate) fn coarse(rules: Rules) -> Settings {
    Settings::builder()
        .duration(Duration::from_secs(6))
        .renew_after(Duration::from_secs(2))
        .ask_every(Duration::from_secs(2))
        .stagger(Duration::ZERO)
        .settle(Duration::ZERO)
        .drift_ppm(200_000)
        .rules(rules)
        .build()
}

/// What the slowest clock allowed by [`coarse`] counts in a step.
pub(crate) const SLOW: Duration = Duration::from_secs(2);

/// What the fastest clock allowed by [`coarse`] counts in a step.
pub(crate) const FAST: Duration = Duration::from_secs(3);
