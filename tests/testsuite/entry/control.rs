//! Tests of an entry that owns the cell, or believes so.

use std::rc::Rc;
use std::time::Duration;

use laburnumplank::core::error::Kind;
use laburnumplank::core::scheduler::id::Job;
use laburnumplank::core::tenure::{Owner, Record};
use laburnumplank::entry::control::Control;
use laburnumplank::entry::message::{EntryRequest, EntryResponse};
use laburnumplank::entry::settings::Settings;
use laburnumplank::util::clock::Clock;
use laburnumplank::util::metric::Metrics;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc;

use super::fake::Fake;
use super::owner::submit;

/// More refusals than it takes until the owner considers the log unavailable.
const MANY_REFUSALS: u32 = 1_000;

pub(super) fn settings() -> Settings {
    let any = "127.0.0.1:0".parse().unwrap();
    Settings {
        name: "front-1".to_owned(),
        data_centre: "quimper".to_owned(),
        region: "quimper".to_owned(),
        clients: any,
        readiness: any,
        links: any,
        metrics: any,
        processors: 1.0,
        stop_s: 1.0,
        max_lease_ms: 6_000,
        worker_stop_ms: 400,
        gang_timeout_ms: 3_000,
        remote_factor: 3.0,
        status_kept_s: 120.0,
        log_level: "info".to_owned(),
    }
}

fn read(job: u64) -> EntryRequest {
    EntryRequest::Read {
        job: Job(job),
        queue: "filings".to_owned(),
        endpoint: None,
        account: None,
    }
}

#[test]
fn owner_with_a_successor_that_it_does_not_know_says_of_no_job_that_it_is_gone() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let clock = Clock::start();
        let log = Logger::root(Discard, o!());
        let metrics = Metrics::new().unwrap();
        let (control, _view) = Control::new(platform.clone(), settings(), clock, log, metrics);
        let (_calls, receiver) = mpsc::unbounded_channel();
        actix_rt::spawn(Rc::clone(&control).run(receiver));
        let limit = Duration::from_secs(10);
        let end = clock.now() + limit;
        assert_eq!(
            control.handle(read(7), end, end).await,
            Ok(EntryResponse::Gone),
            "the owner knows that there is no such job"
        );

        platform.0.are_reads_held.set(true);
        let successor = Owner {
            name: "front-2".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            incarnation: 1,
            processors_millis: 1_000,
        };
        let mut claim = Vec::new();
        ciborium::into_writer(&Record::Claim(successor), &mut claim).unwrap();
        platform.0.claims.borrow_mut().push(claim.into());
        let asking = Rc::clone(&control);
        let answer = actix_rt::spawn(async move {
            let now = clock.now();
            asking.handle(read(8), now, now + limit).await
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.0.are_reads_held.set(false);
        let error = answer.await.unwrap().unwrap_err();
        assert_eq!(error.kind, Kind::NoOwner);
    });
}

#[test]
fn submission_during_an_outage_of_the_log_is_accepted_once_the_log_is_back() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let clock = Clock::start();
        let log = Logger::root(Discard, o!());
        let metrics = Metrics::new().unwrap();
        let (control, _view) = Control::new(platform.clone(), settings(), clock, log, metrics);
        let (_calls, receiver) = mpsc::unbounded_channel();
        actix_rt::spawn(Rc::clone(&control).run(receiver));
        let limit = Duration::from_secs(10);
        let end = clock.now() + limit;
        let accepted = Ok(EntryResponse::Accepted);
        assert_eq!(control.handle(submit(1), end, end).await, accepted);

        platform.0.refusals.set(MANY_REFUSALS);
        platform.0.are_reads_refused.set(true);
        let refused = control.handle(submit(2), clock.now(), end).await;
        assert_eq!(refused.unwrap_err().kind, Kind::LogDown);
        let asking = Rc::clone(&control);
        let answer = actix_rt::spawn(async move {
            let end = clock.now() + limit;
            asking.handle(submit(3), end, end).await
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.0.refusals.set(0);
        platform.0.are_reads_refused.set(false);
        assert_eq!(answer.await.unwrap(), accepted);
        let jobs = platform.0.jobs.borrow();
        assert!(!jobs.contains_key(&b"0000000000000002"[..]));
    });
}

/// Encodes a record of the entry `front-2`.
fn record_of_peer(record: fn(Owner) -> Record) -> bytes::Bytes {
    let peer = Owner {
        name: "front-2".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        incarnation: 1,
        processors_millis: 1_000,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&record(peer), &mut bytes).unwrap();
    bytes.into()
}

#[test]
fn claim_is_repeated_after_announcements_of_other_entries_but_not_after_a_claim() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let claim = record_of_peer(Record::Claim);
        let announcement = record_of_peer(Record::Present);
        let before = vec![claim, announcement.clone(), announcement];
        *platform.0.before_claims.borrow_mut() = before;
        let clock = Clock::start();
        let log = Logger::root(Discard, o!());
        let metrics = Metrics::new().unwrap();
        let (control, _view) = Control::new(platform.clone(), settings(), clock, log, metrics);
        let (_calls, receiver) = mpsc::unbounded_channel();
        actix_rt::spawn(Rc::clone(&control).run(receiver));
        while platform.0.moved_claims.get() < 3 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let moved_after_claim = platform.0.moved_claims.get();
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(platform.0.moved_claims.get(), moved_after_claim);
        assert_eq!(platform.0.fence.get(), 0, "front-2 owns the cell");
    });
}
