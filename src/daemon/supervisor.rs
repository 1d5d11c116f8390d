//! Runs the parts of the daemon and restarts those that fail.
//!
//! Each part runs on a thread of its own and owns its state. A part that panics is started again
//! with empty state, which it rebuilds from the log and its peers; its inbox survives. A part that
//! fails too often ends the daemon, because a fault that returns at once is not cured by a restart.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use slog::{Logger, error, warn};
use tokio::sync::{Mutex, OwnedMutexGuard, mpsc, oneshot};

use crate::util::metric::{Metrics, label};

/// How many failures of one part within [`FAILURE_WINDOW`] end the daemon.
const MAX_FAILURES: usize = 5;
/// The span that failures are counted over.
const FAILURE_WINDOW: Duration = Duration::from_secs(60);
/// The pause before a part is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The work of a part, made on the part's own thread.
pub type Work = Pin<Box<dyn Future<Output = ()>>>;

/// A part of the daemon.
pub struct Part {
    /// The part's name in logs and metrics.
    pub name: &'static str,
    /// Starts the part; called again after a failure.
    pub start: Arc<dyn Fn() -> Work + Send + Sync>,
}

/// How a part ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its work is done.
    Finished,
    /// It failed more often than is allowed.
    Failed,
}

/// The receiving end of a part's inbox, which survives a restart of the part.
pub struct Inbox<T>(Arc<Mutex<mpsc::UnboundedReceiver<T>>>);

impl<T> Inbox<T> {
    /// Wraps a receiver.
    pub fn new(receiver: mpsc::UnboundedReceiver<T>) -> Inbox<T> {
        Inbox(Arc::new(Mutex::new(receiver)))
    }

    /// Takes the receiver until the guard is dropped, which a panic does too.
    pub async fn open(&self) -> OwnedMutexGuard<mpsc::UnboundedReceiver<T>> {
        Arc::clone(&self.0).lock_owned().await
    }
}

impl<T> Clone for Inbox<T> {
    fn clone(&self) -> Inbox<T> {
        Inbox(Arc::clone(&self.0))
    }
}

/// Runs `part` until it finishes or fails too often.
pub async fn supervise(part: Part, log: Logger, metrics: Metrics) -> End {
    let mut failures = VecDeque::new();
    loop {
        if run_once(&part).await {
            return End::Finished;
        }
        metrics.restarts.add(1, &label("part", part.name));
        let now = Instant::now();
        failures.push_back(now);
        while failures
            .front()
            .is_some_and(|&at| now - at > FAILURE_WINDOW)
        {
            failures.pop_front();
        }
        if failures.len() >= MAX_FAILURES {
            error!(log, "part failed too often"; "part" => part.name, "failures" => failures.len());
            return End::Failed;
        }
        warn!(log, "part failed and is started again"; "part" => part.name);
        actix_rt::time::sleep(RESTART_DELAY).await;
    }
}

/// Runs `part` on a new thread; returns whether it finished without a panic.
async fn run_once(part: &Part) -> bool {
    let (done, finished) = oneshot::channel();
    let arbiter = Arbiter::new();
    let start = Arc::clone(&part.start);
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
