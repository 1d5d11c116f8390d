//! Unit tests of the lease table.

use std::time::Duration;

use laburnumplank::core::id::{Incarnation, Node, Partition, Vm};
use laburnumplank::core::lease::{
    Append, Input, Member, Output, Preference, Record, Roster, Rules, Settings, Table,
};
use laburnumplank::core::time::{Instant, Stamp};

use super::fuzz::{STEP, world};
use super::world::{Action, PARTITION, World};

const LEASE: Duration = Duration::from_secs(10);
const START: Instant = Instant(60_000_000);

fn node(vm: u32) -> Node {
    Node {
        vm: Vm(vm),
        incarnation: Incarnation(1),
    }
}

fn roster(version: u64, vms: &[u32]) -> Roster {
    let member = |&vm: &u32| Member {
        vm: Vm(vm),
        incarnation: Some(Incarnation(1)),
    };
    Roster {
        version,
        members: vms.iter().map(member).collect(),
    }
}

/// Returns the table of `vm`. Each of its partitions should be owned by the first node of `order`,
/// with the others as standbys.
fn table(vm: u32, partitions: u16, rules: Rules, roster: &Roster, order: [u32; 3]) -> Table {
    let settings = Settings::builder().rules(rules).build();
    let mut table = Table::new(node(vm), partitions, settings);
    let mut out = Vec::new();
    let prefer = |index| Preference {
        partition: Partition(index),
        candidates: order.map(|vm| Some(node(vm))),
    };
    let preferences: Vec<Preference> = (0..partitions).map(prefer).collect();
    table.step(START, Input::Roster(roster), &mut out);
    table.step(START, Input::Prefer(&preferences), &mut out);
    table.step(START, Input::Ready, &mut out);
    table
}

fn tick(table: &mut Table, now: Instant) -> Vec<Record> {
    let mut out = Vec::new();
    table.step(now, Input::Tick(Stamp(0)), &mut out);
    let record = |output| match output {
        Output::Append(Append { record, .. }) => Some(record),
        _ => None,
    };
    out.into_iter().filter_map(record).collect()
}

fn read(table: &mut Table, now: Instant, offset: u64, record: &Record) {
    table.step(now, Input::Read { offset, record }, &mut Vec::new());
}

/// Returns the number of steps after which no node may act as owner.
fn steps_without_owner(world: &mut World, steps: u32) -> u32 {
    let mut without = 0;
    for _ in 0..steps {
        world.run_step();
        world.check().unwrap();
        without += u32::from(world.owners().next().is_none());
    }
    without
}

#[test]
fn claim_read_twice_takes_effect_once() {
    let roster = roster(1, &[0, 1, 2]);
    let mut owner = table(0, 1, Rules::ALL, &roster, [0, 1, 2]);
    let claim = tick(&mut owner, START).remove(0);
    read(&mut owner, START, 0, &claim);
    let epoch = owner.may_act(PARTITION, START);
    read(&mut owner, START, 1, &claim);
    assert!(epoch.is_some());
    assert_eq!(owner.may_act(PARTITION, START), epoch);
}

#[test]
fn claim_read_after_its_lease_grants_nothing() {
    let roster = roster(1, &[0, 1, 2]);
    let mut owner = table(0, 1, Rules::ALL, &roster, [0, 1, 2]);
    let claim = tick(&mut owner, START).remove(0);
    let late = START + LEASE;
    read(&mut owner, late, 0, &claim);
    assert_eq!(owner.may_act(PARTITION, late), None);
}

#[test]
fn pause_past_the_lease_ends_ownership() {
    let roster = roster(1, &[0, 1, 2]);
    let mut owner = table(0, 1, Rules::ALL, &roster, [0, 1, 2]);
    let claim = tick(&mut owner, START).remove(0);
    read(&mut owner, START, 0, &claim);
    let late = START + LEASE * 3;
    assert_eq!(owner.may_act(PARTITION, late), None);
    let mut out = Vec::new();
    owner.step(late, Input::Tick(Stamp(0)), &mut out);
    assert!(matches!(out[0], Output::Lost { .. }));
}

/// Returns whether node 0 claims a partition of node 5 with standbys 6 and 7, after the lease has
/// ended, when its own VM list at `list_version` contains none of them.
fn claims_partition_of_unlisted_nodes(rules: Rules, list_version: u64) -> bool {
    let complete = roster(2, &[0, 5, 6, 7]);
    let mut owner = table(5, 1, rules, &complete, [5, 6, 7]);
    let claim = tick(&mut owner, START).remove(0);
    let own = roster(list_version, &[0]);
    let mut claimant = table(0, 1, rules, &own, [0, 6, 7]);
    read(&mut claimant, START, 0, &claim);
    !tick(&mut claimant, START + LEASE * 2).is_empty()
}

#[test]
fn node_with_older_vm_list_does_not_claim() {
    assert!(!claims_partition_of_unlisted_nodes(Rules::ALL, 1));
    assert!(claims_partition_of_unlisted_nodes(Rules::ALL, 2));
}

#[test]
fn node_with_older_vm_list_claims_without_fresh_vm_list_rule() {
    let mut rules = Rules::ALL;
    rules.fresh_vm_list = false;
    assert!(claims_partition_of_unlisted_nodes(rules, 1));
}

#[test]
fn snapshot_gives_same_table_as_reading_from_start() {
    const PARTITIONS: u16 = 20;
    let roster = roster(1, &[0, 1, 2]);
    let mut owner = table(0, PARTITIONS, Rules::ALL, &roster, [0, 1, 2]);
    let mut reader = table(1, PARTITIONS, Rules::ALL, &roster, [0, 1, 2]);
    let mut restored = table(1, PARTITIONS, Rules::ALL, &roster, [0, 1, 2]);
    let mut now = START;
    for offset in 0..10 {
        let record = tick(&mut owner, now).remove(0);
        read(&mut owner, now, offset, &record);
        read(&mut reader, now, offset, &record);
        if offset == 5 {
            let snapshot = reader.snapshot();
            restored.step(now, Input::Restore(&snapshot), &mut Vec::new());
        } else if offset > 5 {
            read(&mut restored, now, offset, &record);
        }
        now = now + LEASE / 3;
    }
    assert_eq!(restored, reader);
    assert_eq!(owner.may_act(Partition(19), now).unwrap().0, 0);
}

#[test]
fn node_renews_all_partitions_in_one_append() {
    const PARTITIONS: u16 = 100;
    let roster = roster(1, &[0, 1, 2]);
    let mut owner = table(0, PARTITIONS, Rules::ALL, &roster, [0, 1, 2]);
    let mut appends = 0;
    for step in 0..=100 {
        let now = START + Duration::from_millis(100) * step;
        for record in tick(&mut owner, now) {
            read(&mut owner, now, appends, &record);
            appends += 1;
            let groups = record.renewals.len();
            assert!(appends == 1 || groups == 1, "{groups} groups");
        }
    }
    assert_eq!(appends, 3);
}

#[test]
fn transfer_leaves_no_time_without_owner() {
    let mut world = world(Rules::ALL);
    let before = world.owners().next();
    for index in 0..world.processes.len() {
        world.act(Action::ChangePreference(index));
    }
    let without = steps_without_owner(&mut world, 60);
    assert_eq!(without, 0);
    assert_ne!(world.owners().next(), before);
}

#[test]
fn stop_leaves_no_time_without_owner_and_ends_idle() {
    let mut world = world(Rules::ALL);
    world.act(Action::Stop(0));
    let without = steps_without_owner(&mut world, 60);
    assert_eq!(without, 0);
    assert!(world.processes[0].table.is_idle());
}

#[test]
fn stop_with_dead_successor_releases() {
    let mut world = world(Rules::ALL);
    world.act(Action::Kill(1));
    world.act(Action::Stop(0));
    let without = steps_without_owner(&mut world, 60);
    assert!(world.processes[0].table.is_idle());
    assert!(world.owners().next().is_some());
    assert!(STEP * without < LEASE, "{without} steps");
}

#[test]
fn owner_keeps_partition_through_long_log_outage() {
    const TEN_MINUTES: u32 = 600;
    let mut world = world(Rules::ALL);
    let owner = world.owners().next();
    world.act(Action::Outage(true));
    for step in 0..TEN_MINUTES {
        world.run_step_without_log();
        world.check().unwrap();
        assert_eq!(world.owners().next(), owner, "after {step} steps");
        assert!(step < 2 || world.processes[0].may_dispatch_unlogged());
    }
    world.act(Action::Outage(false));
    assert_eq!(steps_without_owner(&mut world, 60), 0);
    assert_eq!(world.owners().next(), owner);
}

#[test]
fn ownership_lapses_in_log_outage_without_standby() {
    let mut world = world(Rules::ALL);
    world.act(Action::Kill(1));
    world.act(Action::Outage(true));
    for _ in 0..40 {
        world.run_step_without_log();
        world.check().unwrap();
    }
    assert!(world.owners().next().is_none());
    assert!(!world.processes[0].may_dispatch_unlogged());
}

#[test]
fn claim_restored_from_snapshot_waits_for_former_holder() {
    let mut world = world(Rules::ALL);
    let (record, stays) = (0, false);
    world.act(Action::ChangePreference(0));
    world.act(Action::ChangePreference(0));
    world.act(Action::Advance);
    world.act(Action::Advance);
    world.act(Action::Tick(0));
    world.deliver_all();
    world.act(Action::Tick(3));
    world.act(Action::Append { record, stays });
    world.act(Action::Read(4));
    world.act(Action::Restore(3));
    world.act(Action::Tick(3));
    assert_eq!(world.records_in_flight(), 1);
    world.act(Action::Append { record, stays });
    world.act(Action::Read(3));
    world.check().unwrap();
}
