//! Open-loop load of calls.
//!
//! A [`Plan`] fixes the times of all calls in advance, as a Poisson process, so slow responses do
//! not reduce the rate. Each call is sent when it is due, round-robin over the entries, and its
//! latency is measured from that planned time. The [`Report`] has one row per priority.

mod plan;
mod report;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{self, CallRequest, CallResponse};
use laburnumplank::core::error::Error;
use laburnumplank::core::workload::Priority;
use uuid::Uuid;

pub use self::plan::{Arrival, Mix, Plan, Share};
pub use self::report::{Report, Row};

/// The number of clients per entry; each client has its own connection pool.
const CLIENTS_PER_ENTRY: usize = 16;

/// The maximum number of open calls; a call that is due above it is counted as skipped, not sent.
const OPEN_LIMIT: usize = 50_000;

/// The interval at which the end of the run checks for open calls.
const OPEN_POLL: Duration = Duration::from_millis(5);

/// How long a client waits for a response after the timeout of the call.
const GRACE: Duration = Duration::from_secs(1);

/// The settings of a load run: entries, service, calls and rate.
#[derive(Clone, Debug)]
pub struct Builder {
    entries: Vec<String>,
    service: String,
    mix: Mix,
    rate: f64,
    duration: Duration,
    timeout: Duration,
    body_bytes: usize,
    seed: u64,
}

impl Builder {
    /// Creates a load on `service` through `entries`, URLs such as `http://127.0.0.1:8080`.
    pub fn new(entries: Vec<String>, service: &str) -> Builder {
        Builder {
            entries,
            service: service.to_owned(),
            mix: Mix::default(),
            rate: 100.0,
            duration: Duration::from_secs(10),
            timeout: Duration::from_secs(5),
            body_bytes: 1_024,
            seed: 1,
        }
    }

    /// Sets the weights and methods of the priorities.
    pub fn mix(mut self, mix: Mix) -> Builder {
        self.mix = mix;
        self
    }

    /// Sets the average rate, in calls per second.
    pub fn rate(mut self, rate: f64) -> Builder {
        self.rate = rate;
        self
    }

    /// Sets how long calls are sent, without the wait for open calls at the end.
    pub fn duration(mut self, duration: Duration) -> Builder {
        self.duration = duration;
        self
    }

    /// Sets the timeout of each call.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.timeout = timeout;
        self
    }

    /// Sets the size of each request body, in bytes.
    pub fn body_bytes(mut self, bytes: usize) -> Builder {
        self.body_bytes = bytes;
        self
    }

    /// Sets the random seed of the plan.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// Sends all calls and waits until each has ended.
    ///
    /// # Errors
    ///
    /// Fails when there is no entry, the rate is not above 0 or all weights are 0.
    pub async fn run(self) -> eyre::Result<Report> {
        eyre::ensure!(
            !self.entries.is_empty(),
            "no entry was given to send calls to"
        );
        let plan = Plan::new(self.seed, self.rate, self.duration, &self.mix)?;
        let clients = self.clients();
        let report = Rc::new(RefCell::new(Report::new(self.duration)?));
        let started = Instant::now();
        for (index, arrival) in plan.enumerate() {
            let due = started + arrival.at;
            actix_rt::time::sleep_until(due.into()).await;
            let client = &clients[index % clients.len()];
            let priority = arrival.priority;
            let request = self.request(index, priority);
            send(client, request, DueCall { due, priority }, &report);
        }
        while report.borrow().open() > 0 {
            actix_rt::time::sleep(OPEN_POLL).await;
        }
        let report = report.borrow().clone();
        Ok(report)
    }

    /// Creates the clients; consecutive clients call different entries.
    fn clients(&self) -> Vec<Client> {
        let timeout = self.timeout + GRACE;
        let entries = self.entries.iter().cycle();
        entries
            .take(self.entries.len() * CLIENTS_PER_ENTRY)
            .map(|entry| Client::new(entry, timeout))
            .collect()
    }

    fn request(&self, index: usize, priority: Priority) -> CallRequest {
        CallRequest {
            service: self.service.clone(),
            method: self.mix.share(priority).method.clone(),
            body: body(index, self.body_bytes),
            key: Uuid::now_v7().to_string(),
            timeout_ms: self.timeout.as_millis() as u32,
            priority: wire_priority(priority).into(),
            caller: format!("load-{}", priority_name(priority)),
            ..CallRequest::default()
        }
    }
}

/// A call and the time at which it was due.
#[derive(Clone, Copy)]
struct DueCall {
    due: Instant,
    priority: Priority,
}

/// Sends a call in a new task, or counts it as skipped when too many calls are open.
fn send(client: &Client, request: CallRequest, due_call: DueCall, report: &Rc<RefCell<Report>>) {
    let priority = due_call.priority;
    if report.borrow().open() >= OPEN_LIMIT {
        report.borrow_mut().skip(priority);
        return;
    }
    report.borrow_mut().open_call(priority);
    let client = client.clone();
    let report = Rc::clone(report);
    actix_rt::spawn(async move {
        let outcome = call(&client, &request).await;
        let latency = due_call.due.elapsed();
        report.borrow_mut().close_call(priority, latency, outcome);
    });
}

/// The outcome of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The response belonged to this request.
    Answered,
    /// The response belonged to another request, or was only part of one.
    Mixed,
    /// The call failed.
    Failed(Error),
}

/// Sends a call and compares the response with the request.
///
/// `echo` and `sleep` methods return the request's body. The other methods fail or return a body of
/// another length, so only a response of the same length must equal the request.
async fn call(client: &Client, request: &CallRequest) -> Outcome {
    let response: Result<CallResponse, Error> = client.call("Caller", "Call", request).await;
    match response {
        Ok(response) if is_mixed_up(&response.body, &request.body) => Outcome::Mixed,
        Ok(_) => Outcome::Answered,
        Err(error) => Outcome::Failed(error),
    }
}

/// Returns whether a response body must be that of another request.
fn is_mixed_up(response: &[u8], request: &[u8]) -> bool {
    response.len() == request.len() && response != request
}

/// Returns a body that repeats the index of the call, so that each call has another body.
fn body(index: usize, bytes: usize) -> Vec<u8> {
    let number = index.to_be_bytes();
    number.iter().copied().cycle().take(bytes).collect()
}

fn wire_priority(priority: Priority) -> schema::Priority {
    match priority {
        Priority::Lookup => schema::Priority::Lookup,
        Priority::Normal => schema::Priority::Normal,
        Priority::Bulk => schema::Priority::Bulk,
    }
}

/// Returns the name of a priority in command-line options and reports.
pub fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Lookup => "lookup",
        Priority::Normal => "normal",
        Priority::Bulk => "bulk",
    }
}
