//! Links: accepts those of other entries, holds one to the owner, and asks around for it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::net::TcpListener;

use super::Control;
use crate::core::scheduler::id::Token;
use crate::core::tenure::Claim;
use crate::entry::link;
use crate::entry::message::{Ask, Tell};
use crate::entry::owner::no_owner;
use crate::entry::port::Platform;

/// The pause before a link is dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(150);
/// The pause before other entries are asked again who owns the cell.
const CONSULT_PAUSE: Duration = Duration::from_millis(300);
/// How long another entry may take to say who owns the cell.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(500);

impl<P: Platform> Control<P> {
    pub(super) async fn accept(self: Rc<Control<P>>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(self.log, "cannot accept a link"; "error" => %error);
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
                let serve = move |ask| Rc::clone(&server).serve(ask);
                let (link, carried) = link::open(socket, control.me.name.clone(), serve);
                let owner = control.owner.borrow().clone();
                if let Some(owner) = owner {
                    owner.add_asker(link);
                }
                carried.await;
            });
        }
    }

    /// Holds a link to the owner.
    pub(super) async fn follow_owner(self: Rc<Control<P>>) {
        loop {
            if self.is_denied.take() {
                let former = self.claim_of_another();
                // Without the log, only another entry can tell who follows.
                self.consult_peers().await;
                if self.claim_of_another() == former {
                    // The time limit is what matters.
                    let _ = tokio::time::timeout(DIAL_PAUSE, self.changed.notified()).await;
                }
            }
            let claim = self.claim_of_another();
            let Some(claim) = claim else {
                self.note_ready();
                self.consult_peers().await;
                // The time limit is what matters.
                let _ = tokio::time::timeout(CONSULT_PAUSE, self.changed.notified()).await;
                continue;
            };
            let dialled = link::dial(claim.owner.address).await;
            self.note_reachable(claim.token, dialled.is_some());
            let Some(socket) = dialled else {
                self.consult_peers().await;
                // The time limit is what matters.
                let _ = tokio::time::timeout(DIAL_PAUSE, self.changed.notified()).await;
                continue;
            };
            let server = Rc::clone(&self);
            let serve = move |ask| Rc::clone(&server).serve(ask);
            let (link, carried) = link::open(socket, self.me.name.clone(), serve);
            info!(self.log, "link to the owner is up"; "owner" => &claim.owner.name, "token" => claim.token.0);
            *self.link.borrow_mut() = Some((claim.token, link));
            self.note_ready();
            self.changed.notify_waiters();
            let replaced = async {
                loop {
                    self.changed.notified().await;
                    let current = self.claim_of_another().map(|claim| claim.token);
                    if current != Some(claim.token) || self.is_denied.get() {
                        return;
                    }
                }
            };
            tokio::select! {
                () = carried => {
                    // Until it can be dialled again, its silence in the log counts for more.
                    self.note_reachable(claim.token, false);
                }
                () = replaced => {}
            }
            info!(self.log, "link to the owner is down"; "owner" => &claim.owner.name, "token" => claim.token.0);
            *self.link.borrow_mut() = None;
            self.unlinked_since.set(self.clock.now());
            self.read_wanted.notify_one();
            self.note_ready();
        }
    }

    fn note_reachable(&self, owner: Token, is_reachable: bool) {
        let mut elector = self.elector.borrow_mut();
        elector.note_reachable(owner, is_reachable);
    }

    /// Asks other entries who owns the cell, while this one can't read the log and owns nothing.
    async fn consult_peers(self: &Rc<Control<P>>) {
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
            let Some(claim) = self.consult(peer).await else {
                continue;
            };
            let former = self.elector.borrow().claim().map(|claim| claim.token);
            if Some(claim.token) > former {
                info!(self.log, "claim on the cell, told by another entry"; "owner" => &claim.owner.name,
                    "token" => claim.token.0, "told_by" => %peer);
                self.elector.borrow_mut().learn(claim);
                self.change_owner();
                self.changed.notify_waiters();
                return;
            }
        }
    }

    async fn consult(&self, peer: SocketAddr) -> Option<Claim> {
        let socket = link::dial(peer).await?;
        let serve = |_| async { Err(no_owner()) };
        let (link, carried) = link::open(socket, self.me.name.clone(), serve);
        tokio::select! {
            () = carried => None,
            tell = link.ask(Ask::Claim, CONSULT_TIMEOUT) => match tell {
                Ok(Tell::Claim(claim)) => claim,
                _ => None,
            },
        }
    }

    /// Returns the claim in force, if it is another entry's.
    fn claim_of_another(&self) -> Option<Claim> {
        let elector = self.elector.borrow();
        let claim = elector.claim().filter(|claim| claim.owner != self.me)?;
        (!claim.is_released).then(|| claim.clone())
    }
}
