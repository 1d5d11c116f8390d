//! The control thread of an entry: who owns the cell, links, and the way of a request to the owner.

mod election;
mod links;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::core::error::{Error, Kind, Result};
use crate::core::queue::QueueTable;
use crate::core::scheduler::id::Token;
use crate::core::tenure::{self, Elector};
use crate::core::time::Instant;
use crate::entry::link::Link;
use crate::entry::message::{Ask, Tell};
use crate::entry::owner::{Owner, no_owner};
use crate::entry::port::{Appended, Configuration, Guard, Platform};
use crate::entry::settings::Settings;
use crate::util::clock::Clock;
use crate::util::metric::Metrics;

/// The pause after a read that failed.
const READ_RETRY: Duration = Duration::from_millis(150);
/// The pause before a request is tried again, unless the owner changes before.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// How long a link may take to come up before callers are sent to other entries.
const LINK_GRACE: Duration = Duration::from_millis(300);
/// How long an advisor's answer is waited for.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a stop waits for the last records.
const FLUSH_LIMIT: Duration = Duration::from_millis(400);

/// A request from a traffic thread.
pub struct Call {
    /// What is asked.
    pub ask: Ask,
    /// Until when an owner is waited for.
    pub patience: Instant,
    /// When the answer is of no use any more.
    pub deadline: Instant,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Result<Tell>>,
}

/// What traffic threads see of the control thread.
#[derive(Clone)]
pub struct View {
    /// The queues in force.
    pub tables: watch::Receiver<Option<Arc<QueueTable>>>,
    /// Whether requests can be served.
    pub ready: watch::Receiver<bool>,
}

/// The control thread's state.
pub struct Control<P: Platform> {
    platform: P,
    settings: Settings,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    me: tenure::Owner,
    elector: RefCell<Elector>,
    owner: RefCell<Option<Rc<Owner<P>>>>,
    /// The link to the owner, when that is another entry.
    link: RefCell<Option<(Token, Link)>>,
    /// Whether the entry at the other end of the link has said that it owns nothing.
    is_denied: Cell<bool>,
    /// Since when there is no link, or the owner is another one.
    unlinked_since: Cell<Instant>,
    /// Whether the last read of the log succeeded.
    is_log_reachable: Cell<bool>,
    /// Tells of any change of owner or link.
    changed: Notify,
    /// How many renewals and releases, called notices, are under way.
    notices: Cell<u32>,
    /// When the last notice left.
    notice_sent: Cell<Instant>,
    /// Asks for a read of the claims.
    read_wanted: Notify,
    tables: watch::Sender<Option<Arc<QueueTable>>>,
    ready: watch::Sender<bool>,
}

impl<P: Platform> Control<P> {
    /// Makes the state of one life of an entry.
    pub fn new(
        platform: P,
        settings: Settings,
        clock: Clock,
        log: Logger,
        metrics: Metrics,
    ) -> (Rc<Control<P>>, View) {
        let me = tenure::Owner {
            name: settings.name.clone(),
            address: settings.links,
            life: clock.stamp().0 << 20 | rand::random::<u64>() & 0xf_ffff,
            processors_millis: (settings.processors * 1_000.0) as u32,
        };
        let (tables, tables_view) = watch::channel(None);
        let (ready, ready_view) = watch::channel(false);
        let control = Control {
            elector: RefCell::new(Elector::new(settings.tenure(), me.clone())),
            platform,
            settings,
            clock,
            log,
            metrics,
            me,
            owner: RefCell::default(),
            link: RefCell::default(),
            is_denied: Cell::new(false),
            unlinked_since: Cell::new(clock.now()),
            is_log_reachable: Cell::new(true),
            changed: Notify::new(),
            notices: Cell::new(0),
            notice_sent: Cell::new(clock.now()),
            read_wanted: Notify::new(),
            tables,
            ready,
        };
        let view = View {
            tables: tables_view,
            ready: ready_view,
        };
        (Rc::new(control), view)
    }

    /// Runs until all calls have gone.
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
        actix_rt::spawn(Rc::clone(&self).follow_owner());
        actix_rt::spawn(Rc::clone(&self).follow_configuration());
        while let Some(call) = calls.recv().await {
            let control = Rc::clone(&self);
            actix_rt::spawn(async move {
                let answer = control.handle(call.ask, call.patience, call.deadline).await;
                // The client may have gone.
                let _ = call.reply.send(answer);
            });
        }
        Ok(())
    }

    /// Hands the cell over, if this entry owns it, and claims it no more.
    pub async fn retire(&self) {
        self.elector.borrow_mut().retire();
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| !owner.is_over()) {
            self.release(&owner, "this entry stops").await;
        }
    }

    /// Ends an ownership so that another entry takes it up at once.
    async fn release(&self, owner: &Owner<P>, reason: &'static str) {
        owner.flush(FLUSH_LIMIT).await;
        if let Some(claim) = self.pass_on(owner, true).await {
            owner.finish(reason);
            self.elector.borrow_mut().learn(claim);
        } else {
            owner.finish(reason);
            self.resign(owner.token());
            self.append_release(owner.token()).await;
        }
        self.changed.notify_waiters();
    }

    /// Gives up a claim, if it is this entry's and still in force.
    fn resign(&self, token: Token) {
        let now = self.clock.now();
        self.elector.borrow_mut().resign(now, token);
    }

    async fn append_release(&self, token: Token) {
        let release = tenure::Record::Release(token);
        let outcome = self.append(&release, Guard::Always).await;
        info!(self.log, "cell released"; "token" => token.0, "outcome" => ?outcome);
        if outcome == Appended::Done {
            self.elector.borrow_mut().note_released(token);
        }
    }

    /// Gets a request served by the owner, whoever that is by then.
    ///
    /// A change of owner is waited for until `patience`, unless this entry is cut off from the log
    /// and all owners: another entry may serve the caller then. A request that may have been taken
    /// is asked for until `deadline`.
    pub async fn handle(&self, ask: Ask, patience: Instant, deadline: Instant) -> Result<Tell> {
        let mut is_in_doubt = false;
        loop {
            let left = deadline.since(self.clock.now());
            let error = match self.ask_owner(ask.clone(), left).await {
                Ok(tell) => return Ok(tell),
                Err(error) => error,
            };
            let is_reachable = self.is_log_reachable.get();
            match error.kind {
                Kind::AnswerLost => is_in_doubt |= !ask.is_read(),
                // An owner that has lost the log is replaced, if others have not.
                Kind::NoOwner | Kind::LogDown if is_reachable || is_in_doubt => {}
                _ if is_in_doubt => return Err(in_doubt()),
                _ => return Err(error),
            }
            let end = if is_in_doubt { deadline } else { patience };
            if self.clock.now() + ASK_PAUSE >= end {
                return Err(if is_in_doubt { in_doubt() } else { error });
            }
            if !is_in_doubt && self.is_cut_off() {
                return Err(error.with_retry_after(Duration::ZERO));
            }
            // The time limit is checked above.
            let _ = tokio::time::timeout(ASK_PAUSE, self.changed.notified()).await;
        }
    }

    /// Whether the owner lives and only this entry can't reach it: others can serve the caller.
    fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        let is_unlinked =
            self.link.borrow().is_none() && now.since(self.unlinked_since.get()) >= LINK_GRACE;
        is_unlinked && self.elector.borrow().is_owned_elsewhere(now)
    }

    async fn ask_owner(&self, ask: Ask, timeout: Duration) -> Result<Tell> {
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| owner.is_open()) {
            let answer = tokio::time::timeout(timeout, owner.serve(ask)).await;
            return answer.unwrap_or_else(|_| Err(in_doubt()));
        }
        let link = self.link.borrow().clone();
        match link {
            Some((_, link)) => {
                let answer = link.ask(ask, timeout).await;
                if matches!(&answer, Err(error) if error.kind == Kind::NoOwner) {
                    self.is_denied.set(true);
                    self.read_wanted.notify_one();
                    self.changed.notify_waiters();
                }
                answer
            }
            None => Err(no_owner()),
        }
    }

    /// Serves what another entry asks.
    async fn serve(self: Rc<Control<P>>, ask: Ask) -> Result<Tell> {
        if let Ask::Advise { step, workers } = ask {
            let allowed = self.platform.advise(step, &workers, ADVICE_TIMEOUT).await;
            let Some(allowed) = allowed else {
                return Err(Error::new(Kind::NoTarget, "the advisor does not answer"));
            };
            let names = allowed.workers.into_iter();
            return Ok(Tell::Advised {
                allowed: names
                    .map(|(name, ticket)| (name, ticket.to_string()))
                    .collect(),
                validity: allowed.validity,
            });
        }
        if let Ask::Claim = ask {
            return Ok(Tell::Claim(self.elector.borrow().claim().cloned()));
        }
        if let Ask::Succeed { token, is_stopping } = ask {
            return self.succeed(token, is_stopping).await;
        }
        let owner = self.owner.borrow().clone();
        match owner {
            Some(owner) => owner.serve(ask).await,
            None => Err(no_owner()),
        }
    }

    /// Whether this entry owns the cell or has a link to its owner.
    fn has_owner(&self) -> bool {
        let owner = self.owner.borrow();
        self.link.borrow().is_some() || owner.as_ref().is_some_and(|owner| !owner.is_over())
    }

    fn note_ready(&self) {
        let has_owner = self.has_owner();
        let is_ready = has_owner && self.tables.borrow().is_some();
        let is_news = self
            .ready
            .send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
        if is_news {
            info!(self.log, "readiness changed"; "ready" => is_ready, "has_owner" => has_owner);
        }
    }

    /// Follows what operators configure.
    async fn follow_configuration(self: Rc<Control<P>>) {
        let mut configuration = self.platform.configuration();
        let mut is_reachable = true;
        loop {
            match configuration.next().await {
                Ok(Some(table)) => {
                    is_reachable = true;
                    let version = table.version;
                    let former = self.tables.borrow().as_ref().map(|table| table.version);
                    if former.is_some_and(|former| former >= version) {
                        continue;
                    }
                    info!(self.log, "configuration in force"; "version" => version, "queues" => table.queues().count());
                    self.tables.send_replace(Some(Arc::new(table)));
                    self.note_ready();
                }
                Ok(None) => is_reachable = true,
                Err(failure) => {
                    if is_reachable {
                        warn!(self.log, "configuration cannot be read"; "failure" => ?failure);
                        is_reachable = false;
                    }
                    tokio::time::sleep(READ_RETRY).await;
                }
            }
        }
    }
}

fn in_doubt() -> Error {
    Error::new(
        Kind::AnswerLost,
        "it is not known whether the request was taken",
    )
}
