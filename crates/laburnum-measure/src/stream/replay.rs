//! Time and memory to read 100,000 records from the start.

use std::time::Instant as Clock;

use laburnumplank::core::config::{Change, Store, Version};
use laburnumplank::core::stream::reader::{Input, Output, Reader};
use laburnumplank::core::stream::snapshot::Content;
use laburnumplank::core::stream::{Batch, Body, Sequence, encode};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::log::{Entry, Page};

use super::{change, node, resident_kb};
use crate::report::Table;

const RECORDS: u64 = 100_000;

/// How many entries a page has.
const PAGE: usize = 100;

/// How many teams the changes touch.
const TEAMS: u64 = 120;

const WRITERS: u64 = 400;

pub(super) fn measure() -> eyre::Result<Table> {
    let columns = [
        "records a batch",
        "bytes in the log",
        "read (ms)",
        "read and applied (ms)",
        "writers remembered",
        "state kept (encoded bytes)",
        "resident memory grew (KB)",
    ];
    let mut table = Table::new("Replay of 100,000 changes from 400 writers", &columns);
    for size in [1, 10, 100] {
        let entries = entries(size)?;
        let bytes: usize = entries.iter().map(|entry| entry.data.len()).sum();
        let (read, _) = replay(&entries, None)?;
        let before = resident_kb();
        let mut store = Store::default();
        let (applied, reader) = replay(&entries, Some(&mut store))?;
        let grown = resident_kb().saturating_sub(before);
        eyre::ensure!(store.version() == Version(RECORDS), "changes are missing");
        let state = encode(&Content {
            next: reader.next(),
            writers: reader.writers().clone(),
            state: store.state(),
        })?;
        table.row([
            size.to_string(),
            bytes.to_string(),
            format!("{read:.0}"),
            format!("{applied:.0}"),
            reader.writers().len().to_string(),
            state.len().to_string(),
            grown.to_string(),
        ]);
    }
    Ok(table)
}

fn entries(size: u64) -> eyre::Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for offset in 0..RECORDS / size {
        let numbers = offset * size..(offset + 1) * size;
        let body = |number| encode(&change(number, Version(number), number % TEAMS)).map(Body);
        let batch = Batch {
            node: node((offset % WRITERS) as u32),
            first: Sequence(offset / WRITERS * size + 1),
            read_position: offset,
            records: numbers.map(body).collect::<Result<_, _>>()?,
        };
        let data = batch.to_entry()?;
        entries.push(Entry { offset, data });
    }
    Ok(entries)
}

/// Reads all entries and applies them if there is a store; returns the milliseconds that it took.
fn replay(entries: &[Entry], mut store: Option<&mut Store>) -> eyre::Result<(f64, Reader<Change>)> {
    let mut reader: Reader<Change> = Reader::new(1);
    let pages = entries.chunks(PAGE).map(|entries| Page {
        first: 0,
        next: entries.last().map_or(0, |entry| entry.offset + 1),
        entries: entries.to_vec(),
    });
    let pages: Vec<Page> = pages.collect();
    let mut records = 0;
    let mut out = Vec::new();
    let start = Clock::now();
    for page in pages {
        reader.step(Instant(0), Input::Page(page), &mut out);
        for output in out.drain(..) {
            let Output::Record(record) = output else {
                continue;
            };
            records += 1;
            if let Some(store) = store.as_deref_mut() {
                store.apply(&record);
            }
        }
    }
    let span = start.elapsed().as_secs_f64() * 1e3;
    eyre::ensure!(records == RECORDS, "records are missing");
    Ok((span, reader))
}
