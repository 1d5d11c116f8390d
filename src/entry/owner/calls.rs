//! Makes the calls to workers and to the advisor that the scheduler has decided on.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn};

use super::{LOCAL_PROXY, Owner};
use crate::core::scheduler::advice;
use crate::core::scheduler::id::{Run, Task, Worker};
use crate::core::scheduler::message::{Outcome, Start};
use crate::core::scheduler::worker::{Account, Entry};
use crate::core::scheduler::{Input, WorkerPoll};
use crate::core::time::Instant;
use crate::entry::link::Link;
use crate::entry::message::{EntryRequest, EntryResponse};
use crate::entry::port::{Address, Platform};
use crate::util::metric::label;

/// How long a worker may delay the response to a poll until a run ends.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// The pause after a poll that failed.
const POLL_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How long to wait for reported ends to be in the log before the worker is polled again.
const ENDS_DURABLE_WAIT: Duration = Duration::from_millis(500);

impl<P: Platform> Owner<P> {
    /// Polls one incarnation of a worker, which also extends its lease, until the worker is removed.
    pub(super) async fn poll_worker(self: Rc<Owner<P>>, worker: Worker) {
        let mut wait = Duration::ZERO;
        while !self.is_over() {
            let Some(address) = self.address(worker) else {
                return;
            };
            let sent = self.clock.now();
            let Some(poll) = self.scheduler.borrow_mut().poll(sent, worker) else {
                return;
            };
            match self.platform.poll(&address, poll, wait, self.token).await {
                Ok(inventory) => {
                    self.apply(Input::Polled {
                        worker,
                        sent,
                        inventory,
                    });
                    self.wait_until_ends_durable(worker).await;
                    wait = POLL_WAIT;
                }
                Err(refusal) => {
                    let outcome = refusal.map_or(Outcome::Unknown, Outcome::Refused);
                    debug!(self.log, "worker cannot be polled"; "worker" => address.name, "outcome" => ?outcome);
                    self.apply(Input::PollFailed { worker, outcome });
                    wait = Duration::ZERO;
                    tokio::time::sleep(POLL_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Polls the address of an entry that contradicts what is known of its worker, until a worker responds there or the
    /// entry needs no verification any more.
    pub(super) async fn verify(self: Rc<Owner<P>>, entry: Entry, since: Instant) {
        let address = Address::from(&entry);
        let poll = WorkerPoll {
            acknowledged: 0,
            deadline_ms: None,
        };
        while !self.is_over() && self.scheduler.borrow().is_unverified(&entry, since) {
            let response = self
                .platform
                .poll(&address, poll, Duration::ZERO, self.token);
            let outcome = match response.await {
                Ok(inventory) => Outcome::Done(Some(inventory.clock_ms)),
                Err(refusal) => refusal.map_or(Outcome::Unknown, Outcome::Refused),
            };
            debug!(self.log, "entry verified"; "worker" => &entry.name, "outcome" => ?outcome);
            self.apply(Input::Verified {
                entry: entry.clone(),
                outcome,
            });
            tokio::time::sleep(POLL_RETRY_PAUSE).await;
        }
    }

    /// Waits until the ends that a worker reported are in the log, at most for
    /// [`ENDS_DURABLE_WAIT`].
    async fn wait_until_ends_durable(&self, worker: Worker) {
        let end = self.clock.now() + ENDS_DURABLE_WAIT;
        while !self.scheduler.borrow().are_ends_recorded(worker) {
            let remaining = end.since(self.clock.now());
            if remaining.is_zero() {
                return;
            }
            // The next iteration checks the time limit.
            let _ = tokio::time::timeout(remaining, self.durable.notified()).await;
        }
    }

    pub(super) async fn start(self: Rc<Owner<P>>, worker: Worker, start: Start, account: Account) {
        let Some(address) = self.address(worker) else {
            return;
        };
        let (task, run) = (start.task, start.run);
        let outcome = self.platform.start(&address, &start, self.token).await;
        match &outcome {
            Outcome::Done(_) => info!(self.log, "run started"; "task" => %task, "run" => run.0,
                "worker" => &address.name, "used" => %account.used, "capacity" => %account.capacity,
                "report_age_ms" => account.report_age.as_millis() as u64,
                "claim_age_ms" => account.claim_age.as_millis() as u64, "token" => self.token.0),
            Outcome::Refused(refusal) => warn!(self.log, "start refused"; "task" => %task,
                "run" => run.0, "worker" => &address.name, "incarnation" => address.incarnation,
                "reason" => refusal.name()),
            Outcome::Unknown => warn!(self.log, "start without an answer"; "task" => %task,
                "run" => run.0, "worker" => &address.name, "incarnation" => address.incarnation),
        }
        self.apply(Input::Started {
            worker,
            task,
            run,
            outcome,
        });
    }

    pub(super) async fn stop(self: Rc<Owner<P>>, worker: Worker, task: Task, run: Run) {
        let Some(address) = self.address(worker) else {
            return;
        };
        let outcome = self.platform.stop(&address, task, run, self.token).await;
        info!(self.log, "stop of a run requested"; "task" => %task, "run" => run.0,
            "worker" => address.name, "outcome" => ?outcome);
        self.apply(Input::Stopped {
            worker,
            task,
            run,
            outcome,
        });
    }

    /// Requests the permitted workers of a step from the advisor, either directly or through a linked
    /// entry.
    pub(super) async fn advise(self: Rc<Owner<P>>, call: advice::AdvisorCall) {
        let workers: Vec<String> = {
            let scheduler = self.scheduler.borrow();
            let listed = call
                .workers
                .iter()
                .filter_map(|&worker| scheduler.worker(worker));
            listed.map(|worker| worker.entry.name.clone()).collect()
        };
        let timeout = advice::CALL_GRACE + call.cost;
        let sent = self.clock.now();
        let link = self.advisor_proxies.borrow().get(&call.proxy).cloned();
        let entry = link.as_ref().map(Link::name).unwrap_or_default();
        let allowed = match link {
            Some(link) => {
                let step = call.step;
                let request = EntryRequest::Advise { step, workers };
                match link.request(request, timeout).await {
                    Ok(EntryResponse::Advised { allowed, validity }) => {
                        let allowed = allowed.into_iter();
                        let allowed: Vec<(String, Arc<str>)> = allowed
                            .map(|(name, ticket)| (name, ticket.into()))
                            .collect();
                        Ok((allowed, validity))
                    }
                    Ok(_) => Err("the entry gave another answer".to_owned()),
                    Err(error) => Err(error.to_string()),
                }
            }
            None if call.proxy == LOCAL_PROXY => {
                let allowed = self.platform.advise(call.step, &workers, timeout).await;
                allowed
                    .map(|allowed| (allowed.workers, allowed.validity))
                    .ok_or_else(|| "the advisor did not answer this entry".to_owned())
            }
            None => Err("the link to the entry is closed".to_owned()),
        };
        let took_ms = self.clock.now().since(sent).as_millis() as u64;
        let outcome = if allowed.is_ok() { "done" } else { "failed" };
        self.metrics
            .advisor_calls
            .add(1, &label("outcome", outcome));
        match &allowed {
            Ok((allowed, _)) => info!(self.log, "advisor answered"; "step" => %call.step,
                "asker" => call.proxy.0, "named" => call.workers.len(), "allowed" => allowed.len(),
                "took_ms" => took_ms),
            Err(reason) => {
                self.remove_closed_proxies();
                let scheduler = self.scheduler.borrow();
                let waited = scheduler.waited(call.step, self.clock.now());
                warn!(self.log, "advisor did not answer"; "step" => %call.step,
                    "asker" => call.proxy.0, "entry" => entry, "reason" => reason,
                    "failures_before" => scheduler.advisor_failures(call.proxy),
                    "took_ms" => took_ms, "waited_ms" => waited.as_millis() as u64);
            }
        }
        let (allowed, validity) = allowed.ok().unzip();
        self.apply(Input::Advised {
            call,
            allowed,
            validity: validity.unwrap_or_default(),
        });
    }
}
