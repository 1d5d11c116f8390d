use std::rc::Rc;
use std::time::Duration;

use laburnumplank::core::error::{Effect, Kind};
use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::id::{Job, Token};
use laburnumplank::core::scheduler::spec::{Queue, Spec, Step};
use laburnumplank::entry::link::{self, Link};
use laburnumplank::entry::message::{Ask, Tell};
use laburnumplank::entry::owner::{Owner, no_owner};
use laburnumplank::util::clock::Clock;
use laburnumplank::util::metric::Metrics;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::fake::Fake;
use crate::scheduler::rules;

/// More refusals than the writer takes before the log counts as away.
const MANY: u32 = 50;
/// How many appends are under way at most: the log recognizes the repeats of five.
const MOST_APPENDS: u32 = 4;
/// Refusals until just after the log counts as away: 0.6 s of tries 0.1 s apart.
const UNTIL_AWAY: u32 = 7;

async fn open(platform: &Fake, token: u64) -> Rc<Owner<Fake>> {
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::new().unwrap();
    let owner = Owner::new(
        platform.clone(),
        rules(),
        Token(token),
        Clock::start(),
        log,
        metrics,
    );
    let (_, tables) = watch::channel(None);
    actix_rt::spawn(Rc::clone(&owner).run(tables));
    while !owner.is_open() && !owner.is_over() {
        tokio::task::yield_now().await;
    }
    owner
}

fn submit(job: u64) -> Ask {
    let step = Step {
        tasks: 1,
        ..Step::default()
    };
    Ask::Submit {
        job: Job(job),
        queue: Queue::named("filings".to_owned()),
        spec: Spec {
            payload: "filing".to_owned(),
            steps: vec![step],
            schedule: None,
        },
    }
}

#[test]
fn accepted_job_is_in_the_log() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        assert_eq!(owner.serve(submit(7)).await, Ok(Tell::Accepted));
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
fn lost_answer_of_the_log_is_no_second_record() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        platform.0.lost_answers.set(1);
        assert_eq!(owner.serve(submit(7)).await, Ok(Tell::Accepted));
        assert_eq!(owner.serve(submit(8)).await, Ok(Tell::Accepted));
    });
}

#[test]
fn refused_job_never_reaches_the_log() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        platform.0.refusals.set(UNTIL_AWAY);
        let error = owner.serve(submit(7)).await.unwrap_err();
        assert_eq!((error.kind, error.effect), (Kind::LogDown, Effect::NotRun));
        assert!(error.retry_after.is_some());
        platform.0.refusals.set(0);
        // The next record goes through once the log is back; the refused one must not.
        while owner.serve(submit(8)).await != Ok(Tell::Accepted) {
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
fn submission_while_the_log_is_away_is_refused_at_once() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        platform.0.refusals.set(MANY);
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
        assert_eq!(owner.serve(submit(9)).await, Ok(Tell::Accepted));
        platform.0.is_slow.set(true);
        let jobs = (1..=8).map(|job| {
            let owner = Rc::clone(&owner);
            actix_rt::spawn(async move { owner.serve(submit(job)).await })
        });
        let mut answers = Vec::new();
        for (index, answer) in jobs.enumerate() {
            answers.push(answer);
            let under_way = (index as u32 + 1).min(MOST_APPENDS);
            while platform.0.waiting.get() < under_way {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        assert_eq!(platform.0.waiting.get(), MOST_APPENDS);
        platform.0.is_slow.set(false);
        for answer in answers {
            assert_eq!(answer.await.unwrap(), Ok(Tell::Accepted));
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
            // Longer than the interval between two appends.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(platform.0.waiting.get(), 1);
        platform.0.is_slow.set(false);
        for answer in answers {
            assert_eq!(answer.await.unwrap(), Ok(Tell::Accepted));
        }
        assert_eq!(platform.0.jobs.borrow().len(), 8);
    });
}

#[test]
fn later_owner_ends_the_former_one() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let former = open(&platform, 1).await;
        assert_eq!(former.serve(submit(7)).await, Ok(Tell::Accepted));
        let later = open(&platform, 2).await;
        let error = former.serve(submit(8)).await.unwrap_err();
        assert_eq!(
            error.kind,
            Kind::AnswerLost,
            "what became of it is for the next owner to say"
        );
        assert!(former.is_over());
        let read = Ask::Read {
            job: Job(7),
            queue: "filings".to_owned(),
        };
        assert!(matches!(later.serve(read).await, Ok(Tell::Phase(_))));
    });
}

/// Opens both ends of a link over loopback.
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
    let (near, near_carried) = link::open(near, "near".to_owned(), |_| async { Err(no_owner()) });
    let (far, far_carried) = link::open(far, "far".to_owned(), |_| async { Err(no_owner()) });
    (near, near_carried, far, far_carried)
}

#[test]
fn closed_link_is_no_asker_although_events_never_pause() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = open(&platform, 1).await;
        let (near, near_carried, _far, far_carried) = link().await;
        owner.add_asker(near.clone());
        assert_eq!(owner.askers(), 2);
        actix_rt::spawn(near_carried);
        drop(far_carried);
        let limit = Duration::from_secs(5);
        let busy = async {
            while owner.askers() > 1 {
                owner.apply(Input::AdvisorProxies(Vec::new()));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(limit, busy).await.unwrap();
        assert!(!near.is_open());
    });
}

#[test]
fn ask_ends_when_its_link_is_dropped() {
    actix_rt::System::new().block_on(async {
        let (near, near_carried, _far, far_carried) = link().await;
        actix_rt::spawn(async move {
            tokio::select! {
                () = near_carried => {}
                () = tokio::time::sleep(Duration::from_millis(50)) => {}
            }
        });
        let ask = near.ask(Ask::Claim, Duration::from_secs(60));
        let answer = tokio::time::timeout(Duration::from_secs(5), ask).await;
        assert_eq!(answer.unwrap().unwrap_err().kind, Kind::AnswerLost);
        drop(far_carried);
    });
}
