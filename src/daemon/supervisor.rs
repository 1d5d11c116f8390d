//! Runs the components of the daemon and restarts those that fail.
//!
//! Each component runs on a thread of its own and owns its state. A component that panics restarts
//! with empty state, which it rebuilds from the log and its peers; its inbox survives. A component
//! that fails too often ends the daemon, because a restart does not cure a fault that recurs at
//! once.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use slog::{Logger, error, warn};
use tokio::sync::{Mutex, OwnedMutexGuard, mpsc, oneshot};

use crate::util::metric::{Metrics, label};

/// How many failures of one component within [`FAILURE_WINDOW`] end the daemon.
const MAX_FAILURES: usize = 5;
/// The period over which failures are counted.
const FAILURE_WINDOW: Duration = Duration::from_secs(60);
/// The delay before a component restarts.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The future of a component, created on the component's own thread.
pub type Work = Pin<Box<dyn Future<Output = ()>>>;

/// A component of the daemon that runs on one thread.
pub struct Component {
    /// The value of the key `part` in log lines and metrics.
    pub name: &'static str,
    /// Creates the component's future; called again after a failure.
    pub start: Arc<dyn Fn() -> Work + Send + Sync>,
}

/// How a component ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its future completed.
    Finished,
    /// It panicked more often than is allowed.
    Failed,
}

/// The receiving end of a component's inbox, which survives a restart of the component.
pub struct Inbox<T>(Arc<Mutex<mpsc::UnboundedReceiver<T>>>);

impl<T> Inbox<T> {
    /// Creates an inbox around a channel's receiver.
    pub fn new(receiver: mpsc::UnboundedReceiver<T>) -> Inbox<T> {
        Inbox(Arc::new(Mutex::new(receiver)))
    }

    /// Locks the receiver until the guard is dropped, which a panic does too.
    pub async fn open(&self) -> OwnedMutexGuard<mpsc::UnboundedReceiver<T>> {
        Arc::clone(&self.0).lock_owned().await
    }
}

impl<T> Clone for Inbox<T> {
    fn clone(&self) -> Inbox<T> {
        Inbox(Arc::clone(&self.0))
    }
}

/// Runs a component until it finishes or fails too often.
pub async fn supervise(component: Component, log: Logger, metrics: Metrics) -> End {
    let mut failures = VecDeque::new();
    loop {
        if run_once(&component).await {
            return End::Finished;
        }
        metrics.restarts.add(1, &label("part", component.name));
        let now = Instant::now();
        failures.push_back(now);
        while failures
            .front()
            .is_some_and(|&at| now - at > FAILURE_WINDOW)
        {
            failures.pop_front();
        }
        if failures.len() >= MAX_FAILURES {
            error!(log, "component failed too often"; "part" => component.name, "failures" => failures.len());
            return End::Failed;
        }
        warn!(log, "component failed and restarts"; "part" => component.name);
        actix_rt::time::sleep(RESTART_DELAY).await;
    }
}

/// Runs a component on a new thread; returns whether it finished without a panic.
async fn run_once(component: &Component) -> bool {
    let (done, finished) = oneshot::channel();
    let arbiter = Arbiter::new();
    let start = Arc::clone(&component.start);
    arbiter.spawn_fn(move || {
        let work = actix_rt::spawn(start());
        actix_rt::spawn(async move {
            let is_clean = work.await.is_ok();
            let _ = done.send(is_clean);
        });
    });
    let is_clean = finished.await.unwrap_or(false);
    arbiter.stop();
    is_clean
}
