//! The control thread of an entry: who owns the cell, links, and the way of a request to the owner.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot, watch};

use super::link::{self, Link};
use super::message::{Ask, Tell};
use super::owner::{Owner, no_owner, truncated};
use super::port::{Appended, Configuration, Guard, Platform, Record, Topic};
use super::settings::Settings;
use crate::core::error::{Error, Kind, Result};
use crate::core::queue::Table;
use crate::core::scheduler::id::Token;
use crate::core::tenure::{self, Action, Claim, Elector};
use crate::core::time::Instant;
use crate::util::clock::Clock;
use crate::util::metric::{Metrics, label};

/// How long a read of the claims waits for a new one; an outage of the log shows within it and the
/// time that an answer may take.
const CLAIMS_WAIT: Duration = Duration::from_millis(400);
/// How long an entry that handed the cell over because it ran late gives others precedence.
const YIELD_SPAN: Duration = Duration::from_secs(10);
/// The pause after a read that failed.
const READ_RETRY: Duration = Duration::from_millis(150);
/// How often it is looked at whether to claim or renew.
const ELECTION_TICK: Duration = Duration::from_millis(50);
/// The pause before a link is dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(150);
/// The pause before other entries are asked again who owns the cell.
const CONSULT_PAUSE: Duration = Duration::from_millis(300);
/// How long another entry may take to say who owns the cell.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(500);
/// From one word of this entry's presence in the log to the next: others must find one in what the
/// log keeps.
const PRESENCE_INTERVAL: Duration = Duration::from_secs(8);
/// The pause before a request is tried again, unless the owner changes before.
const ASK_PAUSE: Duration = Duration::from_millis(100);
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
    pub tables: watch::Receiver<Option<Arc<Table>>>,
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
    /// Whether the last read of the log succeeded.
    is_log_reachable: Cell<bool>,
    /// Tells of any change of owner or link.
    changed: Notify,
    tables: watch::Sender<Option<Arc<Table>>>,
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
            is_log_reachable: Cell::new(true),
            changed: Notify::new(),
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
        owner.finish(reason);
        let release = tenure::Record::Release(owner.token());
        let outcome = self.append(&release, Guard::Always).await;
        info!(self.log, "cell released"; "token" => owner.token().0, "outcome" => ?outcome);
        self.changed.notify_waiters();
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
            // The time limit is checked above.
            let _ = tokio::time::timeout(ASK_PAUSE, self.changed.notified()).await;
        }
    }

    async fn ask_owner(&self, ask: Ask, timeout: Duration) -> Result<Tell> {
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| owner.is_open()) {
            let answer = tokio::time::timeout(timeout, owner.serve(ask)).await;
            return answer.unwrap_or_else(|_| Err(in_doubt()));
        }
        let link = self.link.borrow().clone();
        match link {
            Some((_, link)) => link.ask(ask, timeout).await,
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
        let owner = self.owner.borrow().clone();
        match owner {
            Some(owner) => owner.serve(ask).await,
            None => Err(no_owner()),
        }
    }

    async fn accept(self: Rc<Control<P>>, listener: TcpListener) {
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
    async fn follow_owner(self: Rc<Control<P>>) {
        loop {
            let claim = self.claim_of_another();
            let Some(claim) = claim else {
                self.note_ready();
                self.consult_peers().await;
                // The time limit is what matters.
                let _ = tokio::time::timeout(CONSULT_PAUSE, self.changed.notified()).await;
                continue;
            };
            let Some(socket) = link::dial(claim.owner.address).await else {
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
                    if self.claim_of_another().map(|claim| claim.token) != Some(claim.token) {
                        return;
                    }
                }
            };
            tokio::select! {
                () = carried => {}
                () = replaced => {}
            }
            info!(self.log, "link to the owner is down"; "owner" => &claim.owner.name, "token" => claim.token.0);
            *self.link.borrow_mut() = None;
            self.note_ready();
        }
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
            }
            return;
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

    fn note_ready(&self) {
        let has_owner = self.link.borrow().is_some()
            || self
                .owner
                .borrow()
                .as_ref()
                .is_some_and(|owner| !owner.is_over());
        let is_ready = has_owner && self.tables.borrow().is_some();
        self.ready
            .send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
    }

    /// Follows the claims on the cell.
    async fn read_claims(self: Rc<Control<P>>) {
        loop {
            let sent = self.clock.now();
            let from = self.elector.borrow().next();
            // The first read finds the end of the log, and must not wait for more.
            let wait = if self.elector.borrow().claim().is_some() {
                CLAIMS_WAIT
            } else {
                Duration::ZERO
            };
            match self.platform.read(Topic::Claims, from, wait).await {
                Ok(page) => {
                    if !self.is_log_reachable.replace(true) {
                        info!(self.log, "log can be read again");
                    }
                    let is_empty = page.records.is_empty();
                    self.take_claims(sent, page.records, page.next);
                    if is_empty && wait.is_zero() {
                        tokio::time::sleep(ELECTION_TICK).await;
                    }
                }
                Err(failure) => {
                    if let Some(first) = truncated(failure) {
                        self.elector.borrow_mut().truncated(first);
                        continue;
                    }
                    if self.is_log_reachable.replace(false) {
                        warn!(self.log, "log cannot be read"; "failure" => ?failure);
                        self.changed.notify_waiters();
                    }
                    self.elector.borrow_mut().read_failed();
                    tokio::time::sleep(READ_RETRY).await;
                }
            }
        }
    }

    fn take_claims(
        self: &Rc<Control<P>>,
        sent: Instant,
        records: Vec<(u64, bytes::Bytes)>,
        next: u64,
    ) {
        let mut known = Vec::with_capacity(records.len());
        for (offset, bytes) in records {
            match ciborium::from_reader::<tenure::Record, _>(&bytes[..]) {
                Ok(record) => known.push((offset, record)),
                Err(error) => {
                    warn!(self.log, "unreadable claim"; "offset" => offset, "error" => %error);
                }
            }
        }
        let former = self
            .elector
            .borrow()
            .claim()
            .map(|claim| (claim.token, claim.is_released));
        self.elector
            .borrow_mut()
            .read(self.clock.now(), sent, known, next);
        let claim = self.elector.borrow().claim().cloned();
        let latest = claim.as_ref().map(|claim| (claim.token, claim.is_released));
        if former == latest {
            return;
        }
        if let Some(claim) = claim {
            info!(self.log, "claim on the cell"; "owner" => &claim.owner.name, "token" => claim.token.0,
                "released" => claim.is_released);
        }
        self.change_owner();
        self.changed.notify_waiters();
    }

    /// Starts or ends this entry's ownership, as the claims say.
    fn change_owner(self: &Rc<Control<P>>) {
        let token = self.elector.borrow().token();
        let former = self.owner.borrow().clone();
        if former.as_ref().map(|owner| owner.token()) == token {
            return;
        }
        if let Some(former) = former {
            former.finish("another entry claimed the cell");
        }
        let Some(token) = token else {
            *self.owner.borrow_mut() = None;
            return;
        };
        let owner = Owner::new(
            self.platform.clone(),
            self.settings.rules(),
            token,
            self.clock,
            self.log.clone(),
            self.metrics.clone(),
        );
        self.metrics.ownership.add(1, &label("change", "taken"));
        *self.owner.borrow_mut() = Some(Rc::clone(&owner));
        let control = Rc::clone(self);
        let tables = self.tables.subscribe();
        actix_rt::spawn(async move {
            tokio::select! {
                () = Rc::clone(&owner).run(tables) => {}
                () = owner.runs_late() => {
                    let end = control.clock.now() + YIELD_SPAN;
                    control.elector.borrow_mut().yield_until(end);
                    control.release(&owner, "this entry runs late").await;
                }
            }
            control.note_ready();
            control.changed.notify_waiters();
        });
        self.note_ready();
    }

    /// Claims and renews.
    async fn elect(self: Rc<Control<P>>) {
        loop {
            tokio::time::sleep(ELECTION_TICK).await;
            let action = self.elector.borrow_mut().action(self.clock.now());
            match action {
                Some(Action::Claim { at }) => self.claim(at).await,
                Some(Action::Renew(token)) => {
                    let renewal = tenure::Record::Renewal(token);
                    let control = Rc::clone(&self);
                    actix_rt::spawn(async move {
                        let outcome = control.append(&renewal, Guard::Always).await;
                        if outcome != Appended::Done {
                            warn!(control.log, "claim not renewed"; "token" => token.0, "outcome" => ?outcome);
                        }
                    });
                }
                None => {}
            }
        }
    }

    /// Tells other entries where this one takes links.
    async fn announce(self: Rc<Control<P>>) {
        loop {
            let present = tenure::Record::Present(self.me.clone());
            let outcome = self.append(&present, Guard::Always).await;
            let pause = if outcome == Appended::Done {
                PRESENCE_INTERVAL
            } else {
                READ_RETRY
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn claim(&self, at: u64) {
        let claim = tenure::Record::Claim(self.me.clone());
        let outcome = self.append(&claim, Guard::End(at)).await;
        info!(self.log, "cell claimed"; "at" => at, "outcome" => ?outcome);
        if matches!(outcome, Appended::Moved | Appended::Refused) {
            self.elector.borrow_mut().claim_refused();
        }
    }

    async fn append(&self, record: &tenure::Record, guard: Guard) -> Appended {
        let mut value = Vec::new();
        ciborium::into_writer(record, &mut value).expect("claims are plain data");
        let record = Record {
            key: None,
            value: Some(value),
        };
        self.platform.append(Topic::Claims, &[record], guard).await
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
