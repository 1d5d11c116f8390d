//! Processor time and memory of a lease table.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant as Clock};

use laburnumplank::core::id::{Partition, Vm};
use laburnumplank::core::lease::{
    Claim, Input, Member, Record, Renewal, Roster, Settings, Table as Leases,
};
use laburnumplank::core::time::{Instant, Stamp};

use super::cell::{INCARNATION, node, preferences};
use crate::report::Table;

/// How many nodes share the partitions.
const NODES: u32 = 160;

/// Makes the table of a node that has read a claim of every partition.
fn leases(partitions: u16) -> Leases {
    let vms: Vec<u32> = (0..NODES).collect();
    let member = |&vm: &u32| Member {
        vm: Vm(vm),
        incarnation: Some(INCARNATION),
    };
    let roster = Roster {
        version: 1,
        members: vms.iter().map(member).collect(),
    };
    let preferences = preferences(&vms, partitions);
    let mut table = Leases::new(node(0), partitions, Settings::default());
    let mut out = Vec::new();
    let now = Instant(0);
    table.step(now, Input::Roster(&roster), &mut out);
    table.step(now, Input::Prefer(&preferences), &mut out);
    table.step(now, Input::Ready, &mut out);
    for (offset, preference) in preferences.iter().enumerate() {
        let [owner, standbys @ ..] = preference.candidates;
        let mut record = empty_record(owner.map_or(0, |node| node.vm.0));
        record.claims.push(Claim {
            partition: preference.partition,
            predecessor: None,
            standbys,
            may_have_unlogged: false,
        });
        let offset = offset as u64;
        let record = &record;
        table.step(now, Input::Read { offset, record }, &mut out);
    }
    table
}

/// Returns a record without claims, renewals or releases.
fn empty_record(vm: u32) -> Record {
    Record {
        holder: node(vm),
        sent: Instant(0),
        stamp: Stamp(0),
        duration_ms: 10_000,
        list_version: 1,
        claims: Vec::new(),
        renewals: Vec::new(),
        releases: Vec::new(),
    }
}

/// Measures the processor time of ticks, reads and the choice of preferred owners.
///
/// # Errors
///
/// Fails when the table does not hold the last renewal.
pub(super) fn steps() -> eyre::Result<Table> {
    const REPEATS: u32 = 2_000;
    let columns = [
        "partitions",
        "tick us",
        "read of 16 renewals us",
        "prefer all ms",
    ];
    let mut table = Table::new("Processor time of a step, 160 entries", &columns);
    for partitions in [64, 1_024, 4_096] {
        let mut leases = leases(partitions);
        let mut out = Vec::new();
        let started = Clock::now();
        for step in 0..REPEATS {
            let now = Instant(0) + Duration::from_micros(u64::from(step));
            leases.step(now, Input::Tick(Stamp(0)), &mut out);
        }
        let tick = started.elapsed() / REPEATS;
        let read = read(&mut leases, REPEATS)?;
        let started = Clock::now();
        let vms: Vec<u32> = (0..NODES).collect();
        black_box(preferences(&vms, partitions));
        let prefer = started.elapsed();
        table.row([
            partitions.to_string(),
            format!("{:.1}", tick.as_secs_f64() * 1e6),
            format!("{:.2}", read.as_secs_f64() * 1e6),
            format!("{:.1}", prefer.as_secs_f64() * 1e3),
        ]);
    }
    Ok(table)
}

/// Measures the time to read one record that renews 16 partitions with the same predecessor.
fn read(leases: &mut Leases, repeats: u32) -> eyre::Result<Duration> {
    const FIRST: u64 = 100_000;
    let mut claim = empty_record(1);
    claim.claims = (0..16)
        .map(|index| Claim {
            partition: Partition(index),
            predecessor: Some(u64::from(index)),
            standbys: [None; 2],
            may_have_unlogged: false,
        })
        .collect();
    let mut out = Vec::new();
    let offset = FIRST;
    let record = &claim;
    let now = Instant(0);
    leases.step(now, Input::Read { offset, record }, &mut out);
    let renewal = |predecessor: u64| {
        let mut record = empty_record(1);
        record.renewals.push(Renewal {
            predecessor,
            standbys: None,
            may_have_unlogged: false,
            partitions: (0..16).map(Partition).collect(),
        });
        record
    };
    let last = FIRST + u64::from(repeats);
    let records: Vec<Record> = (FIRST..last).map(renewal).collect();
    let started = Clock::now();
    for (record, offset) in records.iter().zip(FIRST + 1..) {
        leases.step(now, Input::Read { offset, record }, &mut out);
    }
    let each = started.elapsed() / repeats;
    let snapshot = leases.snapshot();
    let newest = snapshot.entries.first().map(|entry| entry.grant.offset);
    eyre::ensure!(
        newest == Some(last),
        "the newest renewal in the table has offset {newest:?}, not {last}"
    );
    Ok(each)
}

/// Measures the resident memory of a table.
pub(super) fn memory() -> Table {
    const TABLES: usize = 20;
    const PARTITIONS: u16 = 16_384;
    let columns = ["partitions", "B for each partition", "KiB a table"];
    let mut table = Table::new("Resident memory of a table", &columns);
    let before = resident();
    let kept: Vec<Leases> = (0..TABLES).map(|_| leases(PARTITIONS)).collect();
    let bytes = resident().saturating_sub(before) / TABLES as u64;
    black_box(kept);
    table.row([
        PARTITIONS.to_string(),
        format!("{:.0}", bytes as f64 / f64::from(PARTITIONS)),
        (bytes / 1_024).to_string(),
    ]);
    table
}

/// Returns this process's resident memory, in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}
