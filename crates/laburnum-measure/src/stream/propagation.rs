//! How long a change takes to be in force on all nodes, in virtual time.
//!
//! The commit is the real writer's, with the pace of one of many VMs; the way through the log is
//! fixed spans; the last hop and the replacement of a relay are real relays and readers.

use std::time::Duration;

use laburnum_testkit::fake::{Fault, Region};
use laburnumplank::core::stream::funnel::{self, FUNNELS, Funnel};
use laburnumplank::core::stream::relay::Rules;
use laburnumplank::core::stream::writer::{BatchCopy, Builder, Input, Output};
use laburnumplank::core::stream::{Batch, Body, Name, Sequence};
use laburnumplank::core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::{CHANGES_PER_DAY, DAY_S, ENTRIES, millis, name, node, quantile};
use crate::report::Table;

/// An append and its read by a relay: twice the way between regions, and a millisecond in the log.
const LOG: Duration = Duration::from_millis(17);

/// From a relay to its followers in another data centre.
const RELAY: Duration = Duration::from_micros(1_500);

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(5);

/// How many changes are measured per case.
const CHANGES: usize = 2_000;

/// How many nodes a measured region has.
const REGION_NODES: usize = 20;

/// How many deaths of a relay are measured.
const DEATHS: u64 = 200;

pub(super) fn measure_healthy() -> eyre::Result<Table> {
    let columns = [
        "entry VMs",
        "changes/s a VM",
        "VMs that append",
        "other streams, always busy",
        "p50 (ms)",
        "p99 (ms)",
        "longest (ms)",
    ];
    let title = "From a change's submission until it is in force everywhere, 87,000 a day";
    let mut table = Table::new(title, &columns);
    for entries in ENTRIES {
        for (others, is_joined) in [(0, false), (8, false), (0, true), (8, true)] {
            if is_joined && entries as usize <= FUNNELS {
                continue;
            }
            let mut spans = if is_joined {
                commit_by_funnel(others)?
            } else {
                commit(entries, others)?
            };
            spans.sort_unstable();
            let way = if is_joined {
                LOG + RELAY * 2
            } else {
                LOG + RELAY
            };
            let span = |share| millis(quantile(&spans, share) + way);
            let appending = if is_joined { FUNNELS as u32 } else { entries };
            table.row([
                entries.to_string(),
                format!("{:.4}", rate(entries)),
                appending.to_string(),
                others.to_string(),
                span(0.5),
                span(0.99),
                span(1.0),
            ]);
        }
    }
    Ok(table)
}

/// Returns how many changes a second one VM takes.
fn rate(entries: u32) -> f64 {
    CHANGES_PER_DAY / DAY_S / f64::from(entries)
}

/// Returns how long changes wait in the writer of one VM beside streams that are always busy.
fn commit(entries: u32, others: u32) -> eyre::Result<Vec<Duration>> {
    let config = name("config");
    let others: Vec<_> = (0..others)
        .map(|number| name(&format!("other-{number}")))
        .collect();
    let builder = Builder::new(node(1), 1).entries(entries);
    let mut writer = builder.urgent(config.clone()).build();
    let mut out = Vec::new();
    for stream in others.iter().chain([&config]) {
        let stream = stream.clone();
        let read = Input::Read {
            stream,
            next: 0,
            last: None,
        };
        writer.step(Instant(0), read, &mut out);
    }
    let mut random = Pcg32::seed_from_u64(u64::from(entries));
    let mut spans = Vec::new();
    let mut now = Instant(0);
    while spans.len() < CHANGES {
        // Changes come far apart, so each is measured alone, at a random time after the last one.
        let pause = random.random_range(0..4_000_000);
        let arrival = now + Duration::from_micros(pause);
        let mut push_id = None;
        loop {
            now = now + STEP;
            for stream in &others {
                writer.push(stream, &1_u8)?;
            }
            if now >= arrival && push_id.is_none() {
                push_id = Some(writer.push(&config, &1_u8)?);
            }
            writer.step(now, Input::Tick, &mut out);
            let mut is_sent = false;
            for output in std::mem::take(&mut out) {
                if let Output::Append { stream, copy, .. } = output {
                    is_sent |= stream == config;
                    let input = Input::Appended {
                        stream,
                        copy,
                        offset: 0,
                    };
                    writer.step(now, input, &mut out);
                }
            }
            out.clear();
            if is_sent {
                spans.push(now.since(arrival));
                break;
            }
        }
    }
    Ok(spans)
}

/// Returns how long changes wait in one of the funnels beside streams that are always busy.
fn commit_by_funnel(others: u32) -> eyre::Result<Vec<Duration>> {
    let config = name("config");
    let others: Vec<_> = (0..others)
        .map(|number| name(&format!("other-{number}")))
        .collect();
    let mut funnel = Funnel::new(FUNNELS as u32, std::slice::from_ref(&config));
    let mut random = Pcg32::seed_from_u64(1);
    let mut out = Vec::new();
    let mut spans = Vec::new();
    let mut now = Instant(0);
    while spans.len() < CHANGES {
        let arrival = now + Duration::from_micros(random.random_range(0..1_000_000));
        let mut is_offered = false;
        let mut is_sent = false;
        while !is_sent {
            now = now + STEP;
            for stream in &others {
                funnel.step(now, offer(stream)?, &mut out);
            }
            if now >= arrival && !is_offered {
                is_offered = true;
                funnel.step(now, offer(&config)?, &mut out);
            }
            funnel.step(now, funnel::Input::Tick, &mut out);
            for output in std::mem::take(&mut out) {
                if let funnel::Output::Append { stream, number, .. } = output {
                    is_sent |= stream == config;
                    let offset = 0;
                    let input = funnel::Input::Appended {
                        stream,
                        number,
                        offset,
                    };
                    funnel.step(now, input, &mut out);
                }
            }
            out.clear();
        }
        spans.push(now.since(arrival));
    }
    Ok(spans)
}

/// Returns a small entry that a writer hands to a funnel.
fn offer(stream: &Name) -> eyre::Result<funnel::Input> {
    let batch = Batch {
        node: node(2),
        first: Sequence(1),
        read_position: 0,
        records: vec![Body(vec![1])],
    };
    let copy = BatchCopy {
        first: batch.first,
        read_position: batch.read_position,
    };
    Ok(funnel::Input::Offered {
        from: batch.node,
        stream: stream.clone(),
        copy,
        bytes: batch.to_entry()?,
    })
}

pub(super) fn measure_takeover() -> eyre::Result<Table> {
    let columns = ["what fails", "p50 (ms)", "p99 (ms)", "longest (ms)"];
    let title =
        "From the log to all other nodes of a region of 20 when its relay fails just before";
    let mut table = Table::new(title, &columns);
    for (label, fault) in [
        ("nothing", Fault::None),
        ("the relay dies", Fault::Silent),
        ("the relay loses the log", Fault::CutOff),
    ] {
        let spans: eyre::Result<Vec<Duration>> =
            (0..DEATHS).map(|seed| outlive(fault, seed)).collect();
        let mut spans = spans?;
        spans.sort_unstable();
        table.row([
            label.to_owned(),
            millis(quantile(&spans, 0.5)),
            millis(quantile(&spans, 0.99)),
            millis(quantile(&spans, 1.0)),
        ]);
    }
    Ok(table)
}

/// Breaks the relay of a region at a random time, appends a record and returns how long it takes
/// until all other nodes have it.
fn outlive(fault: Fault, seed: u64) -> eyre::Result<Duration> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut region = Region::new(REGION_NODES, STEP, Rules::default());
    region.run(Duration::from_millis(random.random_range(4_000..8_000)));
    let relays = region.direct();
    eyre::ensure!(relays.len() == 1, "{} nodes read the log", relays.len());
    region.members[relays[0]].fault = fault;
    region.append();
    let start = region.now;
    let complete = region.run(Duration::from_secs(10));
    let complete = complete.ok_or_else(|| eyre::eyre!("a node never got the record"))?;
    Ok(complete.since(start))
}
