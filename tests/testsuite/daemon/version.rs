//! The version of the configuration that each entry returns over time.

use std::cell::{Cell as Flag, RefCell};
use std::rc::Rc;

use laburnum_testkit::process::Signal;
use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{GetConfigRequest, GetConfigResponse};
use laburnumplank::core::error::Result;

use super::config::{document, put};
use super::{cell, client, eventually, pause, run};

/// A time longer than every lease, in milliseconds.
const PAST_LEASES_MS: u64 = 4_000;

/// The period of polling an entry, in milliseconds.
const POLL_MS: u64 = 10;

/// The versions that one entry returned, in order.
struct Watch {
    seen: Rc<RefCell<Vec<u64>>>,
    stop: Rc<Flag<bool>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Watch {
    fn start(client: Client) -> Watch {
        let seen = Rc::new(RefCell::new(Vec::new()));
        let stop = Rc::new(Flag::new(false));
        let task = actix_rt::spawn(poll(client, Rc::clone(&seen), Rc::clone(&stop)));
        Watch { seen, stop, task }
    }

    fn last(&self) -> u64 {
        self.seen.borrow().last().copied().unwrap_or(0)
    }
}

async fn poll(client: Client, seen: Rc<RefCell<Vec<u64>>>, stop: Rc<Flag<bool>>) {
    let request = GetConfigRequest { version: 0 };
    while !stop.get() {
        let response: Result<GetConfigResponse> =
            client.call("Operator", "GetConfig", &request).await;
        if let Some(config) = response.ok().and_then(|response| response.config) {
            seen.borrow_mut().push(config.version);
        }
        pause(POLL_MS).await;
    }
}

#[test]
fn paused_entry_never_returns_an_older_version_again() {
    run(async {
        let cell = cell().start().await.unwrap();
        let watches: Vec<Watch> = (0..3)
            .map(|entry| Watch::start(client(&cell, entry)))
            .collect();
        for base in 0..2 {
            assert_eq!(put(&cell, 0, base, document(base)).await.unwrap(), base + 1);
        }
        eventually("version 2", || async { watches[2].last() == 2 }).await;
        cell.entries[2].process.signal(Signal::Stop).unwrap();
        for base in 2..5 {
            assert_eq!(put(&cell, 0, base, document(base)).await.unwrap(), base + 1);
        }
        pause(PAST_LEASES_MS).await;
        cell.entries[2].process.signal(Signal::Continue).unwrap();
        assert_eq!(put(&cell, 1, 5, document(5)).await.unwrap(), 6);
        for watch in &watches {
            eventually("version 6", || async { watch.last() == 6 }).await;
        }
        pause(500).await;
        for watch in watches {
            watch.stop.set(true);
            watch.task.await.unwrap();
            let seen = watch.seen.borrow();
            assert!(seen.is_sorted(), "{seen:?}");
            assert_eq!(seen.last(), Some(&6));
        }
    });
}
