//! Passes on, from each ownership to the next, which leases the workers may still have.

use std::rc::Rc;
use std::time::Duration;

use slog::info;

use super::Control;
use crate::core::scheduler::id::Token;
use crate::core::scheduler::{Input, RemainingLease};
use crate::core::tenure::Claim;
use crate::core::time::Instant;
use crate::entry::message::{EntryRequest, EntryResponse};
use crate::entry::owner::Owner;
use crate::entry::port::Platform;

/// The pause before a former owner that did not respond is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// An ownership of this entry that has ended.
pub(super) struct FormerOwnership {
    token: Token,
    /// When the leases were determined.
    ended: Instant,
    leases: Vec<RemainingLease>,
}

/// What a former owner says of the remaining leases.
enum LeaseAnswer {
    /// It cannot be reached.
    Unreachable,
    /// It does not know them: it has restarted, or never completed its takeover.
    Unknown,
    Known(Vec<RemainingLease>),
}

impl<P: Platform> Control<P> {
    /// Stores which leases are left after an ownership of this entry, for the next owner.
    pub(super) fn keep_leases(&self, owner: &Owner<P>) {
        let ownership = owner.remaining_leases().map(|leases| FormerOwnership {
            token: owner.token(),
            ended: self.clock.now(),
            leases,
        });
        *self.former_ownership.borrow_mut() = ownership;
    }

    /// Returns the leases that are left after the ownership of this entry with the token `former`, and
    /// ends that ownership if it goes on; `None` if they are not known.
    pub(super) fn leases_of_former_ownership(
        &self,
        former: Token,
        successor: Token,
    ) -> Option<Vec<RemainingLease>> {
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| owner.token() == former && former < successor) {
            owner.finish("the next owner asks for the remaining leases");
            return owner.remaining_leases();
        }
        let ownership = self.former_ownership.borrow();
        let ownership = ownership.as_ref().filter(|known| known.token == former)?;
        let age = self.clock.now().since(ownership.ended);
        let leases = ownership.leases.iter().cloned();
        let leases = leases.map(|lease| RemainingLease {
            left: lease.left.saturating_sub(age),
            ..lease
        });
        Some(leases.collect())
    }

    /// Asks the former owner for the remaining leases, while inherited jobs of `owner` wait for
    /// workers.
    pub(super) async fn inherit_leases(self: Rc<Control<P>>, owner: Rc<Owner<P>>) {
        let former = self.elector.borrow().former_claim().cloned();
        let Some(former) = former else {
            return;
        };
        if !owner.opened().await {
            return;
        }
        while !owner.is_over() && owner.awaits_inherited_workers() {
            let answer = self.ask_for_leases(&former, owner.token()).await;
            let leases = match answer {
                LeaseAnswer::Unreachable => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
                LeaseAnswer::Unknown => None,
                LeaseAnswer::Known(leases) => Some(leases),
            };
            info!(self.log, "leases of the former owner"; "owner" => &former.owner.name,
                "former_token" => former.token.0, "token" => owner.token().0,
                "known" => leases.is_some(), "workers" => leases.as_ref().map(Vec::len));
            if let Some(leases) = leases {
                let answered = self.clock.now();
                owner.apply(Input::FormerLeases { answered, leases });
            }
            return;
        }
    }

    async fn ask_for_leases(&self, former: &Claim, successor: Token) -> LeaseAnswer {
        if former.owner == self.this_entry {
            let leases = self.leases_of_former_ownership(former.token, successor);
            return leases.map_or(LeaseAnswer::Unknown, LeaseAnswer::Known);
        }
        let request = EntryRequest::Leases {
            former: former.token,
            successor,
        };
        match self.query(former.owner.address, request).await {
            None => LeaseAnswer::Unreachable,
            Some(Ok(EntryResponse::Leases(leases))) => LeaseAnswer::Known(leases),
            Some(_) => LeaseAnswer::Unknown,
        }
    }
}
