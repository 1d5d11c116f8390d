use std::rc::Rc;
use std::time::Duration;

use laburnumplank::core::error::{Effect, Kind};
use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::id::{Job, Token};
use laburnumplank::core::scheduler::spec::{Queue, Spec, Step};
use laburnumplank::entry::link::{self, Link};
use laburnumplank::entry::message::{EntryRequest, EntryResponse};
use laburnumplank::entry::owner::{Owner, no_owner};
use laburnumplank::entry::standby::Copy;
use laburnumplank::util::clock::Clock;
use laburnumplank::util::metric::Metrics;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::fake::Fake;
use crate::scheduler::rules;

/// More refusals than it takes until the writer considers the log unavailable.
const MANY_REFUSALS: u32 = 50;
/// The maximum number of appends in flight: the log recognizes repeats of the last five only.
const MAX_APPENDS: u32 = 4;
/// The number of refusals after which the writer considers the log unavailable: tries 0.1 s apart for
/// 0.6 s.
const REFUSALS_UNTIL_UNAVAILABLE: u32 = 7;

pub(super) fn owner(platform: &Fake, token: u64) -> Rc<Owner<Fake>> {
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::new().unwrap();
    Owner::new(
        platform.clone(),
        rules(),
        Token(token),
        Clock::start(),
        log,
        metrics,
    )
}

/// Starts an owner and waits until its takeover is complete.
pub(super) async fn open(platform: &Fake, token: u64) -> Rc<Owner<Fake>> {
    let owner = owner(platform, token);
    let (_, tables) = watch::channel(None);
    actix_rt::spawn(Rc::clone(&owner).run(tables, Copy::default()));
    while !owner.is_open() && !owner.is_over() {
        tokio::task::yield_now().await;
    }
    owner
}

/// Returns a request to submit a job of one task.
pub(super) fn submit(job: u64) -> EntryRequest {
    let step = Step {
        tasks: 1,
        ..Step::default()
    };
    EntryRequest::Submit {
        job: Job(job),
        queue: Queue::named("filings".to_owned()),
        endpoint: None,
        spec: Spec {
            payload: "filing".to_owned(),
            steps: vec![step],
            schedule: None,
        },
        account: None,
    }
}

#[test]
fn accepted_job_is_in_the_log() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        assert_eq!(owner.serve(submit(7)).await, Ok(EntryResponse::Accepted));
        assert!(
            platform
                .0
                .jobs
                .borrow()
                .contains_key(&b"0000000000000007"[..])
        );
    });
}

#[test]
fn lost_answer_of_the_log_causes_no_second_record() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        platform.0.lost_answers.set(1);
        assert_eq!(owner.serve(submit(7)).await, Ok(EntryResponse::Accepted));
        assert_eq!(owner.serve(submit(8)).await, Ok(EntryResponse::Accepted));
    });
}

#[test]
fn refused_job_never_reaches_the_log() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        platform.0.refusals.set(REFUSALS_UNTIL_UNAVAILABLE);
        let error = owner.serve(submit(7)).await.unwrap_err();
        assert_eq!((error.kind, error.effect), (Kind::LogDown, Effect::NotRun));
        assert!(error.retry_after.is_some());
        platform.0.refusals.set(0);
        // Once the log is available again it accepts the next record; the refused one must not appear.
        while owner.serve(submit(8)).await != Ok(EntryResponse::Accepted) {
            tokio::task::yield_now().await;
        }
        assert!(
            !platform
                .0
                .jobs
                .borrow()
                .contains_key(&b"0000000000000007"[..])
        );
    });
}

#[test]
fn submission_while_the_log_is_unavailable_is_refused() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        platform.0.refusals.set(MANY_REFUSALS);
        let first = owner.serve(submit(7)).await.unwrap_err();
        let second = owner.serve(submit(8)).await.unwrap_err();
        assert_eq!((first.kind, second.kind), (Kind::LogDown, Kind::LogDown));
    });
}

#[test]
fn record_does_not_wait_for_a_slow_append_before_it() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        assert_eq!(owner.serve(submit(9)).await, Ok(EntryResponse::Accepted));
        platform.0.is_slow.set(true);
        let jobs = (1..=8).map(|job| {
            let owner = Rc::clone(&owner);
            actix_rt::spawn(async move { owner.serve(submit(job)).await })
        });
        let mut answers = Vec::new();
        for (index, answer) in jobs.enumerate() {
            answers.push(answer);
            let in_flight = (index as u32 + 1).min(MAX_APPENDS);
            while platform.0.waiting.get() < in_flight {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        assert_eq!(platform.0.waiting.get(), MAX_APPENDS);
        platform.0.is_slow.set(false);
        for answer in answers {
            assert_eq!(answer.await.unwrap(), Ok(EntryResponse::Accepted));
        }
        assert_eq!(platform.0.jobs.borrow().len(), 9);
    });
}

#[test]
fn first_append_of_an_owner_is_not_overtaken() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        platform.0.is_slow.set(true);
        let mut answers = Vec::new();
        for job in 1..=8 {
            let owner = Rc::clone(&owner);
            answers.push(actix_rt::spawn(
                async move { owner.serve(submit(job)).await },
            ));
            // Longer than the writer's minimum interval between two appends.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(platform.0.waiting.get(), 1);
        platform.0.is_slow.set(false);
        for answer in answers {
            assert_eq!(answer.await.unwrap(), Ok(EntryResponse::Accepted));
        }
        assert_eq!(platform.0.jobs.borrow().len(), 8);
    });
}

#[test]
fn later_owner_ends_the_former_one() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let former = open(&platform, 1).await;
        assert_eq!(former.serve(submit(7)).await, Ok(EntryResponse::Accepted));
        let later = open(&platform, 2).await;
        let error = former.serve(submit(8)).await.unwrap_err();
        assert_eq!(
            error.kind,
            Kind::AnswerLost,
            "only the next owner knows whether the job was recorded"
        );
        assert!(former.is_over());
        let read = EntryRequest::Read {
            job: Job(7),
            queue: "filings".to_owned(),
            endpoint: None,
            account: None,
        };
        assert!(matches!(
            later.serve(read).await,
            Ok(EntryResponse::Phase(_))
        ));
    });
}

/// Opens both ends of a link over loopback, each with the future that transfers its frames.
async fn link() -> (
    Link,
    impl Future<Output = ()>,
    Link,
    impl Future<Output = ()>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = async {
        link::accept(listener.accept().await.unwrap().0)
            .await
            .unwrap()
    };
    let (near, far) = tokio::join!(async { link::dial(address).await.unwrap() }, accepted);
    let (near, near_transfer) = link::open(near, "near".to_owned(), |_| async { Err(no_owner()) });
    let (far, far_transfer) = link::open(far, "far".to_owned(), |_| async { Err(no_owner()) });
    (near, near_transfer, far, far_transfer)
}

#[test]
fn closed_link_is_no_asker_although_events_never_pause() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        let (near, near_transfer, _far, far_transfer) = link().await;
        owner.add_advisor_proxy(near.clone());
        assert_eq!(owner.advisor_proxies(), 2);
        actix_rt::spawn(near_transfer);
        drop(far_transfer);
        let limit = Duration::from_secs(5);
        let events = async {
            while owner.advisor_proxies() > 1 {
                owner.apply(Input::AdvisorProxies(Vec::new()));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(limit, events).await.unwrap();
        assert!(!near.is_open());
    });
}

#[test]
fn ask_ends_when_its_link_is_dropped() {
    actix_rt::System::new().block_on(async {
        let (near, near_transfer, _far, far_transfer) = link().await;
        actix_rt::spawn(async move {
            tokio::select! {
                () = near_transfer => {}
                () = tokio::time::sleep(Duration::from_millis(50)) => {}
            }
        });
        let request = near.request(EntryRequest::Claim, Duration::from_secs(60));
        let response = tokio::time::timeout(Duration::from_secs(5), request).await;
        assert_eq!(response.unwrap().unwrap_err().kind, Kind::AnswerLost);
        drop(far_transfer);
    });
}

/// The other end is alive and its kernel acknowledges; only missing heartbeats show that nothing arrives any more.
#[test]
fn link_that_falls_silent_is_closed_before_lookups_are_due() {
    actix_rt::System::new().block_on(async {
        let (near, near_transfer, _far, far_transfer) = link().await;
        actix_rt::spawn(near_transfer);
        let request = near.request(EntryRequest::Claim, Duration::from_secs(60));
        let response = tokio::time::timeout(Duration::from_millis(900), request).await;
        assert_eq!(response.unwrap().unwrap_err().kind, Kind::AnswerLost);
        assert!(!near.is_open());
        drop(far_transfer);
    });
}

#[test]
fn remaining_leases_are_known_only_after_the_end_of_an_ownership() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        assert_eq!(owner.remaining_leases(), None, "leases are still extended");
        owner.finish("test");
        assert_eq!(owner.remaining_leases(), Some(Vec::new()));
    });
}

#[test]
fn takeover_stops_reading_when_the_ownership_ends() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        platform.0.is_reading_stuck.set(true);
        let owner = owner(&platform, 1);
        let (_, tables) = watch::channel(None);
        let run = actix_rt::spawn(Rc::clone(&owner).run(tables, Copy::default()));
        while platform.0.fence.get() == 0 {
            tokio::task::yield_now().await;
        }
        tokio::task::yield_now().await;
        owner.finish("another entry claimed the cell");
        run.await.unwrap();
    });
}
