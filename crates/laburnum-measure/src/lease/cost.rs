//! What a table costs in time and memory.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant as Clock};

use laburnumplank::core::id::{Partition, Vm};
use laburnumplank::core::lease::{
    Claim, Input, Member, Record, Renewal, Roster, Settings, Table as Leases,
};
use laburnumplank::core::time::{Instant, Stamp};

use super::cell::{RUN, node, preferences};
use crate::report::Table;

/// How many nodes share the partitions.
const NODES: u32 = 160;

/// Makes the table of a node that has read a claim of every partition.
fn leases(partitions: u16) -> Leases {
    let vms: Vec<u32> = (0..NODES).collect();
    let member = |&vm: &u32| Member {
        vm: Vm(vm),
        incarnation: Some(RUN),
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
        let mut record = empty(owner.map_or(0, |node| node.vm.0));
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

/// Returns a record of a node that says nothing.
fn empty(vm: u32) -> Record {
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

/// Measures the processor time of a step.
///
/// # Errors
///
/// Fails when the table does not take the renewals.
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
        let begun = Clock::now();
        for step in 0..REPEATS {
            let now = Instant(0) + Duration::from_micros(u64::from(step));
            leases.step(now, Input::Tick(Stamp(0)), &mut out);
        }
        let tick = begun.elapsed() / REPEATS;
        let read = read(&mut leases, REPEATS)?;
        let begun = Clock::now();
        let vms: Vec<u32> = (0..NODES).collect();
        black_box(preferences(&vms, partitions));
        let prefer = begun.elapsed();
        table.row([
            partitions.to_string(),
            format!("{:.1}", tick.as_secs_f64() * 1e6),
            format!("{:.2}", read.as_secs_f64() * 1e6),
            format!("{:.1}", prefer.as_secs_f64() * 1e3),
        ]);
    }
    Ok(table)
}

/// Measures the reading of a node's renewals, 16 partitions of one predecessor.
fn read(leases: &mut Leases, repeats: u32) -> eyre::Result<Duration> {
    const FIRST: u64 = 100_000;
    let mut claim = empty(1);
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
        let mut record = empty(1);
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
    let begun = Clock::now();
    for (record, offset) in records.iter().zip(FIRST + 1..) {
        leases.step(now, Input::Read { offset, record }, &mut out);
    }
    let each = begun.elapsed() / repeats;
    let snapshot = leases.snapshot();
    let newest = snapshot.entries.first().map(|entry| entry.grant.offset);
    eyre::ensure!(
        newest == Some(last),
        "the newest record is {newest:?}, not {last}"
    );
    Ok(each)
}

/// Measures the memory of a table.
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
