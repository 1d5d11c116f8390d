//! Follows the configuration: from the log and, while this entry cannot read it, from other entries.
//!
//! The log may turn some entries away and serve the others. A key that was withdrawn must not admit callers
//! at those, so an entry whose read has failed asks the owner, or else the other entries, for a newer version.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::{Control, READ_RETRY_PAUSE};
use crate::core::account;
use crate::core::error::{Kind, Result};
use crate::core::queue::QueueTable;
use crate::core::time::Instant;
use crate::entry::link::Link;
use crate::entry::message::{EntryRequest, EntryResponse};
use crate::entry::owner::no_owner;
use crate::entry::port::{Configuration, Platform, ReadError};
use crate::util::metric::label;

/// How long another entry may take to respond to the query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// The most entries that are dialled for the configuration after one failed read. Each may take as long as
/// [`QUERY_TIMEOUT`].
const MAX_DIALLED: usize = 2;
/// The interval between log lines while reads go on failing.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

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
        let mut configuration = self.platform.configuration();
        let mut reads = Reads::new(self.clock.now());
        loop {
            let sent = self.clock.now();
            match configuration.next().await {
                Ok(table) => {
                    self.note_read(&mut reads, sent);
                    if let Some(table) = table {
                        self.put_in_force(table, "the log", sent);
                    }
                }
                Err(failure) => {
                    self.note_failed_read(&mut reads, sent, failure, configuration.position());
                    self.query_configuration(reads.failures).await;
                    reads.failures += 1;
                    tokio::time::sleep(READ_RETRY_PAUSE).await;
                }
            }
        }
    }

    fn note_read(&self, reads: &mut Reads, sent: Instant) {
        self.count_read("done");
        if reads.failures > 0 {
            info!(self.log, "configuration can be read again"; "failures" => reads.failures,
                "age_ms" => millis(sent.since(reads.succeeded_at)));
        }
        *reads = Reads::new(self.clock.now());
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
        self.tables.send_replace(Some(Arc::new(table)));
        self.update_readiness();
    }

    fn configured_version(&self) -> Option<u64> {
        self.tables.borrow().as_ref().map(|table| table.version)
    }

    /// Returns the response to an entry that has the configuration `known`.
    pub(super) fn newer_configuration(&self, known: Option<u64>) -> EntryResponse {
        let table = self.tables.borrow().clone();
        let newer = table.filter(|table| Some(table.version) > known);
        EntryResponse::Configuration(newer.map(|table| Box::new(QueueTable::clone(&table))))
    }

    /// Asks other entries for a newer configuration: over the open links, or else a few of the others, from the
    /// one numbered `first` on.
    async fn query_configuration(&self, first: usize) {
        let request = EntryRequest::Configuration {
            known: self.configured_version(),
        };
        let links = self.open_links();
        for link in &links {
            let sent = self.clock.now();
            let response = link.request(request.clone(), QUERY_TIMEOUT).await;
            self.log_query(&link.name(), sent, &response);
            if let Ok(EntryResponse::Configuration(table)) = response {
                return self.put_in_force_from(table, &link.name(), sent);
            }
        }
        let peers: Vec<SocketAddr> = self.elector.borrow().peers().collect();
        for peer in peers
            .iter()
            .cycle()
            .skip(first)
            .take(MAX_DIALLED.min(peers.len()))
        {
            let sent = self.clock.now();
            let response = self.query(*peer, request.clone()).await;
            let response = response.unwrap_or_else(|| Err(no_owner()));
            self.log_query(&peer.to_string(), sent, &response);
            if let Ok(EntryResponse::Configuration(table)) = response {
                return self.put_in_force_from(table, &peer.to_string(), sent);
            }
        }
    }

    fn log_query(&self, peer: &str, sent: Instant, response: &Result<EntryResponse>) {
        let outcome = match response {
            Ok(EntryResponse::Configuration(Some(_))) => "newer",
            Ok(_) => "nothing newer",
            Err(error) if error.kind == Kind::AnswerLost => "no response",
            Err(_) => "not reached",
        };
        info!(self.log, "configuration queried"; "entry" => peer, "outcome" => outcome,
            "took_ms" => millis(self.clock.now().since(sent)));
        self.count_read(outcome);
    }

    fn put_in_force_from(&self, table: Option<Box<QueueTable>>, source: &str, sent: Instant) {
        if let Some(table) = table {
            self.put_in_force(*table, source, sent);
        }
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
