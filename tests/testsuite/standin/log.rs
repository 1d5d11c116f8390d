use std::time::Duration;

use actix_http::{Method, StatusCode};
use laburnum_testkit::http;
use laburnum_testkit::standin::log::{Limits, State};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::log::{Appended, Page};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{ANY_PORT, Fixture, post, run};

const START: Instant = Instant(0);
const SECOND: Duration = Duration::from_secs(1);

fn limits() -> Limits {
    Limits {
        entries: 4,
        age: 4 * SECOND,
        appends_per_second: 100,
    }
}

fn offsets(page: &Page) -> Vec<u64> {
    page.entries.iter().map(|entry| entry.offset).collect()
}

#[test]
fn page_below_first_is_empty() {
    let mut log = State::new(START, limits());
    for _ in 0..6 {
        log.append(START, "config", b"x".to_vec()).unwrap();
    }
    let page = log.page(START, "config", 1, 1000);
    assert_eq!((page.first, page.next), (2, 6));
    assert!(page.entries.is_empty());
}

#[test]
fn page_of_small_size_holds_one_entry() {
    let mut log = State::new(START, limits());
    for _ in 0..3 {
        log.append(START, "config", vec![0; 100]).unwrap();
    }
    assert_eq!(offsets(&log.page(START, "config", 0, 1)), [0]);
    assert_eq!(offsets(&log.page(START, "config", 1, 200)), [1, 2]);
}

#[test]
fn append_above_rate_is_refused_without_effect() {
    let mut log = State::new(START, limits());
    let accepted = (0..150).filter(|_| log.append(START, "a", Vec::new()).is_some());
    assert_eq!(accepted.count(), 100);
    assert!(log.append(START + SECOND, "b", Vec::new()).is_some());
    assert_eq!(log.extents()["a"].next, 100);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Offsets have no gaps, entries keep their data, and the oldest entries are dropped first.
    #[test]
    fn page_holds_all_retained_entries(steps in prop::collection::vec((0u64..4, 0u64..8), 1..60)) {
        let mut log = State::new(START, limits());
        let mut now = START;
        let mut appended: Vec<Instant> = Vec::new();
        for (wait, from) in steps {
            now = now + wait as u32 * SECOND;
            let offset = appended.len() as u64;
            let result = log.append(now, "a", offset.to_be_bytes().to_vec());
            prop_assert_eq!(result, Some(Appended { offset }));
            appended.push(now);
            let is_retained = |(index, at): (usize, &Instant)| {
                now.since(*at) < limits().age && appended.len() - index <= limits().entries
            };
            let first = appended.iter().enumerate().position(is_retained).unwrap() as u64;
            let page = log.page(now, "a", first + from, u64::MAX);
            prop_assert_eq!((page.first, page.next), (first, offset + 1));
            let expected: Vec<u64> = (first + from..=offset).collect();
            prop_assert_eq!(offsets(&page), expected);
            for entry in page.entries {
                prop_assert_eq!(entry.data, entry.offset.to_be_bytes());
            }
        }
    }
}

#[test]
fn long_poll_ends_with_append() {
    run(async {
        let fixture = Fixture::start();
        let address = fixture.host.add_log(ANY_PORT, Limits::default()).unwrap();
        let http = fixture.http.clone();
        let long_poll = actix_rt::spawn(async move {
            let url = format!("http://{address}/v1/streams/config/entries?from=0&wait_ms=9000");
            let request = http::Request {
                method: Method::GET,
                url: &url,
                headers: &[],
                body: "".into(),
            };
            http.send(request).await.unwrap()
        });
        let url = format!("http://{address}/v1/streams/config/append");
        let response = post(&fixture.http, &url, "hello").await.unwrap();
        assert_eq!(response.json::<Appended>().unwrap().offset, 0);
        let page: Page = ciborium::from_reader(&*long_poll.await.unwrap().body).unwrap();
        assert_eq!(page.entries[0].data, b"hello");
    });
}

#[test]
fn append_above_rate_returns_429() {
    run(async {
        let fixture = Fixture::start();
        let limits = Limits {
            appends_per_second: 1,
            ..Limits::default()
        };
        let address = fixture.host.add_log(ANY_PORT, limits).unwrap();
        let url = format!("http://{address}/v1/streams/config/append");
        let mut statuses = Vec::new();
        for _ in 0..2 {
            statuses.push(post(&fixture.http, &url, "x").await.unwrap().status);
        }
        assert_eq!(statuses, [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS]);
        assert_eq!(fixture.control.log_counts().await.unwrap().refused, 1);
    });
}
