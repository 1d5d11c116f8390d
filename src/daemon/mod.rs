//! The daemon that every entry VM runs.
//!
//! The daemon has four components, which only exchange typed messages: [`control`] holds the state
//! that entries agree on and makes the decisions about it, [`dispatch`] queues calls and sends them
//! to targets, [`peer`] holds the links to other entries, and [`http`] serves callers on threads of
//! its own. Each of the first three runs on one thread under a [`supervisor`].
//!
//! A request arrives at [`http`] and goes through [`ops`](crate::ops) to [`control`] (when it may
//! run only once or concerns shared state) or [`dispatch`] (when it is idempotent). Its response
//! returns through the channel that the request carries.

mod context;
pub mod control;
pub mod dispatch;
mod http;
pub mod peer;
pub mod supervisor;

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{info, warn};
use tokio::sync::mpsc;

pub use context::Context;
use context::Senders;
use supervisor::{Component, End, Inbox};

use crate::settings::Settings;
use crate::util::clock::Clock;
use crate::util::logger;
use crate::util::metric::Metrics;

/// How often a planned stop checks for requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// How often the process checks for a signal.
const SIGNAL_POLL: Duration = Duration::from_millis(50);

/// Runs the daemon until it is stopped.
///
/// # Errors
///
/// Fails when the address cannot be bound or a component failed too often.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let log = logger::to_stderr(&settings.report.level);
    let metrics = Metrics::new()?;
    let (control_sender, control_inbox) = mpsc::unbounded_channel();
    let (dispatch_sender, dispatch_inbox) = mpsc::unbounded_channel();
    let (peer_sender, peer_inbox) = mpsc::unbounded_channel();
    let senders = Senders {
        control: control_sender,
        dispatch: dispatch_sender,
        peer: peer_sender,
    };
    let context = Context::new(settings, Clock::start(), log.clone(), metrics, senders);

    let address = context.settings.node.listen;
    let (server, server_handle) = http::start(&context)
        .wrap_err_with(|| format!("cannot listen on {address}; is the port in use?"))?;
    actix_rt::spawn(server);
    let control = component("control", &context, control_inbox, control::run);
    let dispatch = component("dispatch", &context, dispatch_inbox, dispatch::run);
    let peer = component("peer", &context, peer_inbox, peer::run);
    info!(log, "daemon started"; "address" => %address, "node" => %context.node());

    let failed = async {
        tokio::select! {
            end = supervise(&context, control) => end,
            end = supervise(&context, dispatch) => end,
            end = supervise(&context, peer) => end,
        }
    };
    tokio::select! {
        end = failed => {
            eyre::ensure!(end != End::Failed, "a component failed too often; see the log");
        }
        () = stop_requested(&context)? => drain(&context).await,
    }
    server_handle.stop(true).await;
    info!(log, "daemon stopped");
    Ok(())
}

/// Describes a component that `work` runs with the context and an inbox.
fn component<T, W, F>(
    name: &'static str,
    context: &Context,
    receiver: mpsc::UnboundedReceiver<T>,
    work: W,
) -> Component
where
    T: Send + 'static,
    W: Fn(Context, Inbox<T>) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + 'static,
{
    let inbox = Inbox::new(receiver);
    let context = context.clone();
    let start = move || -> supervisor::Work { Box::pin(work(context.clone(), inbox.clone())) };
    Component {
        name,
        start: Arc::new(start),
    }
}

/// Runs one component under the supervisor.
async fn supervise(context: &Context, component: Component) -> End {
    supervisor::supervise(component, context.log.clone(), context.metrics.clone()).await
}

/// Returns a future that ends when a signal or a remote procedure call requests a planned stop.
fn stop_requested(context: &Context) -> eyre::Result<impl Future<Output = ()> + use<>> {
    let signalled = Arc::new(std::sync::atomic::AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&signalled))
            .wrap_err("cannot install signal handlers; the daemon needs this permission")?;
    }
    let context = context.clone();
    Ok(async move {
        while !signalled.load(std::sync::atomic::Ordering::Relaxed) && !context.is_stop_requested()
        {
            actix_rt::time::sleep(SIGNAL_POLL).await;
        }
    })
}

/// Refuses new requests, hands over leases and waits for requests in flight.
async fn drain(context: &Context) {
    info!(context.log, "planned stop"; "in_flight" => context.in_flight());
    context.begin_drain();
    let limit = Duration::from_millis(context.settings.traffic.drain_ms);
    let end = context.clock.now() + limit;
    let (released, done) = tokio::sync::oneshot::channel();
    context.dispatch(dispatch::Event::Drain);
    context.control(control::Event::Drain { done: released });
    let mut done = done;
    let mut is_released = false;
    while context.clock.now() < end {
        is_released = is_released
            || !matches!(
                done.try_recv(),
                Err(tokio::sync::oneshot::error::TryRecvError::Empty)
            );
        if is_released && context.in_flight() == 0 {
            return;
        }
        actix_rt::time::sleep(DRAIN_POLL).await;
    }
    warn!(context.log, "planned stop timed out with requests in flight"; "in_flight" => context.in_flight());
}
