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
use laburnum_derive::value;
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
/// An append without an answer is tried once more after so long: a slow log answers within 240 ms.
const HEDGE_AFTER: Duration = Duration::from_millis(300);
/// The most tries of one append, or probes, under way.
const MAX_TRIES: usize = 5;
/// From one probe of a log that is away to the next: what clients try meanwhile is refused.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// The log counts as away when an append is not answered at all for so long: at its slowest, four
/// appends take 720 ms.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// Timers are no finer.
const LEAST_PAUSE: Duration = Duration::from_millis(1);
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
    /// When the last try left.
    tried_at: Instant,
    /// How many tries are under way.
    tries: usize,
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
    /// When the log was probed last, while it is away.
    probed_at: Instant,
    /// How many probes are under way.
    probes: usize,
}

/// What an append is for.
#[value]
enum Purpose {
    /// The batch of this number.
    Batch(u64),
    /// To see whether the log takes appends again; it has no records.
    Probe,
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
        probed_at: Instant(0),
        probes: 0,
    };
    let mut tries = FuturesUnordered::new();
    loop {
        while let Some(purpose) = pipeline.next_try() {
            tries.push(pipeline.attempt(purpose, Duration::ZERO));
        }
        let pause = pipeline.pause();
        tokio::select! {
            Some((purpose, outcome)) = tries.next(), if !tries.is_empty() => {
                match pipeline.answered(purpose, outcome) {
                    Next::Retry(pause) => tries.push(pipeline.attempt(purpose, pause)),
                    Next::Nothing => {}
                    Next::Stop => return,
                }
            }
            () = queue.filled.notified(), if !pipeline.is_full() => {}
            () = tokio::time::sleep(pause.unwrap_or_default()), if pause.is_some() => {}
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
        // The log takes any number as the first of a writer: one that overtakes the first append
        // would make the log take that for a repeat, and its records would be lost.
        let most = if self.written == Mark(0) {
            1
        } else {
            MAX_UNDER_WAY
        };
        self.is_away || self.batches.len() >= most
    }

    /// Returns how long to wait for the next try that is due by the clock, if any is to come.
    fn pause(&self) -> Option<Duration> {
        let now = self.clock.now();
        let launch = (!self.is_full() && !self.queue.is_empty()).then_some(self.next_start);
        let hedge = self
            .batches
            .front()
            .filter(|batch| batch.tries < MAX_TRIES)
            .map(|batch| batch.tried_at + HEDGE_AFTER);
        let away = self
            .batches
            .front()
            .filter(|_| !self.is_away)
            .map(|batch| batch.began + SILENT_AFTER);
        let probe = self
            .is_probe_due()
            .then_some(self.probed_at + PROBE_INTERVAL);
        let due = [launch, hedge, away, probe].into_iter().flatten().min()?;
        Some(due.since(now).max(LEAST_PAUSE))
    }

    fn is_probe_due(&self) -> bool {
        self.is_away && self.batches.is_empty() && self.probes < MAX_TRIES
    }

    /// Returns what is to be tried now, and notes it as under way.
    fn next_try(&mut self) -> Option<Purpose> {
        let now = self.clock.now();
        self.note_silence(now);
        if self.is_probe_due() && now >= self.probed_at + PROBE_INTERVAL {
            self.probed_at = now;
            self.probes += 1;
            return Some(Purpose::Probe);
        }
        self.hedge(now).or_else(|| self.launch(now))
    }

    /// Notes that the log is away when the first append is not answered at all.
    fn note_silence(&mut self, now: Instant) {
        let is_silent = self
            .batches
            .front()
            .is_some_and(|batch| now.since(batch.began) >= SILENT_AFTER);
        if is_silent && !self.is_away {
            self.went_away("no answer");
            self.take_back();
        }
    }

    fn went_away(&mut self, outcome: &str) {
        self.is_away = true;
        self.probed_at = self.clock.now();
        warn!(self.log, "log takes no appends"; "outcome" => outcome,
            "appends" => self.batches.len());
    }

    /// Tries the first batch once more while its last try is not answered: its connection may have
    /// gone silent. The log takes only one of them.
    fn hedge(&mut self, now: Instant) -> Option<Purpose> {
        let batch = self.batches.front_mut()?;
        if batch.tries >= MAX_TRIES || now < batch.tried_at + HEDGE_AFTER {
            return None;
        }
        batch.tried_at = now;
        batch.tries += 1;
        Some(Purpose::Batch(batch.sequence))
    }

    /// Takes a batch from the queue, if one may be sent now.
    fn launch(&mut self, now: Instant) -> Option<Purpose> {
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
            tried_at: now,
            tries: 1,
            is_in_doubt: false,
            is_done: false,
        });
        Some(Purpose::Batch(sequence))
    }

    fn batch(&mut self, sequence: u64) -> Option<&mut Batch> {
        let mut batches = self.batches.iter_mut();
        batches.find(|batch| batch.sequence == sequence)
    }

    /// Returns one append.
    fn attempt(
        &mut self,
        purpose: Purpose,
        pause: Duration,
    ) -> impl Future<Output = (Purpose, Appended)> + use<L, F> {
        let platform = self.platform.clone();
        let token = self.token;
        let (sequence, records) = match purpose {
            Purpose::Probe => (self.sequence, None),
            Purpose::Batch(sequence) => {
                let batch = self.batch(sequence);
                (sequence, batch.map(|batch| Rc::clone(&batch.records)))
            }
        };
        async move {
            tokio::time::sleep(pause).await;
            let records = records.unwrap_or_default();
            let guard = Guard::Writer { token, sequence };
            let outcome = platform.append(Topic::Jobs, &records, guard).await;
            (purpose, outcome)
        }
    }

    /// Takes the answer to a probe in.
    fn probed(&mut self, outcome: Appended) -> Next {
        self.probes -= 1;
        match outcome {
            Appended::Fenced => return self.fenced(),
            Appended::Done if self.is_away => self.came_back(),
            _ => {}
        }
        Next::Nothing
    }

    fn came_back(&mut self) {
        self.is_away = false;
        let now = self.clock.now();
        for batch in &mut self.batches {
            batch.began = now;
        }
        info!(self.log, "log takes appends again");
        (self.told)(Event::Back);
    }

    fn fenced(&self) -> Next {
        (self.told)(Event::Fenced);
        Next::Stop
    }

    fn answered(&mut self, purpose: Purpose, outcome: Appended) -> Next {
        let Purpose::Batch(sequence) = purpose else {
            return self.probed(outcome);
        };
        let now = self.clock.now();
        let Some(batch) = self.batch(sequence) else {
            return Next::Nothing;
        };
        batch.tries -= 1;
        let spent = now.since(batch.began);
        let pause = match outcome {
            Appended::Fenced => return self.fenced(),
            Appended::Done => None,
            // An earlier try was taken and its answer lost.
            Appended::OutOfSequence { expected } if expected > sequence => None,
            // The append before has not arrived.
            Appended::OutOfSequence { .. } => Some(OVERTAKEN_PAUSE),
            Appended::Refused => Some(RETRY_PAUSE),
            Appended::Unknown | Appended::Moved => {
                batch.is_in_doubt = true;
                Some(RETRY_PAUSE)
            }
        };
        let Some(pause) = pause else {
            batch.is_done = true;
            self.settle();
            return Next::Nothing;
        };
        if outcome == Appended::Refused && spent >= REFUSED_AFTER {
            (self.told)(Event::Refused);
        }
        if !self.is_away && spent >= AWAY_AFTER {
            self.went_away(&format!("{outcome:?}"));
        }
        if self.is_away {
            self.take_back();
        }
        match self.batch(sequence) {
            // Another try is under way.
            Some(batch) if batch.tries > 0 => Next::Nothing,
            Some(batch) => {
                batch.tries += 1;
                batch.tried_at = now + pause;
                Next::Retry(pause)
            }
            None => Next::Nothing,
        }
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
        if self.is_away {
            self.came_back();
        }
        (self.told)(Event::Durable(self.written));
    }

    /// Puts the last batches that the log surely has not back into the queue, and tells what has
    /// been sent.
    fn take_back(&mut self) {
        while let Some(batch) = self.batches.back() {
            if batch.tries > 0 || batch.is_in_doubt || batch.is_done {
                break;
            }
            self.queue.put_back(batch.mark, &batch.records);
            self.sequence = batch.sequence;
            self.batches.pop_back();
        }
        let sent = self.batches.back().map_or(self.written, |batch| batch.mark);
        (self.told)(Event::Away(sent));
    }
}
