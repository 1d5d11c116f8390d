//! Puts an owner's records in the log, many in one append.
//!
//! Records that come within [`APPEND_INTERVAL`] leave together; of several under one key only the
//! newest is written. When the log is slow, a few appends are under way at once: the load that this
//! answers is a burst of lookups, each of which would wait for the append before its own. An append
//! that failed or whose answer was lost is sent again under the same number until the log has it, so
//! records are neither lost nor doubled, and the log takes them in order.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use super::port::{Appended, Guard, Log, Record, Topic};
use crate::core::scheduler::id::{Mark, Token};
use crate::core::time::Instant;
use crate::util::clock::Clock;

/// From the start of one append to that of the next, at least: the more records go together, the
/// fewer calls are paid for; half of what an answer takes to show to a caller.
const APPEND_INTERVAL: Duration = Duration::from_millis(12);
/// The pause before an append is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The pause before an append is sent again that has overtaken the one before.
const OVERTAKEN_PAUSE: Duration = Duration::from_millis(15);
/// The most appends under way; the log remembers the last five to recognize repeats.
const MAX_UNDER_WAY: usize = 4;
/// Timers are no finer.
const LAUNCH_PAUSE: Duration = Duration::from_millis(1);
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
    fn put_back(&self, mark: Mark, records: &[Record]) {
        let mut waiting = self.records.borrow_mut();
        waiting.splice(0..0, records.iter().map(|record| (mark, record.clone())));
    }
}

/// Records that go into one append.
struct Batch {
    /// The last mark in it.
    mark: Mark,
    records: Rc<[Record]>,
    /// The number of the append.
    sequence: u64,
    /// When it was sent first.
    began: Instant,
    /// Whether a try is under way.
    is_trying: bool,
    /// Whether the log may have it, although no try was answered with success.
    is_in_doubt: bool,
    /// Whether the log has it.
    is_done: bool,
}

/// Appends that are under way, in order.
struct Pipeline<'a, L: Log, F: Fn(Event)> {
    platform: L,
    queue: &'a Queue,
    token: Token,
    clock: Clock,
    log: Logger,
    told: F,
    batches: VecDeque<Batch>,
    /// The number of the next append.
    sequence: u64,
    /// The last mark in the log.
    written: Mark,
    /// When the next batch may be sent.
    next_start: Instant,
    /// Whether the log takes no appends.
    is_away: bool,
}

/// Writes what is put into `queue` until a later owner is found. `told` hears of what is in the log.
pub async fn run<L: Log + Clone>(
    platform: L,
    queue: Rc<Queue>,
    token: Token,
    first_sequence: u64,
    clock: Clock,
    log: Logger,
    told: impl Fn(Event),
) {
    let mut pipeline = Pipeline {
        platform,
        queue: &queue,
        token,
        clock,
        log,
        told,
        batches: VecDeque::new(),
        sequence: first_sequence,
        written: Mark(0),
        next_start: Instant(0),
        is_away: false,
    };
    let mut tries = FuturesUnordered::new();
    loop {
        while let Some(sequence) = pipeline.launch() {
            tries.push(pipeline.attempt(sequence, Duration::ZERO));
        }
        if pipeline.batches.is_empty() && pipeline.is_away {
            // Nothing new is accepted while the log is away, so nothing else would show its return.
            if !pipeline.probe().await {
                return;
            }
            continue;
        }
        let pause = pipeline.next_start.since(clock.now()).max(LAUNCH_PAUSE);
        tokio::select! {
            Some((sequence, outcome)) = tries.next(), if !tries.is_empty() => {
                match pipeline.answered(sequence, outcome) {
                    Next::Retry(pause) => tries.push(pipeline.attempt(sequence, pause)),
                    Next::Nothing => {}
                    Next::Stop => return,
                }
            }
            () = queue.filled.notified(), if !pipeline.is_full() => {}
            () = tokio::time::sleep(pause), if pipeline.is_launch_due() => {}
        }
    }
}

/// What follows from the answer to a try.
enum Next {
    /// Another try after a pause.
    Retry(Duration),
    /// No further try.
    Nothing,
    /// A later owner has written.
    Stop,
}

impl<L: Log + Clone, F: Fn(Event)> Pipeline<'_, L, F> {
    fn is_full(&self) -> bool {
        self.is_away || self.batches.len() >= MAX_UNDER_WAY
    }

    /// Whether records wait only for the interval between two appends to pass.
    fn is_launch_due(&self) -> bool {
        !self.is_full() && !self.queue.is_empty()
    }

    /// Takes a batch from the queue, if one may be sent now, and returns its number.
    fn launch(&mut self) -> Option<u64> {
        let now = self.clock.now();
        if self.is_full() || now < self.next_start {
            return None;
        }
        let (mark, records) = self.queue.take()?;
        let sequence = self.sequence;
        self.sequence += 1;
        self.next_start = now + APPEND_INTERVAL;
        self.batches.push_back(Batch {
            mark,
            records: records.into(),
            sequence,
            began: now,
            is_trying: true,
            is_in_doubt: false,
            is_done: false,
        });
        Some(sequence)
    }

    /// Returns one try of a batch.
    fn attempt(
        &self,
        sequence: u64,
        pause: Duration,
    ) -> impl Future<Output = (u64, Appended)> + use<L, F> {
        let platform = self.platform.clone();
        let token = self.token;
        let batch = self.batches.iter().find(|batch| batch.sequence == sequence);
        let records = batch.map(|batch| Rc::clone(&batch.records));
        async move {
            tokio::time::sleep(pause).await;
            let records = records.unwrap_or_default();
            let guard = Guard::Writer { token, sequence };
            (
                sequence,
                platform.append(Topic::Jobs, &records, guard).await,
            )
        }
    }

    fn answered(&mut self, sequence: u64, outcome: Appended) -> Next {
        let now = self.clock.now();
        let batch = self
            .batches
            .iter_mut()
            .find(|batch| batch.sequence == sequence);
        let Some(batch) = batch else {
            return Next::Nothing;
        };
        batch.is_trying = false;
        let spent = now.since(batch.began);
        let next = match outcome {
            Appended::Fenced => {
                (self.told)(Event::Fenced);
                return Next::Stop;
            }
            Appended::Done => {
                batch.is_done = true;
                Next::Nothing
            }
            // An earlier try was taken and its answer lost.
            Appended::OutOfSequence { expected } if expected > sequence => {
                batch.is_done = true;
                Next::Nothing
            }
            // The append before has not arrived.
            Appended::OutOfSequence { .. } => Next::Retry(OVERTAKEN_PAUSE),
            Appended::Refused => {
                if spent >= REFUSED_AFTER {
                    (self.told)(Event::Refused);
                }
                Next::Retry(RETRY_PAUSE)
            }
            Appended::Unknown | Appended::Moved => {
                batch.is_in_doubt = true;
                Next::Retry(RETRY_PAUSE)
            }
        };
        if let Next::Nothing = next {
            self.settle();
            return next;
        }
        if !self.is_away && spent >= AWAY_AFTER {
            self.is_away = true;
            warn!(self.log, "log takes no appends"; "outcome" => ?outcome,
                "appends" => self.batches.len());
        }
        if self.is_away {
            self.take_back();
        }
        if !self.batches.iter().any(|batch| batch.sequence == sequence) {
            return Next::Nothing;
        }
        if let Some(batch) = self
            .batches
            .iter_mut()
            .find(|batch| batch.sequence == sequence)
        {
            batch.is_trying = true;
        }
        next
    }

    /// Reports the batches that are in the log, with all before them.
    fn settle(&mut self) {
        let mut is_news = false;
        while self.batches.front().is_some_and(|batch| batch.is_done) {
            if let Some(batch) = self.batches.pop_front() {
                self.written = batch.mark;
                is_news = true;
            }
        }
        if !is_news {
            return;
        }
        if std::mem::take(&mut self.is_away) {
            info!(self.log, "log takes appends again");
            (self.told)(Event::Back);
        }
        (self.told)(Event::Durable(self.written));
    }

    /// Puts the last batches that the log surely has not back into the queue, and tells what has
    /// been sent.
    fn take_back(&mut self) {
        while let Some(batch) = self.batches.back() {
            if batch.is_trying || batch.is_in_doubt || batch.is_done {
                break;
            }
            self.queue.put_back(batch.mark, &batch.records);
            self.sequence = batch.sequence;
            self.batches.pop_back();
        }
        let sent = self.batches.back().map_or(self.written, |batch| batch.mark);
        (self.told)(Event::Away(sent));
    }

    /// Tries an empty append after a pause; returns whether this owner may go on.
    async fn probe(&mut self) -> bool {
        tokio::time::sleep(RETRY_PAUSE).await;
        let guard = Guard::Writer {
            token: self.token,
            sequence: self.sequence,
        };
        match self.platform.append(Topic::Jobs, &[], guard).await {
            Appended::Done => {
                self.is_away = false;
                info!(self.log, "log takes appends again");
                (self.told)(Event::Back);
                true
            }
            Appended::Fenced => {
                (self.told)(Event::Fenced);
                false
            }
            _ => true,
        }
    }
}
