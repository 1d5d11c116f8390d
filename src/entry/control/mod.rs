//! The control thread of an entry: it elects the owner of the cell, runs the links to other entries
//! and forwards requests to the owner.

mod configuration;
mod election;
mod inheritance;
mod links;
mod standby;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use inheritance::FormerOwnership;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::{Mutex, Notify, mpsc, oneshot, watch};

use crate::core::error::{Error, Kind, Result};
use crate::core::queue::QueueTable;
use crate::core::scheduler::id::Token;
use crate::core::tenure::{self, Elector};
use crate::core::time::Instant;
use crate::entry::link::Link;
use crate::entry::message::{EntryRequest, EntryResponse};
use crate::entry::owner::{Owner, no_owner};
use crate::entry::port::{AppendCondition, AppendOutcome, Platform};
use crate::entry::settings::Settings;
use crate::entry::standby::Copy;
use crate::util::clock::Clock;
use crate::util::metric::Metrics;

/// The pause after a read that failed.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The pause before a request is sent again, unless the owner changes earlier.
const REQUEST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long to wait for the advisor's answer to another entry's request.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an owner that releases the cell waits until its last records have been sent to the log.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// A request from a traffic thread.
pub struct Call {
    /// The request.
    pub request: EntryRequest,
    /// Until when to wait for an owner.
    pub wait_until: Instant,
    /// The time after which the caller needs no response.
    pub deadline: Instant,
    /// Takes the response.
    pub reply: oneshot::Sender<Result<EntryResponse>>,
}

/// The part of the control thread's state that traffic threads observe.
#[derive(Clone)]
pub struct View {
    /// The configured queues; `None` until they have been read.
    pub tables: watch::Receiver<Option<Arc<QueueTable>>>,
    /// Whether requests can be served: the owner is reachable and the queues are known.
    pub ready: watch::Receiver<bool>,
}

/// The state of the control thread.
pub struct Control<P: Platform> {
    platform: P,
    settings: Settings,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    this_entry: tenure::Owner,
    elector: RefCell<Elector>,
    owner: RefCell<Option<Rc<Owner<P>>>>,
    /// The last ownership of this entry that has been replaced.
    former_ownership: RefCell<Option<FormerOwnership>>,
    /// The link to the owner and the owner's token, while another entry is the owner.
    link: RefCell<Option<(Token, Link)>>,
    /// Whether the entry at the other end of the link has responded that it is not the owner.
    has_peer_disclaimed: Cell<bool>,
    /// When the last link to an owner was opened.
    linked_since: Cell<Instant>,
    /// When the last link to an owner was closed.
    unlinked_since: Cell<Instant>,
    /// Whether the last read of the log succeeded.
    is_log_reachable: Cell<bool>,
    /// Notifies of every change of the owner, of the link to it, and of the loss of
    /// access to the log.
    changed: Notify,
    /// How many notices (renewals and releases) are in flight.
    notices_in_flight: Cell<u32>,
    /// When the last notice was sent.
    notice_sent_at: Cell<Instant>,
    /// Requests an immediate read of the claims.
    read_requested: Notify,
    /// Held while the claims are read to confirm an answer, so that one read confirms many.
    confirming: Mutex<()>,
    /// What this entry has read of the jobs, while it is among the first to claim the cell.
    standby: RefCell<Copy>,
    tables: watch::Sender<Option<Arc<QueueTable>>>,
    /// What this entry tells others of the configuration.
    configuration: configuration::Relay,
    ready: watch::Sender<bool>,
}

impl<P: Platform> Control<P> {
    /// Creates the state of an entry that has just started, and the view for its traffic threads.
    pub fn new(
        platform: P,
        settings: Settings,
        clock: Clock,
        log: Logger,
        metrics: Metrics,
    ) -> (Rc<Control<P>>, View) {
        let this_entry = tenure::Owner {
            name: settings.name.clone(),
            address: settings.links,
            incarnation: clock.stamp().0 << 20 | rand::random::<u64>() & 0xf_ffff,
            processors_millis: (settings.processors * 1_000.0) as u32,
        };
        let (tables, tables_view) = watch::channel(None);
        let (ready, ready_view) = watch::channel(false);
        let control = Control {
            elector: RefCell::new(Elector::new(settings.tenure(), this_entry.clone())),
            platform,
            settings,
            clock,
            log,
            metrics,
            this_entry,
            owner: RefCell::default(),
            former_ownership: RefCell::default(),
            link: RefCell::default(),
            has_peer_disclaimed: Cell::new(false),
            linked_since: Cell::new(clock.now()),
            unlinked_since: Cell::new(clock.now()),
            is_log_reachable: Cell::new(true),
            changed: Notify::new(),
            notices_in_flight: Cell::new(0),
            notice_sent_at: Cell::new(clock.now()),
            read_requested: Notify::new(),
            confirming: Mutex::new(()),
            standby: RefCell::default(),
            tables,
            configuration: configuration::Relay::default(),
            ready,
        };
        let view = View {
            tables: tables_view,
            ready: ready_view,
        };
        (Rc::new(control), view)
    }

    /// Runs until all senders of `calls` are dropped.
    ///
    /// # Errors
    ///
    /// Fails when the address for links can't be bound.
    pub async fn run(
        self: Rc<Control<P>>,
        mut calls: mpsc::UnboundedReceiver<Call>,
    ) -> eyre::Result<()> {
        let listener = TcpListener::bind(self.settings.links).await?;
        actix_rt::spawn(Rc::clone(&self).accept(listener));
        actix_rt::spawn(Rc::clone(&self).read_claims());
        actix_rt::spawn(Rc::clone(&self).elect());
        actix_rt::spawn(Rc::clone(&self).announce());
        actix_rt::spawn(Rc::clone(&self).maintain_owner_link());
        actix_rt::spawn(Rc::clone(&self).follow_configuration());
        actix_rt::spawn(Rc::clone(&self).follow_jobs());
        while let Some(call) = calls.recv().await {
            let control = Rc::clone(&self);
            actix_rt::spawn(async move {
                let answer = control
                    .handle(call.request, call.wait_until, call.deadline)
                    .await;
                // The caller may have stopped waiting.
                let _ = call.reply.send(answer);
            });
        }
        Ok(())
    }

    /// Hands the cell over, if this entry owns it, and stops claiming it.
    pub async fn retire(&self) {
        self.elector.borrow_mut().retire();
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| !owner.is_over()) {
            self.release(&owner, "this entry is stopping").await;
        }
    }

    /// Ends an ownership so that another entry can take the cell over at once.
    async fn release(&self, owner: &Owner<P>, reason: &'static str) {
        owner.flush(FLUSH_TIMEOUT).await;
        if let Some(claim) = self.hand_over(owner, true).await {
            owner.finish(reason);
            self.elector.borrow_mut().merge_claim(claim);
        } else {
            owner.finish(reason);
            self.resign(owner.token());
            self.append_release(owner.token()).await;
        }
        self.changed.notify_waiters();
    }

    /// Gives up the claim with `token`, if it is this entry's and still in force.
    fn resign(&self, token: Token) {
        let now = self.clock.now();
        self.elector.borrow_mut().resign(now, token);
    }

    async fn append_release(&self, token: Token) {
        let release = tenure::Record::Release(token);
        let outcome = self.append(&release, AppendCondition::Always).await;
        info!(self.log, "cell released"; "token" => token.0, "outcome" => ?outcome);
        if outcome == AppendOutcome::Done {
            self.elector.borrow_mut().note_released(token);
        }
    }

    /// Sends a request to the current owner and returns its response.
    ///
    /// While no owner can serve it, or the log takes no records, the request waits until `wait_until`:
    /// it is recorded as soon as the log is back, and a refused caller would come back later than that.
    /// It fails at once when another entry owns the cell and only this entry cannot reach it: the
    /// caller may then try another entry. A request that may have been executed is repeated until
    /// `deadline`.
    pub async fn handle(
        self: &Rc<Control<P>>,
        request: EntryRequest,
        wait_until: Instant,
        deadline: Instant,
    ) -> Result<EntryResponse> {
        let mut is_in_doubt = false;
        loop {
            let timeout = deadline.since(self.clock.now());
            let error = match self.send_to_owner(request.clone(), timeout).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let is_reachable = self.is_log_reachable.get();
            match error.kind {
                Kind::AnswerLost => is_in_doubt |= !request.is_read(),
                // Another entry that can still use the log replaces an owner that cannot.
                Kind::NoOwner if is_reachable || is_in_doubt => {}
                Kind::LogDown => {}
                _ if is_in_doubt => return Err(in_doubt()),
                _ => return Err(error),
            }
            let end = if is_in_doubt { deadline } else { wait_until };
            if self.clock.now() + REQUEST_RETRY_PAUSE >= end {
                return Err(if is_in_doubt { in_doubt() } else { error });
            }
            if !is_in_doubt && self.is_cut_off() {
                return Err(error.with_retry_after(Duration::ZERO));
            }
            if error.kind == Kind::LogDown && !is_reachable {
                self.wait_for_log(end).await;
            } else {
                // The next attempt follows a change as well as the timeout; the deadlines are checked
                // above.
                let _ = tokio::time::timeout(REQUEST_RETRY_PAUSE, self.changed.notified()).await;
            }
        }
    }

    /// Waits until this entry can read the log again, and at most until shortly before `end`.
    async fn wait_for_log(&self, end: Instant) {
        while !self.is_log_reachable.get() {
            let left = end.since(self.clock.now() + REQUEST_RETRY_PAUSE);
            if left.is_zero() {
                return;
            }
            // The loop checks the log and the deadline again.
            let _ = tokio::time::timeout(left, self.changed.notified()).await;
        }
    }

    /// Whether the owner is alive and only this entry has no link to it: other entries may be able to
    /// serve the caller.
    fn is_cut_off(&self) -> bool {
        let elector = self.elector.borrow();
        let unlinked_since = self.unlinked_since.get();
        self.link.borrow().is_none() && elector.is_cut_off(self.clock.now(), unlinked_since)
    }

    async fn send_to_owner(
        self: &Rc<Control<P>>,
        request: EntryRequest,
        timeout: Duration,
    ) -> Result<EntryResponse> {
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| owner.is_open()) {
            let answer = tokio::time::timeout(timeout, self.serve_as_owner(&owner, request)).await;
            return answer.unwrap_or_else(|_| Err(in_doubt()));
        }
        let link = self.link.borrow().clone();
        match link {
            Some((_, link)) => {
                let answer = link.request(request, timeout).await;
                if matches!(&answer, Err(error) if error.kind == Kind::NoOwner) {
                    self.has_peer_disclaimed.set(true);
                    self.read_requested.notify_one();
                    self.changed.notify_waiters();
                }
                answer
            }
            None => Err(no_owner()),
        }
    }

    /// Serves a request of another entry.
    async fn serve(self: Rc<Control<P>>, request: EntryRequest) -> Result<EntryResponse> {
        if let EntryRequest::Advise { step, workers } = request {
            let allowed = self.platform.advise(step, &workers, ADVICE_TIMEOUT).await;
            let Some(allowed) = allowed else {
                return Err(Error::new(Kind::NoTarget, "the advisor did not answer"));
            };
            let names = allowed.workers.into_iter();
            return Ok(EntryResponse::Advised {
                allowed: names
                    .map(|(name, ticket)| (name, ticket.to_string()))
                    .collect(),
                validity: allowed.validity,
            });
        }
        if let EntryRequest::Claim = request {
            return Ok(EntryResponse::Claim(self.elector.borrow().claim().cloned()));
        }
        if let EntryRequest::Configuration { known, page } = request {
            return Ok(self.serve_configuration(known, page).await);
        }
        if let EntryRequest::Leases { former, successor } = request {
            let leases = self.leases_of_former_ownership(former, successor);
            return leases.map(EntryResponse::Leases).ok_or_else(no_owner);
        }
        if let EntryRequest::TakeOver { token, is_stopping } = request {
            return self.take_over(token, is_stopping).await;
        }
        let owner = self.owner.borrow().clone();
        match owner {
            Some(owner) => self.serve_as_owner(&owner, request).await,
            None => Err(no_owner()),
        }
    }

    /// Serves a request as the owner of the cell. That a job does not exist is only said by an owner
    /// that has had no successor when the request arrived: a process that stood still does not know of
    /// its successors, nor of the jobs that they accepted.
    async fn serve_as_owner(
        self: &Rc<Control<P>>,
        owner: &Owner<P>,
        request: EntryRequest,
    ) -> Result<EntryResponse> {
        let since = self.clock.now();
        let response = owner.serve(request).await?;
        if response == EntryResponse::Gone {
            self.confirm_ownership(owner, since).await?;
        }
        Ok(response)
    }

    /// Checks with a read of the claims that the owner had no successor at `since`.
    async fn confirm_ownership(
        self: &Rc<Control<P>>,
        owner: &Owner<P>,
        since: Instant,
    ) -> Result<()> {
        let _guard = self.confirming.lock().await;
        let has_read = self.elector.borrow().has_read_since(since);
        if !has_read && !self.read_once().await {
            return Err(Error::new(
                Kind::LogDown,
                "the log cannot be read, so it is not known whether the job exists",
            ));
        }
        if owner.is_over() {
            return Err(no_owner());
        }
        Ok(())
    }

    /// Whether this entry owns the cell or has a link to its owner.
    fn has_owner(&self) -> bool {
        let owner = self.owner.borrow();
        self.link.borrow().is_some() || owner.as_ref().is_some_and(|owner| !owner.is_over())
    }

    fn update_readiness(&self) {
        let has_owner = self.has_owner();
        let is_ready = has_owner && self.tables.borrow().is_some();
        let has_changed = self
            .ready
            .send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
        if has_changed {
            info!(self.log, "readiness changed"; "ready" => is_ready, "has_owner" => has_owner);
        }
    }
}

fn in_doubt() -> Error {
    Error::new(
        Kind::AnswerLost,
        "it is not known whether the request was executed",
    )
}
