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
use crate::core::queue::QueueTable;
use crate::entry::link::Link;
use crate::entry::message::{EntryRequest, EntryResponse};
use crate::entry::port::{Configuration, Platform};

/// How long another entry may take to respond to the query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// The most entries that are dialled for the configuration after one failed read. Each may take as long as
/// [`QUERY_TIMEOUT`].
const MAX_DIALLED: usize = 2;

impl<P: Platform> Control<P> {
    /// Publishes each new version of the queues that operators configure.
    pub(super) async fn follow_configuration(self: Rc<Control<P>>) {
        let mut configuration = self.platform.configuration();
        let mut is_reachable = true;
        let mut failures: usize = 0;
        loop {
            match configuration.next().await {
                Ok(table) => {
                    is_reachable = true;
                    failures = 0;
                    if let Some(table) = table {
                        self.put_in_force(table, "the log");
                    }
                }
                Err(failure) => {
                    if is_reachable {
                        warn!(self.log, "configuration cannot be read"; "failure" => ?failure);
                        is_reachable = false;
                    }
                    self.query_configuration(failures).await;
                    failures += 1;
                    tokio::time::sleep(READ_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Puts a version in force unless it is older than the present one.
    fn put_in_force(&self, table: QueueTable, source: &str) {
        let version = table.version;
        if self.configured_version() >= Some(version) {
            return;
        }
        info!(self.log, "configuration in force"; "version" => version, "queues" => table.queues().count(),
            "accounts" => table.accounts.as_ref().map_or(0, account::Table::len), "source" => source);
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
            let response = link.request(request.clone(), QUERY_TIMEOUT).await;
            if let Ok(EntryResponse::Configuration(table)) = response {
                return self.put_in_force_from(table, &link.name());
            }
        }
        let peers: Vec<SocketAddr> = self.elector.borrow().peers().collect();
        for peer in peers
            .iter()
            .cycle()
            .skip(first)
            .take(MAX_DIALLED.min(peers.len()))
        {
            let response = self.query(*peer, request.clone()).await;
            if let Some(Ok(EntryResponse::Configuration(table))) = response {
                return self.put_in_force_from(table, &peer.to_string());
            }
        }
    }

    fn put_in_force_from(&self, table: Option<Box<QueueTable>>, source: &str) {
        if let Some(table) = table {
            self.put_in_force(*table, source);
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
