//! Tests of how an entry learns of the configuration.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use laburnumplank::core::queue::{Limits, QueueBinding, QueueTable};
use laburnumplank::core::scheduler::spec::Queue;
use laburnumplank::entry::control::{Control, View};
use laburnumplank::util::clock::Clock;
use laburnumplank::util::metric::Metrics;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::control::settings;
use super::fake::{Fake, Feed, Tables};

fn table(version: u64) -> QueueTable {
    table_of(version, 0)
}

fn table_of(version: u64, queues: usize) -> QueueTable {
    let limits = Limits {
        body_bytes: 1_000,
        header_bytes: 1_000,
        header_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    };
    let bindings = (0..queues).map(|index| QueueBinding {
        host: format!("host{}.example", index % 100),
        prefix: format!("/queue-{index}/"),
        queue: Queue::named(format!("queue-{index}")),
        is_public: false,
    });
    QueueTable::new(version, limits, bindings.collect(), None)
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts an entry that reads the configuration from `feed`.
fn start(platform: &Fake, name: &str, feed: Feed) -> View {
    start_at(platform, name, free_address(), feed)
}

fn start_at(platform: &Fake, name: &str, links: SocketAddr, feed: Feed) -> View {
    *platform.0.configuration.borrow_mut() = feed;
    let mut settings = settings();
    settings.name = name.to_owned();
    settings.links = links;
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

/// What one connection carries to an entry in a second: a link of 10 Mbit/s.
const LINK_BYTES_PER_S: usize = 1_250_000;

/// Forwards connections to `target`, whose responses share a narrow link. Returns the address, and the count of
/// bytes that the link has carried.
async fn narrow_link(target: SocketAddr) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let carried = Rc::new(Cell::new(0));
    let count = Rc::clone(&carried);
    actix_rt::spawn(async move {
        loop {
            let (client, _) = listener.accept().await.unwrap();
            let server = TcpStream::connect(target).await.unwrap();
            let (mut client_read, client_write) = client.into_split();
            let (server_read, mut server_write) = server.into_split();
            actix_rt::spawn(async move {
                // Either end may close the connection.
                let _ = tokio::io::copy(&mut client_read, &mut server_write).await;
            });
            actix_rt::spawn(forward(server_read, client_write, Rc::clone(&count)));
        }
    });
    (address, carried)
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, carried: Rc<Cell<usize>>) {
    let mut part = vec![0; LINK_BYTES_PER_S / 100];
    while let Ok(length @ 1..) = from.read(&mut part).await {
        if to.write_all(&part[..length]).await.is_err() {
            return;
        }
        carried.set(carried.get() + length);
        tokio::time::sleep(Duration::from_secs(1) * length as u32 / LINK_BYTES_PER_S as u32).await;
    }
}

/// How many queues a large configuration has.
const MANY_QUEUES: usize = 6_000;
/// A link that has carried this much for one version carries parts of it again and again.
const MAX_CARRIED_BYTES: usize = 8_000_000;

#[test]
fn large_configuration_arrives_over_a_narrow_link() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let address = free_address();
        let feed = Feed::Table(table_of(7, MANY_QUEUES));
        let owner = start_at(&platform, "front-1", address, feed);
        let mut ready = owner.ready.clone();
        ready.wait_for(|ready| *ready).await.unwrap();
        let (narrow, carried) = narrow_link(address).await;
        let platform = platform.with_detour(address, narrow);
        let other = start(&platform, "front-2", Feed::Refused);
        tokio::select! {
            () = wait_for_version(&other, 7) => {}
            () = async {
                while carried.get() < MAX_CARRIED_BYTES {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            } => panic!("no version after {} bytes", carried.get()),
        }
        let table = other.tables.borrow().clone().unwrap();
        assert_eq!(*table, table_of(7, MANY_QUEUES));
    });
}

#[test]
fn large_configuration_is_transferred_from_the_log_only_to_the_owner() {
    actix_rt::System::new().block_on(async {
        let platform = Fake::default();
        let tables = Tables::default();
        let start_reader = |name| start(&platform, name, Feed::Log(tables.clone()));
        let owner = start_reader("front-1");
        let mut others = Vec::new();
        tables.push(table_of(1, 1));
        for name in ["front-2", "front-3", "front-4"] {
            wait_for_version(&owner, 1).await;
            others.push(start_reader(name));
        }
        for other in &others {
            let mut ready = other.ready.clone();
            ready.wait_for(|ready| *ready).await.unwrap();
        }
        tables.transfers.set(0);
        for version in 2..10 {
            tables.push(table_of(version, 100 * version as usize));
            for other in &others {
                wait_for_version(other, version).await;
            }
        }
        assert_eq!(tables.transfers.get(), 8, "once for each version");
    });
}
