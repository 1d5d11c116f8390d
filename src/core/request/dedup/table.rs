//! The table of keys of the partition's owner.

use std::collections::BTreeMap;

use laburnum_derive::state;

use super::record::{Attempt, Gap, Outcome, Record, Serial, Term};
use super::{Entry, Input, Now, Output, Progress, Rules, Standing, Submission, answer_of};
use crate::core::error::{Effect, Kind};
use crate::core::id::Key;
use crate::core::request::call::{Answer, Id};
use crate::core::time::{Instant, Stamp};

/// What an append that is not durable yet describes.
#[state]
enum Pending {
    Opened,
    Intent {
        key: Key,
        /// Whether the key was handed over for its run meanwhile.
        ran: bool,
    },
}

/// The keys of one partition, as its owner knows them.
#[state]
pub struct Table {
    rules: Rules,
    term: Term,
    standing: Standing,
    entries: BTreeMap<Key, Entry>,
    gaps: Vec<Gap>,
    pending: BTreeMap<Serial, Pending>,
    serial: Serial,
    /// Whether the opening of this term is durable.
    is_open: bool,
    /// The highest watermark that may be in the log.
    mark: Stamp,
    marked: Instant,
    /// The newest wall-clock time seen, so that time never goes back.
    stamp: Stamp,
}

impl Table {
    /// Makes an empty table.
    pub(super) fn new(rules: Rules, term: Term) -> Table {
        Table {
            rules,
            term,
            standing: Standing::default(),
            entries: BTreeMap::new(),
            gaps: Vec::new(),
            pending: BTreeMap::new(),
            serial: Serial(0),
            is_open: false,
            mark: Stamp(0),
            marked: Instant(0),
            stamp: Stamp(0),
        }
    }

    /// Fills the table with what the records said and logs the opening of the term.
    pub(super) fn open(
        &mut self,
        now: Now,
        entries: BTreeMap<Key, Entry>,
        floor: Stamp,
        mut gaps: Vec<Gap>,
        gap: Option<Gap>,
        out: &mut Vec<Output>,
    ) {
        gaps.extend(gap);
        self.entries = entries;
        self.gaps = gaps;
        self.mark = floor;
        self.marked = now.instant;
        self.see(now);
        let term = self.term;
        let serial = self.append(Record::Opened { term, floor, gap }, out);
        self.pending.insert(serial, Pending::Opened);
    }

    /// Handles one event.
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Output>) {
        self.see(now);
        match input {
            Input::Submit(submission) => self.submit(now, submission, out),
            Input::Finished { key, outcome } => self.finish(key, outcome, out),
            Input::GaveUp { id, key, answer } => self.give_up(now, id, key, answer, out),
            Input::Left { id, key } => self.leave(id, key, out),
            Input::Durable(serial) => self.durable(now, serial, out),
            Input::Read(record) => self.read(record),
            Input::Standing(standing) => self.stand(standing, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Returns how many keys were handed over for their run without a durable intent.
    ///
    /// While it is not zero the owner must not renew its ownership by a record: a standby takes a
    /// renewal as proof that all earlier runs are in the log.
    pub fn undescribed(&self) -> usize {
        self.undescribed_keys().count()
    }

    /// Returns how many keys are being logged or run. An owner that hands the partition over waits
    /// until there are none, so that the log describes every outcome.
    pub fn unfinished(&self) -> usize {
        let is_unfinished = |entry: &&Entry| {
            matches!(
                entry.progress,
                Progress::Logging(_) | Progress::Running { .. }
            )
        };
        self.entries.values().filter(is_unfinished).count()
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns records that describe the table, for rewriting a stream before old records expire.
    pub fn snapshot(&self) -> Vec<Record> {
        let (term, floor) = (self.term, self.mark);
        let opened = |gap| Record::Opened { term, floor, gap };
        let mut records = vec![opened(None)];
        records.extend(self.gaps.iter().map(|gap| opened(Some(*gap))));
        for (key, entry) in &self.entries {
            records.extend(entry.records(*key));
        }
        records
    }

    /// Keeps the wall clock from going back.
    fn see(&mut self, now: Now) {
        self.stamp = self.stamp.max(now.stamp);
    }

    fn submit(&mut self, now: Now, submission: Submission, out: &mut Vec<Output>) {
        let Submission { id, key, .. } = submission;
        if now.instant >= self.standing.until {
            return refuse(
                id,
                Kind::NoOwner,
                "the ownership has ended",
                out,
                Effect::Unknown,
            );
        }
        let Some(entry) = self.entries.get_mut(&key) else {
            return self.submit_new(submission, out);
        };
        if matches!(entry.progress, Progress::Void) {
            return self.submit_new(submission, out);
        }
        if entry.fingerprint != submission.fingerprint {
            let message = "the key was used with another request";
            return refuse(id, Kind::KeyReused, message, out, Effect::NotRun);
        }
        match &entry.progress {
            Progress::Ended(outcome) => out.push(Output::Answer {
                id,
                answer: answer_of(outcome),
            }),
            _ => entry.waiting.push(id),
        }
    }

    /// Takes a key that surely has not run in this term, or refuses it.
    fn submit_new(&mut self, submission: Submission, out: &mut Vec<Output>) {
        let Submission { id, key, .. } = submission;
        let Some(created) = key.created() else {
            let message = "the key is not a UUID version 7";
            return refuse(id, Kind::KeyRequired, message, out, Effect::NotRun);
        };
        let is_early = created > self.stamp + self.rules.skew;
        if is_early || created + self.rules.retention < self.stamp {
            let message = "the key was created outside the accepted window";
            return refuse(id, Kind::KeyExpired, message, out, Effect::Unknown);
        }
        let is_known = self.entries.contains_key(&key);
        if !is_known && self.gaps.iter().any(|gap| gap.contains(created)) {
            let message = "an earlier owner may have run the request";
            return refuse(id, Kind::AnswerLost, message, out, Effect::Unknown);
        }
        let is_full = !is_known && self.entries.len() >= self.rules.keys;
        if is_full || !submission.room {
            let message = "the queue is full; come back later";
            return refuse(id, Kind::Overloaded, message, out, Effect::NotRun);
        }
        let may_skip_log = self.may_skip_log(created);
        if !self.standing.log_up && !may_skip_log {
            let message = "the log is down; come back later";
            return refuse(id, Kind::LogDown, message, out, Effect::NotRun);
        }
        self.start(submission, out);
    }

    /// Logs the intent of a key, and runs it if the intent need not be durable.
    fn start(&mut self, submission: Submission, out: &mut Vec<Output>) {
        let Submission {
            id,
            key,
            fingerprint,
            ..
        } = submission;
        let attempt = self.next_attempt(key);
        let intent = Record::Intent {
            key,
            attempt,
            fingerprint,
        };
        let serial = self.append(intent, out);
        self.pending
            .insert(serial, Pending::Intent { key, ran: false });
        let entry = Entry {
            fingerprint,
            attempt,
            progress: Progress::Logging(serial),
            waiting: vec![id],
        };
        self.entries.insert(key, entry);
        if !self.standing.log_up || !self.rules.intent_first {
            self.run(key, Some(serial), out);
        }
    }

    /// Returns the number of the next intent for a key.
    fn next_attempt(&self, key: Key) -> Attempt {
        let last = self.entries.get(&key).map(|entry| entry.attempt);
        let of_term = last.filter(|attempt| attempt.term == self.term);
        Attempt {
            term: self.term,
            number: of_term.map_or(0, |attempt| attempt.number) + 1,
        }
    }

    /// Returns whether a key may run before its intent is durable.
    fn may_skip_log(&self, created: Stamp) -> bool {
        let is_above_mark = created > self.mark || !self.rules.watermark;
        !self.rules.intent_first || (self.is_open && self.standing.promised && is_above_mark)
    }

    /// Hands a key over for its run.
    fn run(&mut self, key: Key, undurable: Option<Serial>, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let Some(&id) = entry.waiting.first() else {
            return;
        };
        entry.progress = Progress::Running {
            runner: id,
            undurable,
        };
        self.set_ran(undurable, true);
        out.push(Output::Run { id, key });
    }

    /// Notes whether the intent in a pending record was handed over for its run.
    fn set_ran(&mut self, serial: Option<Serial>, has_run: bool) {
        let pending = serial.and_then(|serial| self.pending.get_mut(&serial));
        if let Some(Pending::Intent { ran, .. }) = pending {
            *ran = has_run;
        }
    }

    fn finish(&mut self, key: Key, outcome: Outcome, out: &mut Vec<Output>) {
        let most = self.rules.answer_bytes;
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !matches!(entry.progress, Progress::Running { .. }) {
            return;
        }
        let answer = answer_of(&outcome);
        for id in entry.waiting.drain(..) {
            let answer = answer.clone();
            out.push(Output::Answer { id, answer });
        }
        let outcome = outcome.bounded(most);
        entry.progress = Progress::Ended(outcome.clone());
        let record = Record::Ended {
            key,
            attempt: entry.attempt,
            fingerprint: entry.fingerprint,
            outcome,
        };
        self.append(record, out);
    }

    fn give_up(&mut self, now: Now, id: Id, key: Key, answer: Answer, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let Progress::Running { runner, undurable } = entry.progress else {
            return;
        };
        if runner != id {
            return;
        }
        entry.waiting.retain(|waiting| *waiting != id);
        let has_others = !entry.waiting.is_empty();
        let is_known = now.instant < self.standing.until && !has_others;
        let effect = if is_known {
            answer.effect
        } else {
            Effect::Unknown
        };
        let answer = answer.with_effect(effect);
        out.push(Output::Answer { id, answer });
        if has_others {
            self.run(key, undurable, out);
        } else {
            self.void(key, out);
        }
    }

    fn leave(&mut self, id: Id, key: Key, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.waiting.retain(|waiting| *waiting != id);
        if entry.waiting.is_empty() && matches!(entry.progress, Progress::Logging(_)) {
            self.void(key, out);
        }
    }

    /// Marks the newest intent of a key as surely not dispatched.
    fn void(&mut self, key: Key, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let undurable = match entry.progress {
            Progress::Running { undurable, .. } => undurable,
            _ => None,
        };
        entry.progress = Progress::Void;
        let attempt = entry.attempt;
        self.set_ran(undurable, false);
        self.append(Record::Void { key, attempt }, out);
    }

    fn durable(&mut self, now: Now, serial: Serial, out: &mut Vec<Output>) {
        match self.pending.remove(&serial) {
            Some(Pending::Opened) => self.is_open = true,
            Some(Pending::Intent { key, .. }) => self.durable_intent(now, serial, key, out),
            None => {}
        }
    }

    fn durable_intent(&mut self, now: Now, serial: Serial, key: Key, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        match &mut entry.progress {
            Progress::Logging(wanted) if *wanted == serial => self.begin(now, key, out),
            Progress::Running { undurable, .. } if *undurable == Some(serial) => *undurable = None,
            _ => {}
        }
    }

    /// Runs a key whose intent is durable, unless the ownership has ended meanwhile.
    fn begin(&mut self, now: Now, key: Key, out: &mut Vec<Output>) {
        if now.instant < self.standing.until {
            return self.run(key, None, out);
        }
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let waiting = std::mem::take(&mut entry.waiting);
        for id in waiting {
            let message = "the ownership has ended";
            refuse(id, Kind::NoOwner, message, out, Effect::Unknown);
        }
        self.void(key, out);
    }

    /// Learns the outcome of a run of an earlier owner.
    fn read(&mut self, record: Record) {
        let Record::Ended {
            key,
            attempt,
            fingerprint,
            outcome,
        } = record
        else {
            return;
        };
        let known = self.entries.get(&key).map(|entry| &entry.progress);
        let is_open = matches!(known, None | Some(Progress::Ended(Outcome::Unknown)));
        if attempt.term >= self.term || !is_open {
            return;
        }
        let entry = Entry {
            fingerprint,
            attempt,
            progress: Progress::Ended(outcome),
            waiting: Vec::new(),
        };
        self.entries.insert(key, entry);
    }

    /// Takes a new standing; keys that wait for a log that went down run if they may.
    fn stand(&mut self, standing: Standing, out: &mut Vec<Output>) {
        self.standing = standing;
        if standing.log_up || !standing.promised {
            return;
        }
        let waiting = |entry: &Entry| match entry.progress {
            Progress::Logging(serial) => Some(serial),
            _ => None,
        };
        for key in self.waiting_keys() {
            let serial = self.entries.get(&key).and_then(waiting);
            let may_run = key
                .created()
                .is_some_and(|created| self.may_skip_log(created));
            if let (Some(serial), true) = (serial, may_run) {
                self.run(key, Some(serial), out);
            }
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        self.expire();
        let is_due = now.instant.since(self.marked) >= self.rules.watermark_interval;
        let may_log = self.is_open && self.standing.log_up && now.instant < self.standing.until;
        if is_due && may_log {
            self.marked = now.instant;
            self.advance_mark(out);
        }
    }

    /// Logs the newest watermark that holds.
    fn advance_mark(&mut self, out: &mut Vec<Output>) {
        let mut up_to = self.stamp - self.rules.watermark_lag;
        for key in self.undescribed_keys() {
            let created = key.created().unwrap_or_default();
            up_to = up_to.min(Stamp(created.0.saturating_sub(1)));
        }
        if up_to > self.mark {
            self.mark = up_to;
            let term = self.term;
            self.append(Record::Watermark { term, up_to }, out);
        }
    }

    /// Forgets keys that are refused by their age, and gaps that hold only such.
    fn expire(&mut self) {
        let oldest = self.stamp - self.rules.retention - self.rules.skew;
        self.gaps.retain(|gap| gap.until >= oldest);
        let is_old = |key: &Key| key.created().unwrap_or_default() < oldest;
        let old = self.entries.keys().copied().take_while(is_old);
        let old: Vec<Key> = old.collect();
        for key in old {
            if self.entries.get(&key).is_some_and(Entry::is_at_rest) {
                self.entries.remove(&key);
            }
        }
    }

    /// Returns keys that were handed over for their run while no record of it is durable.
    fn undescribed_keys(&self) -> impl Iterator<Item = Key> {
        self.pending.values().filter_map(|pending| match pending {
            Pending::Intent { key, ran: true } => Some(*key),
            _ => None,
        })
    }

    /// Returns keys whose intent is not durable and that were not handed over for their run.
    fn waiting_keys(&self) -> Vec<Key> {
        let pending = self.pending.values();
        let keys = pending.filter_map(|pending| match pending {
            Pending::Intent { key, ran: false } => Some(*key),
            _ => None,
        });
        keys.collect()
    }

    fn append(&mut self, record: Record, out: &mut Vec<Output>) -> Serial {
        self.serial.0 += 1;
        let serial = self.serial;
        out.push(Output::Append { serial, record });
        serial
    }
}

impl Entry {
    /// Returns whether nothing is under way for the key.
    fn is_at_rest(&self) -> bool {
        matches!(self.progress, Progress::Void | Progress::Ended(_))
    }

    /// Returns the records that describe the key.
    fn records(&self, key: Key) -> Vec<Record> {
        let (attempt, fingerprint) = (self.attempt, self.fingerprint);
        let intent = Record::Intent {
            key,
            attempt,
            fingerprint,
        };
        match &self.progress {
            Progress::Logging(_) => Vec::new(),
            Progress::Running { .. } => vec![intent],
            Progress::Void => vec![intent, Record::Void { key, attempt }],
            Progress::Ended(outcome) => vec![Record::Ended {
                key,
                attempt,
                fingerprint,
                outcome: outcome.clone(),
            }],
        }
    }
}

impl Outcome {
    /// Returns the outcome as it is kept.
    fn bounded(self, most: usize) -> Outcome {
        match self {
            Outcome::Done(body) if body.len() > most => Outcome::Oversized,
            outcome => outcome,
        }
    }
}

/// Refuses a request.
fn refuse(id: Id, kind: Kind, message: &str, out: &mut Vec<Output>, effect: Effect) {
    let answer = Answer::refused(kind, message).with_effect(effect);
    out.push(Output::Answer { id, answer });
}
