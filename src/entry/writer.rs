//! Puts an owner's records in the log, many in one append.
//!
//! One append is under way at a time. While it is, records gather; of several under one key only the
//! newest is written. An append that failed or whose answer was lost is sent again under the same
//! number until the log has it, so records are neither lost nor doubled.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::Notify;

use super::port::{Appended, Guard, Log, Record, Topic};
use crate::core::scheduler::id::{Mark, Token};
use crate::util::clock::Clock;

/// From the start of one append to that of the next, at least: the more records go together, the
/// fewer calls are paid for; half of what an answer takes to show to a caller.
const APPEND_INTERVAL: Duration = Duration::from_millis(12);
/// The pause before an append is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The log counts as away when an append has been under way for so long.
const AWAY_AFTER: Duration = Duration::from_millis(600);
/// The owner is told that the log refuses it when every try of an append was refused for so long: a
/// store that is busy for a moment takes the second or third.
const REFUSED_AFTER: Duration = Duration::from_millis(200);
/// The most bytes of one append.
const MAX_APPEND_BYTES: usize = 1 << 20;

/// What the owner is told.
pub enum Event {
    /// All records up to a mark are in the log.
    Durable(Mark),
    /// The log has taken nothing for a while; what comes after this mark has not been sent.
    Away(Mark),
    /// The log refuses this writer.
    Refused,
    /// The log takes appends again.
    Back,
    /// A later owner has written.
    Fenced,
}

/// Records that wait for the log.
#[derive(Default)]
pub struct Queue {
    records: RefCell<Vec<(Mark, Record)>>,
    filled: Notify,
}

impl Queue {
    /// Adds a record.
    pub fn push(&self, mark: Mark, record: Record) {
        self.records.borrow_mut().push((mark, record));
        self.filled.notify_one();
    }

    /// Drops the records of a key that wait.
    pub fn withdraw(&self, key: &[u8]) {
        let mut waiting = self.records.borrow_mut();
        waiting.retain(|(_, record)| record.key.as_deref() != Some(key));
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.records.borrow().is_empty()
    }

    /// Takes what goes into one append, newest of each key only, and the mark it reaches.
    fn take(&self) -> Option<(Mark, Vec<Record>)> {
        let mut waiting = self.records.borrow_mut();
        let mut bytes = 0;
        let mut count = 0;
        for (_, record) in waiting.iter() {
            bytes += record.value.as_ref().map_or(0, Vec::len);
            if count > 0 && bytes > MAX_APPEND_BYTES {
                break;
            }
            count += 1;
        }
        let batch: Vec<(Mark, Record)> = waiting.drain(..count).collect();
        let mark = batch.last()?.0;
        let mut newest = HashMap::new();
        for (index, (_, record)) in batch.iter().enumerate() {
            newest.insert(record.key.clone(), index);
        }
        let records = batch.into_iter().enumerate();
        let records = records
            .filter(|(index, (_, record))| newest.get(&record.key) == Some(index))
            .map(|(_, (_, record))| record);
        Some((mark, records.collect()))
    }
}

impl Queue {
    /// Puts a batch back in front of what waits.
    fn put_back(&self, mark: Mark, records: Vec<Record>) {
        let mut waiting = self.records.borrow_mut();
        waiting.splice(0..0, records.into_iter().map(|record| (mark, record)));
    }
}

/// Writes what is put into `queue` until a later owner is found. `told` hears of what is in the log.
pub async fn run<L: Log>(
    platform: L,
    queue: Rc<Queue>,
    token: Token,
    first_sequence: u64,
    clock: Clock,
    log: Logger,
    told: impl Fn(Event),
) {
    let mut sequence = first_sequence;
    let mut written = Mark(0);
    let mut is_away = false;
    loop {
        let Some((mark, records)) = queue.take() else {
            if !is_away {
                queue.filled.notified().await;
                continue;
            }
            // Nothing new is accepted while the log is away, so nothing else would show its return.
            tokio::time::sleep(RETRY_PAUSE).await;
            match platform
                .append(Topic::Jobs, &[], Guard::Writer { token, sequence })
                .await
            {
                Appended::Done => {
                    is_away = false;
                    info!(log, "log takes appends again");
                    told(Event::Back);
                }
                Appended::Fenced => {
                    told(Event::Fenced);
                    return;
                }
                _ => {}
            }
            continue;
        };
        let began = clock.now();
        let mut is_in_doubt = false;
        let is_written = loop {
            let guard = Guard::Writer { token, sequence };
            match platform.append(Topic::Jobs, &records, guard).await {
                Appended::Done => break true,
                Appended::Fenced => {
                    told(Event::Fenced);
                    return;
                }
                Appended::OutOfSequence { expected } if expected > sequence => {
                    // An earlier try was taken and its answer lost.
                    break true;
                }
                outcome => {
                    is_in_doubt |= outcome != Appended::Refused;
                    if outcome == Appended::Refused && clock.now().since(began) >= REFUSED_AFTER {
                        told(Event::Refused);
                    }
                    if !is_away && clock.now().since(began) >= AWAY_AFTER {
                        is_away = true;
                        warn!(log, "log takes no appends"; "outcome" => ?outcome,
                            "records" => records.len(), "in_doubt" => is_in_doubt);
                        if !is_in_doubt {
                            break false;
                        }
                        told(Event::Away(mark));
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        };
        if !is_written {
            // The log refused every try: nothing of the batch has left.
            queue.put_back(mark, records);
            told(Event::Away(written));
            continue;
        }
        if std::mem::take(&mut is_away) {
            info!(log, "log takes appends again"; "away_ms" => clock.now().since(began).as_millis() as u64);
            told(Event::Back);
        }
        written = mark;
        sequence += 1;
        told(Event::Durable(mark));
        let spent = clock.now().since(began);
        if let Some(rest) = APPEND_INTERVAL.checked_sub(spent) {
            tokio::time::sleep(rest).await;
        }
    }
}
