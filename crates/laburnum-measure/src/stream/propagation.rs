//! How long a change takes to be in force on all nodes, in virtual time.
//!
//! The commit is the real writer's, with the pace of one of many VMs; the way through the log is
//! fixed spans; the last hop and the replacement of a relay are real relays and readers.

mod region;

use std::time::Duration;

use laburnumplank::core::stream::writer::{Builder, Input, Output};
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

/// How many deaths of a relay are measured.
const DEATHS: u64 = 200;

pub(super) fn measure_healthy() -> eyre::Result<Table> {
    let columns = [
        "entry VMs",
        "changes/s a VM",
        "other streams, always busy",
        "p50 (ms)",
        "p99 (ms)",
        "longest (ms)",
    ];
    let title = "From a change's submission until it is in force everywhere, 87,000 a day";
    let mut table = Table::new(title, &columns);
    for entries in ENTRIES {
        for others in [0, 8] {
            let mut spans = commit(entries, others)?;
            spans.sort_unstable();
            let span = |share| millis(quantile(&spans, share) + LOG + RELAY);
            table.row([
                entries.to_string(),
                format!("{:.4}", rate(entries)),
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
        let mut ticket = None;
        loop {
            now = now + STEP;
            for stream in &others {
                writer.push(stream, &1_u8)?;
            }
            if now >= arrival && ticket.is_none() {
                ticket = Some(writer.push(&config, &1_u8)?);
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

pub(super) fn measure_takeover() -> eyre::Result<Table> {
    let columns = ["what fails", "p50 (ms)", "p99 (ms)", "longest (ms)"];
    let title =
        "From the log to all other nodes of a region of 20 when its relay fails just before";
    let mut table = Table::new(title, &columns);
    for fault in [
        region::Fault::None,
        region::Fault::Silent,
        region::Fault::CutOff,
    ] {
        let spans: eyre::Result<Vec<Duration>> = (0..DEATHS)
            .map(|seed| region::outlive(fault, seed))
            .collect();
        let mut spans = spans?;
        spans.sort_unstable();
        table.row([
            fault.label().to_owned(),
            millis(quantile(&spans, 0.5)),
            millis(quantile(&spans, 0.99)),
            millis(quantile(&spans, 1.0)),
        ]);
    }
    Ok(table)
}
