//! The table of keys during an ownership and after takeovers.

use std::time::Duration;

use bytes::Bytes;
use laburnumplank::core::error::{Effect, Error, Kind};
use laburnumplank::core::id::Key;
use laburnumplank::core::request::dedup::{
    Acquired, Acquisition, Input, Now, Outcome, Output, OwnerStatus, Record, Rules, Serial,
    Submission, Table, Term, recover,
};
use laburnumplank::core::request::{Answer, Id};
use laburnumplank::core::time::{Instant, Stamp};
use uuid::Uuid;

const EPOCH: u64 = 1_700_000_000_000;
const FOREVER: Instant = Instant(u64::MAX / 2);

/// An owner's table and the log of the partition.
struct Owner {
    table: Table,
    now: Now,
    log: Vec<Record>,
    out: Vec<Output>,
    status: OwnerStatus,
}

fn at(ms: u64) -> Now {
    Now {
        instant: Instant((1_000_000 + ms) * 1000),
        stamp: Stamp(EPOCH + ms),
    }
}

/// A key created `ms` after the epoch of the tests.
fn key(ms: u64, number: u8) -> Key {
    let value = u128::from(EPOCH + ms) << 80 | 0x7 << 76 | 0x8 << 60;
    Key(Uuid::from_u128(value | u128::from(number)))
}

impl Owner {
    fn first() -> Owner {
        Owner::of(1, None, Acquisition::First, Vec::new(), 0)
    }

    fn of(term: u64, before: Option<u64>, how: Acquisition, log: Vec<Record>, ms: u64) -> Owner {
        let acquired = Acquired {
            term: Term(term),
            before: before.map(Term),
            how,
        };
        let mut out = Vec::new();
        let table = recover(Rules::default(), at(ms), &log, acquired, &mut out);
        let status = OwnerStatus {
            until: FOREVER,
            log_up: true,
            promised: false,
        };
        let mut owner = Owner {
            table,
            now: at(ms),
            log,
            out,
            status,
        };
        owner.set_status(true, false);
        owner
    }

    /// Returns the next owner, which recovers the table from this owner's log.
    fn succeeded_by(&self, how: Acquisition, ms: u64) -> Owner {
        let term = self.term();
        Owner::of(term + 1, Some(term), how, self.log.clone(), ms)
    }

    fn term(&self) -> u64 {
        let opened = self.log.iter().filter_map(|record| match record {
            Record::Opened { term, .. } => Some(term.0),
            _ => None,
        });
        opened.max().unwrap_or(0)
    }

    fn set_status(&mut self, log_up: bool, promised: bool) {
        self.status = OwnerStatus {
            log_up,
            promised,
            ..self.status
        };
        self.step(Input::OwnerStatus(self.status));
    }

    fn step(&mut self, input: Input) {
        self.table.step(self.now, input, &mut self.out);
    }

    /// Appends all pending records to the log and reports them as durable.
    fn commit(&mut self) {
        let appends: Vec<(Serial, Record)> = self.drain_appends();
        for (serial, record) in appends {
            self.log.push(record);
            self.step(Input::Durable(serial));
        }
    }

    fn drain_appends(&mut self) -> Vec<(Serial, Record)> {
        let is_append = |output: &Output| matches!(output, Output::Append { .. });
        let (appends, others) = self.out.drain(..).partition(is_append);
        self.out = others;
        let appends: Vec<Output> = appends;
        let pairs = appends.into_iter().filter_map(|output| match output {
            Output::Append { serial, record } => Some((serial, record)),
            _ => None,
        });
        pairs.collect()
    }

    fn submit(&mut self, id: u64, key: Key) {
        self.submit_as(id, key, 1);
    }

    fn submit_as(&mut self, id: u64, key: Key, fingerprint: u64) {
        self.step(Input::Submit(Submission {
            id: Id(id),
            key,
            fingerprint,
            refusal: None,
        }));
    }

    fn finish(&mut self, id: u64, key: Key) {
        let outcome = Outcome::Done(Bytes::from_static(b"done"));
        let id = Id(id);
        self.step(Input::Finished { id, key, outcome });
    }

    fn is_run(&self, id: u64) -> bool {
        let mut outputs = self.out.iter();
        outputs.any(|output| matches!(output, Output::Run { id: ran, .. } if *ran == Id(id)))
    }

    fn answer(&self, id: u64) -> Option<&Answer> {
        self.out.iter().find_map(|output| match output {
            Output::Answer { id: of, answer } if *of == Id(id) => Some(answer),
            _ => None,
        })
    }

    fn kind(&self, id: u64) -> Option<Kind> {
        let answer = self.answer(id)?;
        answer.result.as_ref().err().map(|error| error.kind)
    }

    fn effect(&self, id: u64) -> Option<Effect> {
        Some(self.answer(id)?.effect)
    }

    /// Submits a key and returns whether it runs once its intent is durable.
    fn may_run(&mut self, id: u64, key: Key) -> bool {
        self.submit(id, key);
        self.commit();
        self.is_run(id)
    }
}

#[test]
fn run_starts_when_its_intent_is_durable() {
    let mut owner = Owner::first();
    owner.submit(1, key(0, 1));
    assert!(!owner.is_run(1));
    owner.commit();
    assert!(owner.is_run(1));
}

#[test]
fn repeat_gets_the_answer_of_the_only_run() {
    let mut owner = Owner::first();
    owner.submit(1, key(0, 1));
    owner.commit();
    owner.submit(2, key(0, 1));
    owner.finish(1, key(0, 1));
    owner.submit(3, key(0, 1));
    owner.commit();
    let mut next = owner.succeeded_by(Acquisition::Standby { promised: false }, 100);
    next.submit(4, key(0, 1));
    let done = Answer::done(Bytes::from_static(b"done"));
    assert_eq!(owner.answer(2), Some(&done));
    assert_eq!(owner.answer(3), Some(&done));
    assert_eq!(next.answer(4), Some(&done));
    assert!(!owner.is_run(2) && !owner.is_run(3) && !next.is_run(4));
}

#[test]
fn full_queue_refuses_new_keys_only() {
    let mut owner = Owner::first();
    owner.submit(1, key(0, 1));
    let wait = Duration::from_secs(3);
    let full = Error::new(Kind::Overloaded, "full").with_retry_after(wait);
    for (id, key) in [(2, key(0, 1)), (3, key(0, 2))] {
        owner.step(Input::Submit(Submission {
            id: Id(id),
            key,
            fingerprint: 1,
            refusal: Some(full.clone()),
        }));
    }
    assert_eq!(owner.answer(2), None, "it waits for the first request");
    assert_eq!(owner.answer(3), Some(&Answer::from(full)));
}

#[test]
fn key_reused_for_a_different_request_is_refused() {
    let mut owner = Owner::first();
    owner.submit_as(1, key(0, 1), 1);
    owner.submit_as(2, key(0, 1), 2);
    assert_eq!(owner.kind(2), Some(Kind::KeyReused));
}

#[test]
fn key_outside_its_window_is_refused() {
    let rules = Rules::default();
    let mut owner = Owner::first();
    owner.now = at(2_000_000);
    let early = 2_000_000 + rules.skew.as_millis() as u64 + 1;
    let late = 2_000_000 - rules.retention.as_millis() as u64 - 1;
    owner.submit(1, key(early, 1));
    owner.submit(2, key(late, 1));
    owner.submit(3, Key(Uuid::nil()));
    assert_eq!(owner.kind(1), Some(Kind::KeyExpired));
    assert_eq!(owner.kind(2), Some(Kind::KeyExpired));
    assert_eq!(owner.kind(3), Some(Kind::KeyRequired));
}

#[test]
fn given_up_run_may_run_again() {
    let mut owner = Owner::first();
    assert!(owner.may_run(1, key(0, 1)));
    let answer = Answer::refused(Kind::Overloaded, "full");
    owner.step(Input::NotDispatched {
        id: Id(1),
        key: key(0, 1),
        answer,
    });
    assert_eq!(owner.effect(1), Some(Effect::NotRun));
    assert!(owner.may_run(2, key(0, 1)));
}

#[test]
fn given_up_run_starts_the_next_waiting_request() {
    let mut owner = Owner::first();
    assert!(owner.may_run(1, key(0, 1)));
    owner.submit(2, key(0, 1));
    let answer = Answer::refused(Kind::Canceled, "left");
    let gave_up = Input::NotDispatched {
        id: Id(1),
        key: key(0, 1),
        answer,
    };
    owner.step(gave_up.clone());
    assert_eq!(
        owner.effect(1),
        Some(Effect::Unknown),
        "the other request may still run"
    );
    assert!(owner.is_run(2));
    owner.step(gave_up);
    owner.commit();
    let void = |record: &Record| matches!(record, Record::Void { .. });
    assert!(
        !owner.log.iter().any(void),
        "a repeated report changes nothing"
    );
}

#[test]
fn late_void_of_an_earlier_term_is_ignored() {
    let mut first = Owner::first();
    first.commit();
    first.submit(1, key(0, 1));
    let lost_intent = first.drain_appends();
    assert_eq!(lost_intent.len(), 1);
    first.step(Input::Abandoned {
        id: Id(1),
        key: key(0, 1),
    });
    let late_void = first.drain_appends().remove(0).1;
    let mut second = first.succeeded_by(Acquisition::Standby { promised: false }, 100);
    assert!(second.may_run(2, key(0, 1)));
    second.log.push(late_void);
    let mut third = second.succeeded_by(Acquisition::Standby { promised: false }, 200);
    third.submit(3, key(0, 1));
    assert_eq!(third.effect(3), Some(Effect::Unknown));
}

#[test]
fn ended_ownership_has_unknown_effect() {
    let mut owner = Owner::first();
    owner.submit(1, key(0, 1));
    owner.status.until = owner.now.instant;
    owner.set_status(true, false);
    owner.commit();
    owner.submit(2, key(0, 2));
    assert_eq!(owner.effect(1), Some(Effect::Unknown));
    assert_eq!(owner.effect(2), Some(Effect::Unknown));
    assert!(!owner.is_run(1));
}

#[test]
fn log_down_refuses_at_once_without_promises() {
    let mut owner = Owner::first();
    owner.commit();
    owner.set_status(false, false);
    owner.submit(1, key(0, 1));
    assert_eq!(owner.kind(1), Some(Kind::LogDown));
    assert_eq!(owner.effect(1), Some(Effect::NotRun));
}

/// An owner that logged a watermark at 15 s and whose log is down since, with promises of the
/// standbys.
fn owner_without_log() -> Owner {
    let mut owner = Owner::first();
    owner.commit();
    owner.now = at(15_000);
    owner.step(Input::Tick);
    owner.commit();
    owner.set_status(false, true);
    owner
}

/// The watermark of [`owner_without_log`], in milliseconds after the epoch.
const WATERMARK: u64 = 10_000;

#[test]
fn run_without_log_needs_a_key_above_the_watermark() {
    let mut owner = owner_without_log();
    owner.submit(1, key(WATERMARK, 1));
    owner.submit(2, key(WATERMARK + 1, 2));
    assert_eq!(owner.kind(1), Some(Kind::LogDown));
    assert!(owner.is_run(2));
}

#[test]
fn run_without_log_needs_a_durable_opening() {
    let mut owner = Owner::first();
    owner.set_status(false, true);
    owner.submit(1, key(0, 1));
    assert_eq!(owner.kind(1), Some(Kind::LogDown));
}

#[test]
fn run_without_log_holds_back_the_watermark_until_durable() {
    let mut owner = owner_without_log();
    owner.submit(1, key(WATERMARK + 50, 1));
    owner.finish(1, key(WATERMARK + 50, 1));
    assert_eq!(owner.table.undurable_runs(), 1);
    let waiting = owner.drain_appends();
    owner.set_status(true, false);
    owner.now = at(60_000);
    owner.step(Input::Tick);
    let watermarks = owner.drain_appends();
    let watermark = |record: &Record| match record {
        Record::Watermark { up_to, .. } => Some(up_to.0 - EPOCH),
        _ => None,
    };
    assert_eq!(
        watermarks.iter().find_map(|(_, record)| watermark(record)),
        Some(WATERMARK + 49)
    );
    owner.step(Input::Durable(waiting[0].0));
    assert_eq!(owner.table.undurable_runs(), 0);
}

#[test]
fn takeover_respects_promises_watermark_and_horizon() {
    let skew = Rules::default().skew.as_millis() as u64;
    let claim = 20_000;
    for how in [
        Acquisition::Standby { promised: true },
        Acquisition::Outsider,
    ] {
        let mut next = owner_without_log().succeeded_by(how, claim);
        next.submit(1, key(WATERMARK + 1, 1));
        next.submit(2, key(claim + 2 * skew, 2));
        assert_eq!(next.effect(1), Some(Effect::Unknown));
        assert_eq!(next.kind(2), Some(Kind::KeyExpired), "not yet accepted");
        next.now = at(claim + 2 * skew);
        next.submit(3, key(claim + 2 * skew, 2));
        assert_eq!(next.effect(3), Some(Effect::Unknown));
        assert!(next.may_run(4, key(WATERMARK, 3)));
        assert!(next.may_run(5, key(claim + 2 * skew + 1, 4)));
    }
    let mut clean =
        owner_without_log().succeeded_by(Acquisition::Standby { promised: false }, claim);
    assert!(clean.may_run(1, key(WATERMARK + 1, 1)));
}

#[test]
fn gap_survives_an_owner_that_died_before_logging_it() {
    let first = owner_without_log();
    let second = first.succeeded_by(Acquisition::Standby { promised: true }, 20_000);
    drop(second);
    let how = Acquisition::Standby { promised: false };
    let mut third = Owner::of(3, Some(2), how, first.log.clone(), 25_000);
    third.submit(1, key(WATERMARK + 1, 1));
    assert_eq!(third.effect(1), Some(Effect::Unknown));
}

#[test]
fn gap_survives_a_second_clean_takeover() {
    let mut second =
        owner_without_log().succeeded_by(Acquisition::Standby { promised: true }, 20_000);
    second.commit();
    let mut third = second.succeeded_by(Acquisition::Standby { promised: false }, 25_000);
    third.submit(1, key(WATERMARK + 1, 1));
    assert_eq!(third.effect(1), Some(Effect::Unknown));
    assert!(third.may_run(2, key(24_000, 2)));
}

#[test]
fn late_watermark_of_an_earlier_term_is_ignored() {
    let mut second =
        owner_without_log().succeeded_by(Acquisition::Standby { promised: false }, 20_000);
    second.commit();
    second.set_status(false, true);
    second.submit(1, key(20_000, 1));
    assert!(second.is_run(1));
    second.log.push(Record::Watermark {
        term: Term(1),
        up_to: Stamp(EPOCH + 20_000),
    });
    let mut third = second.succeeded_by(Acquisition::Standby { promised: true }, 25_000);
    third.submit(2, key(20_000, 1));
    assert_eq!(third.effect(2), Some(Effect::Unknown));
}

#[test]
fn intent_without_outcome_is_unknown_until_the_outcome_is_read() {
    let mut first = Owner::first();
    assert!(first.may_run(1, key(0, 1)));
    let mut second = first.succeeded_by(Acquisition::Standby { promised: false }, 100);
    second.submit(2, key(0, 1));
    assert_eq!(second.effect(2), Some(Effect::Unknown));
    first.finish(1, key(0, 1));
    let ended = first.drain_appends().remove(0).1;
    second.step(Input::Read(ended));
    second.submit(3, key(0, 1));
    assert_eq!(second.effect(3), Some(Effect::Ran));
}

#[test]
fn snapshot_describes_the_table() {
    let mut first =
        owner_without_log().succeeded_by(Acquisition::Standby { promised: true }, 20_000);
    first.now = at(22_000);
    assert!(first.may_run(1, key(22_000, 1)));
    assert!(first.may_run(2, key(22_000, 2)));
    first.finish(2, key(22_000, 2));
    let how = Acquisition::Standby { promised: false };
    let mut second = Owner::of(3, Some(2), how, first.table.snapshot(), 25_000);
    for (id, key) in [
        (1, key(22_000, 1)),
        (2, key(22_000, 2)),
        (3, key(WATERMARK + 1, 3)),
    ] {
        second.submit(id, key);
    }
    assert_eq!(second.effect(1), Some(Effect::Unknown));
    assert_eq!(second.effect(2), Some(Effect::Ran));
    assert_eq!(second.effect(3), Some(Effect::Unknown));
}

#[test]
fn large_answer_is_not_recorded() {
    let mut owner = Owner::first();
    assert!(owner.may_run(1, key(0, 1)));
    let body = Bytes::from(vec![0; Rules::default().max_answer_bytes + 1]);
    let outcome = Outcome::Done(body.clone());
    owner.step(Input::Finished {
        id: Id(1),
        key: key(0, 1),
        outcome,
    });
    owner.submit(2, key(0, 1));
    assert_eq!(owner.answer(1), Some(&Answer::done(body)));
    assert_eq!(owner.effect(2), Some(Effect::Ran));
    assert_eq!(owner.kind(2), Some(Kind::AnswerLost));
}

#[test]
fn recorded_answers_are_bounded_in_total() {
    let rules = Rules::default();
    let mut owner = Owner::first();
    let count = rules.max_total_answer_bytes / rules.max_answer_bytes + 1;
    for number in 0..count as u8 {
        let (id, key) = (u64::from(number), key(0, number));
        assert!(owner.may_run(id, key));
        let outcome = Outcome::Done(Bytes::from(vec![0; rules.max_answer_bytes]));
        let id = Id(id);
        owner.step(Input::Finished { id, key, outcome });
    }
    owner.submit(200, key(0, 0));
    owner.submit(201, key(0, count as u8 - 1));
    assert!(owner.answer(200).unwrap().result.is_ok());
    assert_eq!(owner.kind(201), Some(Kind::AnswerLost));
    assert_eq!(owner.effect(201), Some(Effect::Ran));
}

#[test]
fn old_keys_are_removed() {
    let rules = Rules::default();
    let mut owner = Owner::first();
    for number in 0..100 {
        assert!(owner.may_run(u64::from(number), key(0, number)));
        owner.finish(u64::from(number), key(0, number));
    }
    assert_eq!(owner.table.len(), 100);
    let past = rules.retention + rules.skew + Duration::from_millis(1);
    owner.now = at(past.as_millis() as u64);
    owner.step(Input::Tick);
    assert!(owner.table.is_empty());
}
