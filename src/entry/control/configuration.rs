//! Follows the configuration: from the log, and from other entries where that is faster or the log cannot be read.
//!
//! A configuration may be much larger than a change of it. Every entry learns from the log that there is a
//! newer version. If that takes long to transfer, only the owner reads all of it, and the others get the changes
//! from the owner; an entry that does not get them in time reads the log as well.
//!
//! The log may turn some entries away and serve the others. A key that was withdrawn must not admit callers
//! at those, so an entry whose read has failed gets the changes from the owner, or else from other entries.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::Notify;

use super::{Control, READ_RETRY_PAUSE};
use crate::core::account;
use crate::core::error::Kind;
use crate::core::queue::QueueTable;
use crate::core::queue::patch::{self, History, Transfer};
use crate::core::time::Instant;
use crate::entry::link::Link;
use crate::entry::message::{ConfigurationPage, EntryRequest, EntryResponse};
use crate::entry::port::{Configuration, Platform, ReadError, Reading};
use crate::util::metric::label;

/// How long another entry may take to respond with a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an entry waits for the owner to have a large configuration before it reads all of it.
const OWNER_WAIT: Duration = Duration::from_millis(1_000);
/// How long the changes of a large configuration may take to arrive from the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// An entry whose last successful read is older may be as far behind as the one that queries it. A read waits
/// for up to 0.7 s.
const CURRENT_READ_AGE: Duration = Duration::from_millis(1_500);
/// The most open links over which the configuration is queried after one failed read.
const MAX_LINKS: usize = 2;
/// The most entries that are dialled for the configuration after one failed read.
const MAX_DIALLED: usize = 2;
/// A transfer from another entry ends when this many pages did not continue it: that entry gets versions faster
/// than it passes them on.
const MAX_RESTARTS: usize = 8;
/// The interval between log lines while reads go on failing.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What an entry tells others of the configuration.
#[derive(Default)]
pub(super) struct Relay {
    history: RefCell<History>,
    /// The offset up to which this entry knows the log.
    position: Cell<Option<u64>>,
    /// When this entry last knew that there was nothing newer.
    read_at: Cell<Option<Instant>>,
    /// Notifies of every change of the position.
    moved: Notify,
}

/// What another entry has said of its configuration once it had nothing newer.
struct Standing {
    position: Option<u64>,
    read_age: Option<Duration>,
}

impl Standing {
    fn is_current(&self) -> bool {
        self.read_age.is_some_and(|age| age <= CURRENT_READ_AGE)
    }
}

/// How the reads of the configuration went.
struct Reads {
    /// When the last read succeeded, or when the entry started.
    succeeded_at: Instant,
    /// How many reads have failed since.
    failures: usize,
    /// When the last failure was logged.
    logged_at: Instant,
}

impl Reads {
    fn new(now: Instant) -> Reads {
        Reads {
            succeeded_at: now,
            failures: 0,
            logged_at: now,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl<P: Platform> Control<P> {
    /// Publishes each new version of the queues that operators configure.
    pub(super) async fn follow_configuration(self: Rc<Control<P>>) {
        let mut feed = self.platform.configuration();
        let mut reads = Reads::new(self.clock.now());
        loop {
            let sent = self.clock.now();
            match self.read_configuration(&mut feed, sent).await {
                Ok(()) => self.note_read(&mut reads, sent, feed.position()),
                Err(failure) => {
                    self.note_failed_read(&mut reads, sent, failure, feed.position());
                    if let Some(position) = self.query_configuration(reads.failures).await
                        && Some(position) > feed.position()
                    {
                        feed.skip_to(position);
                    }
                    reads.failures += 1;
                    tokio::time::sleep(READ_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Puts what the feed returns next in force.
    async fn read_configuration(
        &self,
        feed: &mut P::Configuration,
        sent: Instant,
    ) -> std::result::Result<(), ReadError> {
        let mut reading = feed.next().await?;
        if let Reading::Large { end } = reading {
            if let Some(position) = self.receive_from_owner(end).await {
                feed.skip_to(position);
                return Ok(());
            }
            reading = feed.finish().await?;
        }
        if let Reading::Table(table) = reading {
            self.put_in_force(*table, "the log", sent);
        }
        Ok(())
    }

    /// Gets the changes up to the offset `end` of the log from the owner. Returns the offset up to which
    /// they reach; `None` if this entry has to read the log itself.
    async fn receive_from_owner(&self, end: u64) -> Option<u64> {
        let (_, link) = self.link.borrow().clone()?;
        let received = self.receive_over(&link, Some(end), OWNER_WAIT);
        let received = tokio::time::timeout(OWNER_TIMEOUT, received).await;
        let position = received
            .ok()
            .flatten()
            .and_then(|standing| standing.position);
        position.filter(|&position| position >= end)
    }

    fn note_read(&self, reads: &mut Reads, sent: Instant, position: Option<u64>) {
        self.count_read("done");
        if reads.failures > 0 {
            info!(self.log, "configuration can be read again"; "failures" => reads.failures,
                "age_ms" => millis(sent.since(reads.succeeded_at)));
        }
        *reads = Reads::new(self.clock.now());
        self.configuration.read_at.set(Some(reads.succeeded_at));
        self.move_position(position);
    }

    fn move_position(&self, position: Option<u64>) {
        if position > self.configuration.position.get() {
            self.configuration.position.set(position);
            self.configuration.moved.notify_waiters();
        }
    }

    /// Logs the first failure and then one a second.
    fn note_failed_read(
        &self,
        reads: &mut Reads,
        sent: Instant,
        failure: ReadError,
        position: Option<u64>,
    ) {
        self.count_read("failed");
        let now = self.clock.now();
        if reads.failures > 0 && now.since(reads.logged_at) < FAILURE_LOG_INTERVAL {
            return;
        }
        reads.logged_at = now;
        warn!(self.log, "configuration cannot be read"; "failure" => ?failure, "failures" => reads.failures + 1,
            "took_ms" => millis(now.since(sent)), "age_ms" => millis(now.since(reads.succeeded_at)),
            "version" => self.configured_version(), "position" => position);
    }

    fn count_read(&self, outcome: &'static str) {
        let outcome = label("outcome", outcome);
        self.metrics.configuration_reads.add(1, &outcome);
    }

    /// Puts a version in force unless it is older than the present one. It was asked for at `sent`.
    fn put_in_force(&self, table: QueueTable, source: &str, sent: Instant) {
        let version = table.version;
        if self.configured_version() >= Some(version) {
            return;
        }
        info!(self.log, "configuration in force"; "version" => version, "queues" => table.queues().count(),
            "accounts" => table.accounts.as_ref().map_or(0, account::Table::len), "source" => source,
            "took_ms" => millis(self.clock.now().since(sent)));
        self.metrics.configuration_version.record(version, &[]);
        let former = self.tables.borrow().clone();
        let mut history = self.configuration.history.borrow_mut();
        history.push(former.as_deref(), &table);
        drop(history);
        self.tables.send_replace(Some(Arc::new(table)));
        self.update_readiness();
    }

    fn configured_version(&self) -> Option<u64> {
        self.tables.borrow().as_ref().map(|table| table.version)
    }

    /// Returns the response to an entry that has the configuration `known`.
    pub(super) async fn serve_configuration(
        &self,
        known: Option<u64>,
        page: Option<ConfigurationPage>,
    ) -> EntryResponse {
        let Some(page) = page else {
            return EntryResponse::Configuration(self.newer_table(known));
        };
        let end = self.clock.now() + page.wait.min(OWNER_WAIT);
        loop {
            // Registered before the check, so that no change between the two is missed.
            let moved = self.configuration.moved.notified();
            let newer = self.newer_page(known, page.number);
            let now = self.clock.now();
            let has_read = self.configuration.position.get() >= page.position;
            if newer.is_some() || has_read || now >= end {
                let read_at = self.configuration.read_at.get();
                return EntryResponse::ConfigurationPage {
                    page: newer.map(Box::new),
                    position: self.configuration.position.get(),
                    read_age: read_at.map(|read_at| now.since(read_at)),
                };
            }
            // The loop checks the position and the time again.
            let _ = tokio::time::timeout(end.since(now), moved).await;
        }
    }

    fn newer_table(&self, known: Option<u64>) -> Option<Box<QueueTable>> {
        let table = self.tables.borrow().clone();
        let newer = table.filter(|table| Some(table.version) > known);
        newer.map(|table| Box::new(QueueTable::clone(&table)))
    }

    fn newer_page(&self, known: Option<u64>, number: usize) -> Option<patch::Page> {
        let table = self.tables.borrow().clone()?;
        let mut history = self.configuration.history.borrow_mut();
        let step = history.next_step(known, &table)?;
        Some(step.page(number))
    }

    /// Gets newer versions from other entries: over open links, or else from a few of the others, from the
    /// one numbered `first` on. Returns the offset of the log up to which they reach, if an entry has
    /// responded that has read the log lately.
    async fn query_configuration(&self, first: usize) -> Option<u64> {
        let links = self.open_links();
        for link in links
            .iter()
            .cycle()
            .skip(first)
            .take(MAX_LINKS.min(links.len()))
        {
            let standing = self.receive_over(link, None, Duration::ZERO).await;
            if let Some(standing) = standing.filter(Standing::is_current) {
                return standing.position;
            }
        }
        let peers: Vec<SocketAddr> = self.elector.borrow().peers().collect();
        for &peer in peers
            .iter()
            .cycle()
            .skip(first)
            .take(MAX_DIALLED.min(peers.len()))
        {
            let standing = self
                .with_link(peer, async |link| {
                    self.receive_over(link, None, Duration::ZERO).await
                })
                .await;
            if let Some(standing) = standing.flatten().filter(Standing::is_current) {
                return standing.position;
            }
        }
        None
    }

    /// Gets the versions that another entry has beyond the one in force here, and puts them in force. The other
    /// entry may take up to `wait` until it has read the log up to `position`. Returns `None` if it
    /// does not respond.
    async fn receive_over(
        &self,
        link: &Link,
        position: Option<u64>,
        wait: Duration,
    ) -> Option<Standing> {
        let started = self.clock.now();
        let mut transfer = Transfer::default();
        let mut restarts = 0;
        while restarts < MAX_RESTARTS {
            let request = EntryRequest::Configuration {
                known: self.configured_version(),
                page: Some(ConfigurationPage {
                    number: transfer.next_page(),
                    position,
                    wait,
                }),
            };
            let response = link.request(request, PAGE_TIMEOUT + wait).await;
            match response {
                Ok(EntryResponse::ConfigurationPage {
                    page: None,
                    position,
                    read_age,
                }) => {
                    self.log_query(link, started, "nothing newer");
                    return Some(Standing { position, read_age });
                }
                Ok(EntryResponse::ConfigurationPage {
                    page: Some(page), ..
                }) => {
                    restarts += usize::from(!transfer.add(*page));
                    let base = self.tables.borrow().clone();
                    if let Some(table) = transfer.finish(base.as_deref()) {
                        self.put_in_force(table, &link.name(), started);
                    }
                }
                // An entry of an earlier release.
                Ok(EntryResponse::Configuration(table)) => {
                    if let Some(table) = table {
                        self.put_in_force(*table, &link.name(), started);
                    }
                    return None;
                }
                Ok(_) => return None,
                Err(error) => {
                    let is_lost = error.kind == Kind::AnswerLost;
                    let outcome = if is_lost {
                        "no response"
                    } else {
                        "not reached"
                    };
                    self.log_query(link, started, outcome);
                    return None;
                }
            }
        }
        self.log_query(link, started, "not completed");
        None
    }

    fn log_query(&self, link: &Link, started: Instant, outcome: &'static str) {
        info!(self.log, "configuration queried"; "entry" => link.name(), "outcome" => outcome,
            "version" => self.configured_version(), "took_ms" => millis(self.clock.now().since(started)));
        self.count_read(outcome);
    }

    /// Returns the link to the owner or, if this entry is the owner, those of the other entries.
    fn open_links(&self) -> Vec<Link> {
        let link = self.link.borrow().as_ref().map(|(_, link)| link.clone());
        let owner = self.owner.borrow().clone();
        let owner = owner.filter(|owner| !owner.is_over());
        let accepted = owner.iter().flat_map(|owner| owner.links());
        let links = link.into_iter().chain(accepted);
        links.filter(Link::is_open).collect()
    }
}
