//! Tests of membership: which entries are alive, and which should own a partition.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumplank::core::id::{DataCentre, Incarnation, Node, Partition, Region, Vm};
use laburnumplank::core::membership::rendezvous::{Candidate, prefer};
use laburnumplank::core::membership::{
    DataCentreSite, Heartbeat, Input, Output, Rules, Settings, Site, State, Status, Update, View,
};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::vms;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ROUND: Duration = Duration::from_millis(500);

/// Three data centres, two of them in one region.
const SITES: [(u16, u16); 3] = [(0, 0), (1, 0), (2, 1)];

fn site(vm: u32) -> Site {
    let (data_centre, region) = SITES[vm as usize % SITES.len()];
    Site {
        data_centre: DataCentre(data_centre),
        region: Region(region),
    }
}

fn node(vm: u32, incarnation: u64) -> Node {
    Node {
        vm: Vm(vm),
        incarnation: Incarnation(incarnation),
    }
}

fn candidates(count: u32) -> Vec<Candidate> {
    let candidate = |vm| Candidate {
        node: node(vm, 1),
        site: site(vm),
    };
    (0..count).map(candidate).collect()
}

fn list(version: u64, vms: impl Iterator<Item = u32>) -> vms::List {
    let vm = |id: u32| vms::Vm {
        id,
        state: vms::State::Live,
        address: ([10, 0, 0, 1], 7000).into(),
        data_centre: format!("dc{}", site(id).data_centre.0),
        role: vms::Role::Entry,
    };
    vms::List {
        version,
        vms: vms.map(vm).collect(),
    }
}

fn settings(rules: Rules) -> Settings {
    let data_centre_site = |&(data_centre, region): &(u16, u16)| DataCentreSite {
        name: format!("dc{data_centre}"),
        site: Site {
            data_centre: DataCentre(data_centre),
            region: Region(region),
        },
    };
    let data_centres = SITES.iter().map(data_centre_site).collect();
    Settings::builder()
        .data_centres(data_centres)
        .rules(rules)
        .build()
}

/// The views of all entries of a cell, which exchange heartbeats in rounds.
struct Cell {
    now: Instant,
    rules: Rules,
    views: BTreeMap<Vm, View>,
    inbox: Vec<(Vm, Heartbeat)>,
    outputs: Vec<Output>,
    sent_count: usize,
}

impl Cell {
    fn new(count: u32) -> Cell {
        Cell::with_rules(count, Rules::ALL)
    }

    fn with_rules(count: u32, rules: Rules) -> Cell {
        let mut cell = Cell {
            now: Instant(60_000_000),
            rules,
            views: BTreeMap::new(),
            inbox: Vec::new(),
            outputs: Vec::new(),
            sent_count: 0,
        };
        (0..count).for_each(|vm| cell.start(vm, 1, &list(1, 0..count)));
        cell
    }

    fn start(&mut self, vm: u32, incarnation: u64, list: &vms::List) {
        let mut view = View::new(node(vm, incarnation), settings(self.rules));
        view.step(self.now, Input::List(list), &mut Vec::new());
        self.views.insert(Vm(vm), view);
    }

    /// Runs one round, in which all entries but those in `paused` receive and send.
    fn round(&mut self, paused: &[u32]) {
        self.now = self.now + ROUND;
        let is_paused = |vm: Vm| paused.contains(&vm.0);
        let mut out = Vec::new();
        for (to, heartbeat) in std::mem::take(&mut self.inbox) {
            if let Some(view) = self.views.get_mut(&to).filter(|_| !is_paused(to)) {
                view.step(self.now, Input::Heartbeat(&heartbeat), &mut out);
            }
        }
        for (&vm, view) in &mut self.views {
            if !is_paused(vm) {
                view.step(self.now, Input::Tick, &mut out);
            }
        }
        for output in out {
            if let Output::Send { to, heartbeat } = output {
                self.sent_count += 1;
                self.inbox.push((to, heartbeat));
            } else {
                self.outputs.push(output);
            }
        }
    }

    fn rounds(&mut self, count: usize, paused: &[u32]) {
        (0..count).for_each(|_| self.round(paused));
    }

    /// Returns whether `vm` is in `state` in the views of all other entries.
    fn all_see(&self, vm: u32, state: State) -> bool {
        let mut others = self.views.iter().filter(|(other, _)| other.0 != vm);
        others.all(|(_, view)| view.state(Vm(vm)) == Some(state))
    }

    /// Runs rounds until `vm` is in `state` in the views of all other entries, and returns their
    /// number.
    fn rounds_until(&mut self, vm: u32, state: State, paused: &[u32]) -> usize {
        const LIMIT: usize = 200;
        let seen = (0..LIMIT).find(|_| {
            let seen = self.all_see(vm, state);
            if !seen {
                self.round(paused);
            }
            seen
        });
        seen.expect("all other entries see the state within the limit")
    }
}

#[test]
fn loss_of_entry_moves_only_its_partitions() {
    const PARTITIONS: u16 = 1_024;
    let before = candidates(30);
    let after: Vec<Candidate> = before
        .iter()
        .copied()
        .filter(|c| c.node.vm != Vm(7))
        .collect();
    let mut moved = 0;
    for partition in (0..PARTITIONS).map(Partition) {
        let old = prefer(partition, &before).candidates[0].unwrap();
        let new = prefer(partition, &after).candidates[0].unwrap();
        assert!(old == new || old.vm == Vm(7));
        moved += u16::from(old != new);
    }
    assert!((17..68).contains(&moved), "{moved} of {PARTITIONS} moved");
}

#[test]
fn standbys_are_in_other_data_centres_and_near_ones_first() {
    let candidates = candidates(9);
    for partition in (0..200).map(Partition) {
        let chosen = prefer(partition, &candidates).candidates;
        let sites = chosen.map(|node| site(node.unwrap().vm.0));
        let [owner, first, second] = sites;
        assert_ne!(owner.data_centre, first.data_centre);
        assert_ne!(owner.data_centre, second.data_centre);
        assert_eq!(owner.region == first.region, owner.region == Region(0));
        assert_eq!(owner.region == second.region, owner.region == Region(0));
    }
}

#[test]
fn prefer_with_few_entries_leaves_places_empty() {
    let chosen = prefer(Partition(0), &candidates(2)).candidates;
    assert_eq!(chosen.iter().flatten().count(), 2);
}

#[test]
fn entries_join_and_are_live_in_all_views() {
    let mut cell = Cell::new(50);
    assert!(cell.all_see(0, State::Joining));
    cell.rounds(20, &[]);
    for vm in 0..50 {
        assert!(cell.all_see(vm, State::Live), "{vm}");
    }
}

#[test]
fn paused_entry_is_suspect_then_live_again() {
    let mut cell = Cell::new(50);
    cell.rounds(20, &[]);
    let rounds = cell.rounds_until(3, State::Suspect, &[3]);
    assert!(rounds < 14, "{rounds}");
    let candidates = cell.views[&Vm(9)].candidates();
    assert!(
        candidates
            .iter()
            .any(|candidate| candidate.node.vm == Vm(3))
    );
    let rounds = cell.rounds_until(3, State::Live, &[]);
    assert!(rounds < 14, "{rounds}");
    for vm in 0..50 {
        assert!(cell.all_see(vm, State::Live), "{vm}");
    }
}

#[test]
fn silent_entry_is_dead_and_owns_nothing() {
    let mut cell = Cell::new(50);
    cell.rounds(20, &[]);
    cell.rounds_until(3, State::Dead, &[3]);
    let candidates = cell.views[&Vm(9)].candidates();
    assert!(
        !candidates
            .iter()
            .any(|candidate| candidate.node.vm == Vm(3))
    );
    cell.rounds_until(3, State::Live, &[]);
}

#[test]
fn restarted_entry_is_reported_as_another_run() {
    let mut cell = Cell::new(20);
    cell.rounds(20, &[]);
    cell.start(3, 2, &list(1, 0..20));
    cell.rounds(20, &[]);
    let restarted = Output::Restarted(node(3, 2));
    let count = cell
        .outputs
        .iter()
        .filter(|output| **output == restarted)
        .count();
    assert_eq!(count, 19);
    let roster = cell.views[&Vm(9)].roster();
    let member = roster
        .members
        .iter()
        .find(|member| member.vm == Vm(3))
        .unwrap();
    assert_eq!(member.incarnation, Some(Incarnation(2)));
}

#[test]
fn leaving_entry_owns_nothing() {
    let mut cell = Cell::new(20);
    cell.rounds(20, &[]);
    let now = cell.now;
    let leaving = cell.views.get_mut(&Vm(3)).unwrap();
    leaving.step(now, Input::Leave, &mut Vec::new());
    assert!(cell.rounds_until(3, State::Leaving, &[]) < 14);
}

#[test]
fn entry_off_vm_list_is_removed_and_older_list_is_ignored() {
    let mut cell = Cell::new(20);
    cell.rounds(20, &[]);
    let now = cell.now;
    let view = cell.views.get_mut(&Vm(9)).unwrap();
    let newer = list(2, (0..20).filter(|&vm| vm != 3));
    let mut out = Vec::new();
    view.step(now, Input::List(&newer), &mut out);
    let state = State::Dead;
    assert_eq!(out, vec![Output::Changed { vm: Vm(3), state }]);
    view.step(now, Input::List(&list(1, 0..20)), &mut Vec::new());
    assert_eq!(view.state(Vm(3)), None);
    assert_eq!(view.roster().version, 2);
}

/// Returns whether an entry that was paused for 30 s suspects others when it continues.
fn observer_suspects_others_after_pause(rules: Rules) -> bool {
    let mut cell = Cell::with_rules(20, rules);
    cell.rounds(20, &[]);
    cell.rounds(60, &[3]);
    cell.inbox.clear();
    cell.round(&[]);
    let observer = &cell.views[&Vm(3)];
    !(0..20).all(|vm| observer.state(Vm(vm)) == Some(State::Live))
}

#[test]
fn paused_observer_suspects_nobody() {
    assert!(!observer_suspects_others_after_pause(Rules::ALL));
}

#[test]
fn paused_observer_suspects_others_without_pause_detection() {
    let mut rules = Rules::ALL;
    rules.detect_own_pause = false;
    assert!(observer_suspects_others_after_pause(rules));
}

#[test]
fn suspected_entry_does_not_recover_without_refutation() {
    let mut rules = Rules::ALL;
    rules.refute = false;
    let mut cell = Cell::with_rules(20, rules);
    cell.rounds(20, &[]);
    cell.rounds_until(3, State::Suspect, &[3]);
    cell.rounds(60, &[]);
    assert!(!cell.all_see(3, State::Live));
}

#[test]
fn messages_per_entry_do_not_grow_with_cell() {
    for count in [10, 100] {
        let mut cell = Cell::new(count);
        cell.rounds(40, &[]);
        cell.sent_count = 0;
        cell.rounds(20, &[]);
        let each = cell.sent_count as f64 / f64::from(count) / 20.0;
        assert!(
            each <= 3.0,
            "{each} messages per entry and round with {count} entries"
        );
    }
}

fn update() -> impl Strategy<Value = Update> {
    let status = prop_oneof![
        Just(Status::Alive),
        Just(Status::Leaving),
        Just(Status::Suspect),
        Just(Status::Dead)
    ];
    (1..3_u32, 1..3_u64, 0..3_u32, status).prop_map(|(vm, incarnation, refutations, status)| {
        Update {
            node: node(vm, incarnation),
            refutations,
            status,
        }
    })
}

fn states_after(updates: &[Update], rules: Rules) -> Vec<(Option<State>, Option<Incarnation>)> {
    let mut view = View::new(node(0, 1), settings(rules));
    let now = Instant(0);
    view.step(now, Input::List(&list(1, 0..4)), &mut Vec::new());
    for update in updates {
        let heartbeat = Heartbeat {
            sender: Update {
                node: node(3, 1),
                refutations: 0,
                status: Status::Alive,
            },
            requests_all_updates: false,
            updates: vec![*update],
        };
        view.step(now, Input::Heartbeat(&heartbeat), &mut Vec::new());
    }
    let roster = view.roster();
    let state = |vm: usize| (view.state(Vm(vm as u32)), roster.members[vm].incarnation);
    (1..3).map(state).collect()
}

#[test]
fn views_differ_without_order_of_updates() {
    let mut rules = Rules::ALL;
    rules.order_updates = false;
    let update = |refutations| Update {
        node: node(1, 1),
        refutations,
        status: Status::Alive,
    };
    let suspect = Update {
        status: Status::Suspect,
        ..update(0)
    };
    let suspect_first = [suspect, update(1)];
    let suspect_last = [update(1), suspect];
    assert_eq!(
        states_after(&suspect_first, Rules::ALL),
        states_after(&suspect_last, Rules::ALL)
    );
    assert_ne!(
        states_after(&suspect_first, rules),
        states_after(&suspect_last, rules)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").map_or(256, |text| text.parse().unwrap()),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn updates_in_any_order_and_number_give_same_view(
        updates in prop::collection::vec(update(), 0..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let mut shuffled = updates.clone();
        if !updates.is_empty() {
            let extra = order.iter().map(|index| *index.get(&updates));
            shuffled = extra.chain(updates.iter().rev().copied()).collect();
        }
        prop_assert_eq!(states_after(&updates, Rules::ALL), states_after(&shuffled, Rules::ALL));
    }
}
