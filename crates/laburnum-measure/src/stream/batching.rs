//! Appends and bytes of one VM against the records that are pushed, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumplank::core::stream::writer::{Builder, Input, Output, PushId, Writer};
use laburnumplank::core::time::Instant;

use super::{ENTRIES, millis, name, node, quantile};
use crate::report::Table;

/// How long the log takes to answer an append.
const APPEND: Duration = Duration::from_millis(20);

/// The measured virtual time.
const SPAN: Duration = Duration::from_secs(60);

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// The encoded size of a record, about that of a small change.
const RECORD_BYTES: usize = 150;

const RATES: [u64; 4] = [1, 10, 100, 1_000];

/// What one VM did.
#[derive(Default)]
struct Count {
    appends: u64,
    bytes: u64,
    records: u64,
    waits: Vec<Duration>,
}

pub(super) fn measure() -> eyre::Result<Table> {
    let columns = [
        "entry VMs",
        "records/s a VM",
        "appends/s a VM",
        "appends/s all VMs",
        "records a batch",
        "bytes/s a VM",
        "durable p50 (ms)",
        "durable p99 (ms)",
    ];
    let mut table = Table::new(
        "Group commit of one stream (60 s of virtual time)",
        &columns,
    );
    for entries in ENTRIES {
        for rate in RATES {
            let mut count = simulate(entries, rate)?;
            count.waits.sort_unstable();
            let seconds = SPAN.as_secs_f64();
            let appends = count.appends as f64 / seconds;
            table.row([
                entries.to_string(),
                rate.to_string(),
                format!("{appends:.2}"),
                format!("{:.0}", appends * f64::from(entries)),
                format!("{:.1}", count.records as f64 / count.appends as f64),
                format!("{:.0}", count.bytes as f64 / seconds),
                millis(quantile(&count.waits, 0.5)),
                millis(quantile(&count.waits, 0.99)),
            ]);
        }
    }
    Ok(table)
}

fn simulate(entries: u32, rate: u64) -> eyre::Result<Count> {
    let stream = name("records");
    let mut writer: Writer = Builder::new(node(1), 1).entries(entries).build();
    let mut count = Count::default();
    let mut pushed: BTreeMap<PushId, Instant> = BTreeMap::new();
    let mut answers: Vec<(Instant, Input)> = Vec::new();
    let mut out = Vec::new();
    let record = "x".repeat(RECORD_BYTES);
    let read = Input::Read {
        stream: stream.clone(),
        next: 0,
        last: None,
    };
    writer.step(Instant(0), read, &mut out);
    let mut now = Instant(0);
    let mut offset = 0;
    let mut records = 0;
    while now < Instant(0) + SPAN {
        now = now + STEP;
        while records < now.0 * rate / 1_000_000 {
            pushed.insert(writer.push(&stream, &record)?, now);
            records += 1;
        }
        writer.step(now, Input::Tick, &mut out);
        let due = answers.iter().position(|(at, _)| *at <= now);
        if let Some((_, input)) = due.map(|index| answers.remove(index)) {
            writer.step(now, input, &mut out);
        }
        for output in out.drain(..) {
            match output {
                Output::Append {
                    stream,
                    copy,
                    bytes,
                } => {
                    count.appends += 1;
                    count.bytes += bytes.len() as u64;
                    offset += 1;
                    let input = Input::Appended {
                        stream,
                        copy,
                        offset,
                    };
                    answers.push((now + APPEND, input));
                }
                Output::Durable { push_ids, .. } => {
                    count.records += push_ids.len() as u64;
                    let times = push_ids.iter().filter_map(|push_id| pushed.remove(push_id));
                    count.waits.extend(times.map(|at| now.since(at)));
                }
                Output::Unknown { .. } => eyre::bail!("a record was given up"),
            }
        }
    }
    Ok(count)
}
