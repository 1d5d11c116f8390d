//! Cost of heartbeats, and the time until all nodes detect the end of one.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumplank::core::id::{Node, Vm};
use laburnumplank::core::membership::{Heartbeat, Input, Output, Settings, State, View};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::vms;

use super::cell::{INCARNATION, encoded};
use crate::report::Table;

/// How long a round of heartbeats takes.
const ROUND: Duration = Duration::from_millis(500);

/// Views of a cell that exchange heartbeats in rounds.
struct Cell {
    now: Instant,
    views: BTreeMap<Vm, View>,
    inbox: Vec<(Vm, Heartbeat)>,
    messages: u64,
    bytes: u64,
}

impl Cell {
    fn new(count: u32) -> Cell {
        let vm = |id| vms::Vm {
            id,
            state: vms::State::Live,
            address: ([10, 0, 0, 1], 7000).into(),
            data_centre: "a".to_owned(),
            role: vms::Role::Entry,
        };
        let list = vms::List {
            version: 1,
            vms: (0..count).map(vm).collect(),
        };
        let view = |id| {
            let vm = Vm(id);
            let incarnation = INCARNATION;
            let mut view = View::new(Node { vm, incarnation }, Settings::builder().build());
            view.step(Instant(0), Input::List(&list), &mut Vec::new());
            (vm, view)
        };
        Cell {
            now: Instant(0),
            views: (0..count).map(view).collect(),
            inbox: Vec::new(),
            messages: 0,
            bytes: 0,
        }
    }

    /// Delivers the heartbeats of the last round and lets all nodes send theirs.
    fn round(&mut self) {
        self.now = self.now + ROUND;
        let mut out = Vec::new();
        for (to, heartbeat) in std::mem::take(&mut self.inbox) {
            if let Some(view) = self.views.get_mut(&to) {
                view.step(self.now, Input::Heartbeat(&heartbeat), &mut out);
            }
        }
        for view in self.views.values_mut() {
            view.step(self.now, Input::Tick, &mut out);
        }
        for output in out {
            if let Output::Send { to, heartbeat } = output {
                self.messages += 1;
                self.bytes += encoded(&heartbeat);
                self.inbox.push((to, heartbeat));
            }
        }
    }

    /// Runs rounds until all views show `vm` in `state` and returns their number.
    fn rounds_until(&mut self, vm: Vm, state: State) -> eyre::Result<u32> {
        const LIMIT: u32 = 200;
        for round in 0..LIMIT {
            if self
                .views
                .values()
                .all(|view| view.state(vm) == Some(state))
            {
                return Ok(round);
            }
            self.round();
        }
        eyre::bail!("after {LIMIT} rounds, not all views show {vm:?} as {state:?}")
    }
}

/// Measures heartbeats by the number of entries in a cell.
pub(super) fn traffic() -> eyre::Result<Table> {
    const WARM_UP: u32 = 600;
    const ROUNDS: u32 = 120;
    let columns = [
        "entries",
        "messages/s for each entry",
        "B/s for each entry",
        "from end to all suspecting, s",
        "from end to dead for all, s",
    ];
    let mut table = Table::new("Heartbeats", &columns);
    for count in [9, 40, 160, 320] {
        let mut cell = Cell::new(count);
        (0..WARM_UP).for_each(|_| cell.round());
        (cell.messages, cell.bytes) = (0, 0);
        (0..ROUNDS).for_each(|_| cell.round());
        let entry_seconds = (ROUND * ROUNDS).as_secs_f64() * f64::from(count);
        let (messages, bytes) = (
            cell.messages as f64 / entry_seconds,
            cell.bytes as f64 / entry_seconds,
        );
        let ended = Vm(3);
        cell.views.remove(&ended);
        let suspect = ROUND * cell.rounds_until(ended, State::Suspect)?;
        let dead = suspect + ROUND * cell.rounds_until(ended, State::Dead)?;
        table.row([
            count.to_string(),
            format!("{messages:.1}"),
            format!("{bytes:.0}"),
            format!("{:.1}", suspect.as_secs_f64()),
            format!("{:.1}", dead.as_secs_f64()),
        ]);
    }
    Ok(table)
}
