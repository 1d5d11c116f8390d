//! Writes an owner's records to the log, in batches.
//!
//! Records that arrive within [`APPEND_INTERVAL`] go into one append; of several records with one key
//! only the newest is written. When the log is slow, a few appends are in flight at once, because in
//! a burst of lookups each record would otherwise wait for the append before its own. An append that
//! failed or whose answer was lost is sent again with the same sequence number until the log has it,
//! so records are neither lost nor duplicated, and the log accepts them in order.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use laburnum_derive::value;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use super::latency::Latency;
use super::port::{AppendCondition, AppendOutcome, Log, Record, Topic};
use crate::core::scheduler::id::{Mark, Token};
use crate::core::time::Instant;
use crate::util::clock::Clock;

/// The minimum time between the starts of two appends. Batching more records into one append saves
/// calls that cost money; this is half of the delay that a caller would notice.
const APPEND_INTERVAL: Duration = Duration::from_millis(12);
/// The pause before an append is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The pause before an append that arrived ahead of its predecessor is sent again.
const OUT_OF_ORDER_PAUSE: Duration = Duration::from_millis(15);
/// The maximum number of appends in flight. The log recognizes repeats of the last five only.
const MAX_IN_FLIGHT: usize = 4;
/// The maximum number of tries of one append in flight, and of probes in flight.
const MAX_TRIES: usize = 5;
/// The interval between probes of an unavailable log. Clients' changes are refused until a probe
/// succeeds.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Appends that took this long are logged: a log usually answers within a tenth of it.
const SLOW_APPEND: Duration = Duration::from_millis(100);
/// The resolution of timers.
const MIN_PAUSE: Duration = Duration::from_millis(1);
/// The log counts as unavailable when an append has been tried without success for this long.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(600);
/// The owner is notified that the log refuses its records when every try of an append has been
/// refused for this long: a store that is busy for a moment accepts the second or third try.
const REFUSED_AFTER: Duration = Duration::from_millis(200);
/// The maximum size of the values in one append, in bytes.
const MAX_APPEND_BYTES: usize = 1 << 20;

/// A notification to the owner.
pub enum Event {
    /// All records up to a mark are in the log. No later owner had fenced the log when the last of the
    /// appends was first sent.
    Durable {
        /// The mark.
        mark: Mark,
        /// When the last append was first sent.
        sent: Instant,
    },
    /// The log is unavailable; the records after this mark have not been sent.
    Unavailable(Mark),
    /// The log keeps refusing an append.
    Refused,
    /// The log accepts appends again.
    Available,
    /// A later owner has written.
    Fenced,
}

/// Records that wait to be appended.
#[derive(Default)]
pub struct Queue {
    records: RefCell<Vec<(Mark, Record)>>,
    /// Notifies of a new record.
    filled: Notify,
}

impl Queue {
    /// Adds a record. `mark` is reached once the record is in the log.
    pub fn push(&self, mark: Mark, record: Record) {
        self.records.borrow_mut().push((mark, record));
        self.filled.notify_one();
    }

    /// Removes the waiting records of a key.
    pub fn withdraw(&self, key: &[u8]) {
        let mut waiting = self.records.borrow_mut();
        waiting.retain(|(_, record)| record.key.as_deref() != Some(key));
    }

    /// Returns how many records wait.
    pub fn len(&self) -> usize {
        self.records.borrow().len()
    }

    /// Whether no record waits. Appends may still be in flight.
    pub fn is_empty(&self) -> bool {
        self.records.borrow().is_empty()
    }

    /// Takes the records of the next append, only the newest of each key, and the mark that it reaches.
    fn take(&self) -> Option<(Mark, Vec<Record>)> {
        let mut waiting = self.records.borrow_mut();
        let mut bytes = 0;
        let mut count = 0;
        // A mark is reached only with all of its records: those of a batch that was put back share one.
        for of_mark in waiting.chunk_by(|(mark, _), (next, _)| mark == next) {
            let values = of_mark
                .iter()
                .filter_map(|(_, record)| record.value.as_ref());
            bytes += values.map(Vec::len).sum::<usize>();
            if count > 0 && bytes > MAX_APPEND_BYTES {
                break;
            }
            count += of_mark.len();
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
    /// Puts the records of a batch back at the front of the queue.
    fn put_back(&self, mark: Mark, records: &[Record]) {
        let mut waiting = self.records.borrow_mut();
        waiting.splice(0..0, records.iter().map(|record| (mark, record.clone())));
    }
}

/// The records of one append, and the state of the append.
struct Batch {
    /// The mark that the log reaches with this batch.
    mark: Mark,
    records: Rc<[Record]>,
    /// The sequence number of the append.
    sequence: u64,
    /// When it was sent first.
    sent_at: Instant,
    /// When it was sent first, or when the log became available again.
    started_at: Instant,
    /// When the last try was or will be sent.
    tried_at: Instant,
    /// How many tries are in flight.
    tries: usize,
    /// Whether the log may have the records although no try was answered with success.
    is_in_doubt: bool,
    /// Whether the log has the records.
    is_done: bool,
}

/// The appends in flight, in order.
struct Pipeline<'a, L: Log, F: Fn(Event)> {
    platform: L,
    queue: &'a Queue,
    token: Token,
    clock: Clock,
    log: Logger,
    on_event: F,
    batches: VecDeque<Batch>,
    /// The sequence number of the next append.
    sequence: u64,
    /// The usual latency of the log.
    latency: Latency,
    /// The last mark in the log.
    written: Mark,
    /// When the next batch may be sent.
    next_start: Instant,
    /// Whether the log is unavailable.
    is_unavailable: bool,
    /// When the log was last probed or became unavailable.
    probed_at: Instant,
    /// How many probes are in flight.
    probes: usize,
}

/// The purpose of an append.
#[value]
enum Purpose {
    /// Write the batch with this sequence number.
    Batch(u64),
    /// Check, with an append of no records, whether the log is available again.
    Probe,
}

/// Writes the records of `queue` until the log reports a later owner. `on_event` receives all
/// notifications.
pub async fn run<L: Log + Clone>(
    platform: L,
    queue: Rc<Queue>,
    token: Token,
    first_sequence: u64,
    clock: Clock,
    log: Logger,
    on_event: impl Fn(Event),
) {
    let mut pipeline = Pipeline {
        platform,
        queue: &queue,
        token,
        clock,
        log,
        on_event,
        batches: VecDeque::new(),
        sequence: first_sequence,
        latency: Latency::default(),
        written: Mark(0),
        next_start: Instant(0),
        is_unavailable: false,
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
                match pipeline.handle_answer(purpose, outcome) {
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

/// What to do after the answer to a try.
enum Next {
    /// Send another try after this pause.
    Retry(Duration),
    /// Send no further try now.
    Nothing,
    /// Stop the writer: a later owner has written.
    Stop,
}

impl<L: Log + Clone, F: Fn(Event)> Pipeline<'_, L, F> {
    /// Whether no further batch may be sent now.
    fn is_full(&self) -> bool {
        // The log accepts any sequence number from a new writer. If a later append arrived ahead of
        // the first one, the log would treat the first one as a repeat and drop its records.
        let limit = if self.written == Mark(0) {
            1
        } else {
            MAX_IN_FLIGHT
        };
        self.is_unavailable || self.batches.len() >= limit
    }

    /// Returns how long to wait until [`Self::next_try`] has something to do; `None` when only a new
    /// record or an answer can change that.
    fn pause(&self) -> Option<Duration> {
        let now = self.clock.now();
        let launch = (!self.is_full() && !self.queue.is_empty()).then_some(self.next_start);
        let hedge = self
            .batches
            .front()
            .filter(|batch| batch.tries < MAX_TRIES)
            .map(|batch| batch.tried_at + self.latency.hedge_after());
        let silence = self
            .batches
            .front()
            .filter(|_| !self.is_unavailable)
            .map(|batch| batch.started_at + self.latency.max_silence());
        let probe = self
            .is_probe_due()
            .then_some(self.probed_at + PROBE_INTERVAL);
        let due = [launch, hedge, silence, probe]
            .into_iter()
            .flatten()
            .min()?;
        Some(due.since(now).max(MIN_PAUSE))
    }

    fn is_probe_due(&self) -> bool {
        self.is_unavailable && self.batches.is_empty() && self.probes < MAX_TRIES
    }

    /// Returns the append that is due now, and counts it as in flight.
    fn next_try(&mut self) -> Option<Purpose> {
        let now = self.clock.now();
        self.check_silence(now);
        if self.is_probe_due() && now >= self.probed_at + PROBE_INTERVAL {
            self.probed_at = now;
            self.probes += 1;
            return Some(Purpose::Probe);
        }
        self.hedge(now).or_else(|| self.launch(now))
    }

    /// Marks the log as unavailable when the first append has had no answer for too long.
    fn check_silence(&mut self, now: Instant) {
        let max_silence = self.latency.max_silence();
        let is_silent = self
            .batches
            .front()
            .is_some_and(|batch| now.since(batch.started_at) >= max_silence);
        if is_silent && !self.is_unavailable {
            self.mark_unavailable("no answer");
            self.requeue_unwritten();
        }
    }

    fn mark_unavailable(&mut self, outcome: &str) {
        self.is_unavailable = true;
        self.probed_at = self.clock.now();
        warn!(self.log, "log takes no appends"; "outcome" => outcome,
            "appends" => self.batches.len());
    }

    /// Sends the first batch once more while its last try is not answered, because the connection may
    /// be dead. The log accepts only one of the tries.
    fn hedge(&mut self, now: Instant) -> Option<Purpose> {
        let hedge_after = self.latency.hedge_after();
        let batch = self.batches.front_mut()?;
        if batch.tries >= MAX_TRIES || now < batch.tried_at + hedge_after {
            return None;
        }
        batch.tried_at = now;
        batch.tries += 1;
        Some(Purpose::Batch(batch.sequence))
    }

    /// Forms a batch from the queue, if one may be sent now.
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
            sent_at: now,
            started_at: now,
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

    /// Returns the future of one append, which starts after `pause`.
    fn attempt(
        &mut self,
        purpose: Purpose,
        pause: Duration,
    ) -> impl Future<Output = (Purpose, AppendOutcome)> + use<L, F> {
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
            let condition = AppendCondition::Writer { token, sequence };
            let outcome = platform.append(Topic::Jobs, &records, condition).await;
            (purpose, outcome)
        }
    }

    fn handle_probe_answer(&mut self, outcome: AppendOutcome) -> Next {
        self.probes -= 1;
        match outcome {
            AppendOutcome::Fenced => return self.stop_fenced(),
            AppendOutcome::Done if self.is_unavailable => self.mark_available(),
            _ => {}
        }
        Next::Nothing
    }

    fn mark_available(&mut self) {
        self.is_unavailable = false;
        let now = self.clock.now();
        for batch in &mut self.batches {
            batch.started_at = now;
        }
        info!(self.log, "log takes appends again");
        (self.on_event)(Event::Available);
    }

    fn stop_fenced(&self) -> Next {
        (self.on_event)(Event::Fenced);
        Next::Stop
    }

    fn handle_answer(&mut self, purpose: Purpose, outcome: AppendOutcome) -> Next {
        let Purpose::Batch(sequence) = purpose else {
            return self.handle_probe_answer(outcome);
        };
        let now = self.clock.now();
        let Some(batch) = self.batch(sequence) else {
            return Next::Nothing;
        };
        batch.tries -= 1;
        let elapsed = now.since(batch.started_at);
        let pause = match outcome {
            AppendOutcome::Fenced => return self.stop_fenced(),
            AppendOutcome::Done => None,
            // An earlier try succeeded, and its answer was lost.
            AppendOutcome::OutOfSequence { expected } if expected > sequence => None,
            // The preceding append has not arrived yet.
            AppendOutcome::OutOfSequence { .. } => Some(OUT_OF_ORDER_PAUSE),
            AppendOutcome::Refused => Some(RETRY_PAUSE),
            AppendOutcome::Unknown | AppendOutcome::Moved => {
                batch.is_in_doubt = true;
                Some(RETRY_PAUSE)
            }
        };
        let Some(pause) = pause else {
            batch.is_done = true;
            self.note_latency(sequence, now);
            self.report_durable();
            return Next::Nothing;
        };
        if outcome == AppendOutcome::Refused && elapsed >= REFUSED_AFTER {
            (self.on_event)(Event::Refused);
        }
        if !self.is_unavailable && elapsed >= UNAVAILABLE_AFTER {
            self.mark_unavailable(&format!("{outcome:?}"));
        }
        if self.is_unavailable {
            self.requeue_unwritten();
        }
        match self.batch(sequence) {
            // Another try is in flight.
            Some(batch) if batch.tries > 0 => Next::Nothing,
            Some(batch) => {
                batch.tries += 1;
                batch.tried_at = now + pause;
                Next::Retry(pause)
            }
            None => Next::Nothing,
        }
    }

    /// Records how long the log took for an append, unless it was unavailable in between.
    fn note_latency(&mut self, sequence: u64, now: Instant) {
        let in_flight = self.batches.len();
        let Some(batch) = self.batch(sequence) else {
            return;
        };
        let took = now.since(batch.sent_at);
        let (records, unanswered) = (batch.records.len(), batch.tries);
        if !batch.is_in_doubt && batch.started_at == batch.sent_at {
            self.latency.note(took);
        }
        if took >= SLOW_APPEND {
            info!(self.log, "append was slow"; "took_ms" => took.as_millis() as u64,
                "records" => records, "unanswered_tries" => unanswered, "in_flight" => in_flight,
                "hedge_after_ms" => self.latency.hedge_after().as_millis() as u64);
        }
    }

    /// Notifies the owner of the batches that are in the log together with all batches before them.
    fn report_durable(&mut self) {
        let mut sent = None;
        while self.batches.front().is_some_and(|batch| batch.is_done) {
            if let Some(batch) = self.batches.pop_front() {
                self.written = batch.mark;
                sent = Some(batch.sent_at);
            }
        }
        let Some(sent) = sent else {
            return;
        };
        if self.is_unavailable {
            self.mark_available();
        }
        (self.on_event)(Event::Durable {
            mark: self.written,
            sent,
        });
    }

    /// Puts the latest batches that are certainly not in the log back into the queue, and notifies the
    /// owner of the last mark that was sent.
    fn requeue_unwritten(&mut self) {
        while let Some(batch) = self.batches.back() {
            if batch.tries > 0 || batch.is_in_doubt || batch.is_done {
                break;
            }
            self.queue.put_back(batch.mark, &batch.records);
            self.sequence = batch.sequence;
            self.batches.pop_back();
        }
        let sent = self.batches.back().map_or(self.written, |batch| batch.mark);
        (self.on_event)(Event::Unavailable(sent));
    }
}
