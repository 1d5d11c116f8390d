//! Accepts links from other entries, maintains the link to the owner, and queries other entries for
//! the claim in force while the log cannot be read.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::net::TcpListener;

use super::Control;
use crate::core::error::{Kind, Result};
use crate::core::scheduler::id::Token;
use crate::core::tenure::Claim;
use crate::entry::link::{self, Link};
use crate::entry::message::{EntryRequest, EntryResponse};
use crate::entry::owner::no_owner;
use crate::entry::port::Platform;

/// The pause before the owner is dialled again, and before the next accept after one that failed.
const DIAL_PAUSE: Duration = Duration::from_millis(150);
/// The pause before the other entries are queried for the claim in force again.
const QUERY_PAUSE: Duration = Duration::from_millis(300);
/// How long another entry may take to respond to the query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

impl<P: Platform> Control<P> {
    pub(super) async fn accept(self: Rc<Control<P>>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(self.log, "link cannot be accepted"; "error" => %error);
                    tokio::time::sleep(DIAL_PAUSE).await;
                    continue;
                }
            };
            let control = Rc::clone(&self);
            actix_rt::spawn(async move {
                let Some(socket) = link::accept(stream).await else {
                    return;
                };
                let server = Rc::clone(&control);
                let serve = move |request| Rc::clone(&server).serve(request);
                let (link, transfer) = link::open(socket, control.this_entry.name.clone(), serve);
                let owner = control.owner.borrow().clone();
                if let Some(owner) = owner {
                    owner.add_advisor_proxy(link);
                }
                transfer.await;
            });
        }
    }

    /// Keeps a link to the owner while another entry owns the cell.
    pub(super) async fn maintain_owner_link(self: Rc<Control<P>>) {
        loop {
            if self.has_peer_disclaimed.take() {
                let former = self.other_owner_claim();
                // While the log cannot be read, the new owner can be learnt only from another entry.
                self.query_peers().await;
                if self.other_owner_claim() == former {
                    // The loop continues after a change as well as after the timeout.
                    let _ = tokio::time::timeout(DIAL_PAUSE, self.changed.notified()).await;
                }
            }
            let claim = self.other_owner_claim();
            let Some(claim) = claim else {
                self.update_readiness();
                self.query_peers().await;
                // The loop continues after a change as well as after the timeout.
                let _ = tokio::time::timeout(QUERY_PAUSE, self.changed.notified()).await;
                continue;
            };
            let dialled = link::dial(claim.owner.address).await;
            self.note_reachable(claim.token, dialled.is_some());
            let Some(socket) = dialled else {
                self.query_peers().await;
                // The loop continues after a change as well as after the timeout.
                let _ = tokio::time::timeout(DIAL_PAUSE, self.changed.notified()).await;
                continue;
            };
            let server = Rc::clone(&self);
            let serve = move |request| Rc::clone(&server).serve(request);
            let (link, transfer) = link::open(socket, self.this_entry.name.clone(), serve);
            info!(self.log, "link to the owner is up"; "owner" => &claim.owner.name, "token" => claim.token.0);
            *self.link.borrow_mut() = Some((claim.token, link));
            self.linked_since.set(self.clock.now());
            self.read_requested.notify_one();
            self.update_readiness();
            self.changed.notify_waiters();
            let replaced = async {
                loop {
                    self.changed.notified().await;
                    let current = self.other_owner_claim().map(|claim| claim.token);
                    if current != Some(claim.token) || self.has_peer_disclaimed.get() {
                        return;
                    }
                }
            };
            tokio::select! {
                () = transfer => {
                    // Until the owner can be dialled again, a shorter silence in the log leads to a
                    // claim by this entry.
                    self.note_reachable(claim.token, false);
                }
                () = replaced => {}
            }
            info!(self.log, "link to the owner is down"; "owner" => &claim.owner.name, "token" => claim.token.0);
            *self.link.borrow_mut() = None;
            self.unlinked_since.set(self.clock.now());
            self.read_requested.notify_one();
            self.update_readiness();
        }
    }

    fn note_reachable(&self, token: Token, is_reachable: bool) {
        let mut elector = self.elector.borrow_mut();
        elector.note_reachable(token, is_reachable);
    }

    /// Queries the other entries for the claim in force, while this entry cannot read the log and does
    /// not own the cell.
    async fn query_peers(self: &Rc<Control<P>>) {
        let is_owner = self
            .owner
            .borrow()
            .as_ref()
            .is_some_and(|owner| !owner.is_over());
        if self.is_log_reachable.get() || is_owner {
            return;
        }
        let peers: Vec<SocketAddr> = self.elector.borrow().peers().collect();
        for peer in peers {
            let response = self.query(peer, EntryRequest::Claim).await;
            let Some(Ok(EntryResponse::Claim(Some(claim)))) = response else {
                continue;
            };
            let former = self.elector.borrow().claim().map(|claim| claim.token);
            if Some(claim.token) > former {
                info!(self.log, "claim on the cell, reported by another entry"; "owner" => &claim.owner.name,
                    "token" => claim.token.0, "told_by" => %peer);
                self.elector.borrow_mut().merge_claim(claim);
                self.update_ownership();
                self.changed.notify_waiters();
                return;
            }
        }
    }

    /// Sends a request over a link of its own and returns the response; `None` if the other entry
    /// cannot be reached or does not respond in time.
    pub(super) async fn query(
        &self,
        peer: SocketAddr,
        request: EntryRequest,
    ) -> Option<Result<EntryResponse>> {
        let response = self
            .with_link(peer, async |link| {
                link.request(request, QUERY_TIMEOUT).await
            })
            .await?;
        let is_lost = matches!(&response, Err(error) if error.kind == Kind::AnswerLost);
        (!is_lost).then_some(response)
    }

    /// Opens a link to another entry for `exchange`; returns `None` if the other entry cannot be reached or the
    /// link fails.
    pub(super) async fn with_link<T>(
        &self,
        peer: SocketAddr,
        exchange: impl AsyncFnOnce(&Link) -> T,
    ) -> Option<T> {
        let socket = link::dial(peer).await?;
        let serve = |_| async { Err(no_owner()) };
        let (link, transfer) = link::open(socket, self.this_entry.name.clone(), serve);
        tokio::select! {
            () = transfer => None,
            result = exchange(&link) => Some(result),
        }
    }

    /// Returns the claim in force, if another entry owns the cell.
    fn other_owner_claim(&self) -> Option<Claim> {
        let elector = self.elector.borrow();
        let claim = elector
            .claim()
            .filter(|claim| claim.owner != self.this_entry)?;
        (!claim.is_released).then(|| claim.clone())
    }
}
