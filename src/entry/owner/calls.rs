//! Calls that the scheduler decided on: to workers and to the advisor.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn};

use super::{Owner, SELF};
use crate::core::scheduler::Input;
use crate::core::scheduler::advice;
use crate::core::scheduler::id::{Run, Task, Worker};
use crate::core::scheduler::message::{Outcome, Start};
use crate::entry::message::{Ask, Tell};
use crate::entry::port::Platform;

/// How long a look may wait at a worker for an end.
const LOOK_WAIT: Duration = Duration::from_millis(1_000);
/// The pause after a look that failed.
const LOOK_RETRY: Duration = Duration::from_millis(250);
/// How long ends may wait for the log before the worker is looked at again.
const SETTLE_WAIT: Duration = Duration::from_millis(500);

impl<P: Platform> Owner<P> {
    /// Keeps an eye on one life of a worker and its lease extended.
    pub(super) async fn watch(self: Rc<Owner<P>>, worker: Worker) {
        let mut wait = Duration::ZERO;
        while !self.is_over() {
            let Some(address) = self.address(worker) else {
                return;
            };
            let sent = self.clock.now();
            let Some(look) = self.scheduler.borrow_mut().poll(sent, worker) else {
                return;
            };
            match self.platform.look(&address, look, wait, self.token).await {
                Ok(inventory) => {
                    self.apply(Input::Polled {
                        worker,
                        sent,
                        inventory,
                    });
                    self.settle(worker).await;
                    wait = LOOK_WAIT;
                }
                Err(refusal) => {
                    let outcome = refusal.map_or(Outcome::Unknown, Outcome::Refused);
                    debug!(self.log, "look failed"; "worker" => address.name, "outcome" => ?outcome);
                    self.apply(Input::PollFailed { worker, outcome });
                    wait = Duration::ZERO;
                    tokio::time::sleep(LOOK_RETRY).await;
                }
            }
        }
    }

    /// Waits until the ends that a worker listed are in the log, for a while.
    async fn settle(&self, worker: Worker) {
        let end = self.clock.now() + SETTLE_WAIT;
        while !self.scheduler.borrow().are_ends_recorded(worker) {
            let left = end.since(self.clock.now());
            if left.is_zero() {
                return;
            }
            // The time limit is checked above.
            let _ = tokio::time::timeout(left, self.durable.notified()).await;
        }
    }

    pub(super) async fn start(self: Rc<Owner<P>>, worker: Worker, start: Start) {
        let Some(address) = self.address(worker) else {
            return;
        };
        let (task, run) = (start.task, start.run);
        let outcome = self.platform.start(&address, &start, self.token).await;
        match &outcome {
            Outcome::Done(_) => info!(self.log, "run started"; "task" => %task, "run" => run.0,
                "worker" => address.name),
            Outcome::Refused(refusal) => warn!(self.log, "start refused"; "task" => %task,
                "run" => run.0, "worker" => address.name, "reason" => refusal.name()),
            Outcome::Unknown => warn!(self.log, "start without an answer"; "task" => %task,
                "run" => run.0, "worker" => address.name),
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
        info!(self.log, "run to be stopped"; "task" => %task, "run" => run.0,
            "worker" => address.name, "outcome" => ?outcome);
        self.apply(Input::Stopped {
            worker,
            task,
            run,
            outcome,
        });
    }

    pub(super) async fn advise(self: Rc<Owner<P>>, ask: advice::AdvisorCall) {
        let workers: Vec<String> = {
            let scheduler = self.scheduler.borrow();
            let known = ask
                .workers
                .iter()
                .filter_map(|&worker| scheduler.worker(worker));
            known.map(|worker| worker.entry.name.clone()).collect()
        };
        let timeout = advice::CALL_GRACE + ask.cost;
        let sent = self.clock.now();
        let link = self.askers.borrow().get(&ask.proxy).cloned();
        let allowed = match link {
            Some(link) => {
                let step = ask.step;
                match link.ask(Ask::Advise { step, workers }, timeout).await {
                    Ok(Tell::Advised { allowed, validity }) => {
                        let allowed = allowed.into_iter();
                        let allowed: Vec<(String, Arc<str>)> = allowed
                            .map(|(name, ticket)| (name, ticket.into()))
                            .collect();
                        Some((allowed, validity))
                    }
                    _ => None,
                }
            }
            None if ask.proxy == SELF => {
                let allowed = self.platform.advise(ask.step, &workers, timeout).await;
                allowed.map(|allowed| (allowed.workers, allowed.validity))
            }
            None => None,
        };
        let took_ms = self.clock.now().since(sent).as_millis() as u64;
        match &allowed {
            Some((allowed, _)) => info!(self.log, "advisor answered"; "step" => %ask.step,
                "asker" => ask.proxy.0, "named" => ask.workers.len(), "allowed" => allowed.len(),
                "took_ms" => took_ms),
            None => {
                self.refresh_askers();
                warn!(self.log, "advisor did not answer"; "step" => %ask.step,
                    "asker" => ask.proxy.0, "took_ms" => took_ms);
            }
        }
        let (allowed, validity) = allowed.unzip();
        self.apply(Input::Advised {
            proxy: ask.proxy,
            step: ask.step,
            named: ask.workers,
            allowed,
            validity: validity.unwrap_or_default(),
        });
    }
}
