//! Tests of how an entry learns of the configuration.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use laburnumplank::core::queue::{Limits, QueueTable};
use laburnumplank::entry::control::{Control, View};
use laburnumplank::util::clock::Clock;
use laburnumplank::util::metric::Metrics;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc;

use super::control::settings;
use super::fake::{Fake, Feed};

fn table(version: u64) -> QueueTable {
    let limits = Limits {
        body_bytes: 1_000,
        header_bytes: 1_000,
        header_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    };
    QueueTable::new(version, limits, Vec::new(), None)
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts an entry that reads the configuration from `feed`.
fn start(platform: &Fake, name: &str, feed: Feed) -> View {
    *platform.0.configuration.borrow_mut() = feed;
    let mut settings = settings();
    settings.name = name.to_owned();
    settings.links = free_address();
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::new().unwrap();
    let (control, view) = Control::new(platform.clone(), settings, Clock::start(), log, metrics);
    let (calls, receiver) = mpsc::unbounded_channel();
    std::mem::forget(calls);
    actix_rt::spawn(Rc::clone(&control).run(receiver));
    view
}

async fn wait_for_version(view: &View, version: u64) {
    let mut tables = view.tables.clone();
    let is_there = |table: &Option<std::sync::Arc<QueueTable>>| {
        table.as_ref().is_some_and(|table| table.version == version)
    };
    tables.wait_for(is_there).await.unwrap();
}

#[test]
fn configuration_of_an_entry_that_cannot_read_it_comes_from_the_owner() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = start(&platform, "front-1", Feed::Table(table(7)));
        wait_for_version(&owner, 7).await;
        let mut ready = owner.ready.clone();
        ready.wait_for(|ready| *ready).await.unwrap();
        let other = start(&platform, "front-2", Feed::Refused);
        wait_for_version(&other, 7).await;
    });
}

#[test]
fn configuration_of_an_owner_that_cannot_read_it_comes_from_another_entry() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let owner = start(&platform, "front-1", Feed::Refused);
        tokio::time::sleep(Duration::from_millis(100)).await;
        let other = start(&platform, "front-2", Feed::Table(table(8)));
        wait_for_version(&other, 8).await;
        wait_for_version(&owner, 8).await;
    });
}
