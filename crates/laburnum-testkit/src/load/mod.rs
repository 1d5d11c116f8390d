//! Open-loop load of calls.
//!
//! A [`Plan`] gives the times of all calls beforehand, as a Poisson process, so that slow answers
//! do not slow the load down. Each call is sent when it is due, to the entries in turn, and its
//! time is counted from when it was due. The [`Report`] has one row for each priority.

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

/// How many clients there are for each entry; each has a pool of connections of its own.
const CLIENTS: usize = 16;

/// How many calls may be open at once; what is due above it is counted and not sent.
const OPEN_LIMIT: usize = 50_000;

/// The span between two looks whether calls are still open.
const END_POLL: Duration = Duration::from_millis(5);

/// How much longer than its own limit a call is waited for.
const GRACE: Duration = Duration::from_secs(1);

/// What is called, and how often.
#[derive(Clone, Debug)]
pub struct Builder {
    entries: Vec<String>,
    service: String,
    mix: Mix,
    rate: f64,
    span: Duration,
    timeout: Duration,
    body_bytes: usize,
    seed: u64,
}

impl Builder {
    /// Calls `service` through `entries`, such as `http://127.0.0.1:8080`.
    pub fn new(entries: Vec<String>, service: &str) -> Builder {
        Builder {
            entries,
            service: service.to_owned(),
            mix: Mix::default(),
            rate: 100.0,
            span: Duration::from_secs(10),
            timeout: Duration::from_secs(5),
            body_bytes: 1_024,
            seed: 1,
        }
    }

    /// Sets the shares and methods of the priorities.
    pub fn mix(mut self, mix: Mix) -> Builder {
        self.mix = mix;
        self
    }

    /// Sets the calls a second.
    pub fn rate(mut self, rate: f64) -> Builder {
        self.rate = rate;
        self
    }

    /// Sets how long calls are sent.
    pub fn span(mut self, span: Duration) -> Builder {
        self.span = span;
        self
    }

    /// Sets how long a call may take.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.timeout = timeout;
        self
    }

    /// Sets the size of the bodies.
    pub fn body_bytes(mut self, bytes: usize) -> Builder {
        self.body_bytes = bytes;
        self
    }

    /// Sets the seed of the plan.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// Sends all calls and waits for their ends.
    ///
    /// # Errors
    ///
    /// Fails when there is no entry or the rate or mix cannot be planned.
    pub async fn run(self) -> eyre::Result<Report> {
        eyre::ensure!(!self.entries.is_empty(), "no entry to call");
        let plan = Plan::new(self.seed, self.rate, self.span, &self.mix)?;
        let clients = self.clients();
        let report = Rc::new(RefCell::new(Report::new(self.span)?));
        let started = Instant::now();
        for (index, arrival) in plan.enumerate() {
            let due = started + arrival.at;
            actix_rt::time::sleep_until(due.into()).await;
            let client = &clients[index % clients.len()];
            let priority = arrival.priority;
            let request = self.request(index, priority);
            send(client, request, Sample { due, priority }, &report);
        }
        while report.borrow().open() > 0 {
            actix_rt::time::sleep(END_POLL).await;
        }
        let report = report.borrow().clone();
        Ok(report)
    }

    /// Makes the clients; those that follow one another call different entries.
    fn clients(&self) -> Vec<Client> {
        let timeout = self.timeout + GRACE;
        let entries = self.entries.iter().cycle();
        entries
            .take(self.entries.len() * CLIENTS)
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

/// A call that is due now.
#[derive(Clone, Copy)]
struct Sample {
    due: Instant,
    priority: Priority,
}

/// Sends a call in a task of its own, unless too many are open.
fn send(client: &Client, request: CallRequest, sample: Sample, report: &Rc<RefCell<Report>>) {
    let priority = sample.priority;
    if report.borrow().open() >= OPEN_LIMIT {
        report.borrow_mut().skip(priority);
        return;
    }
    report.borrow_mut().open_call(priority);
    let client = client.clone();
    let report = Rc::clone(report);
    actix_rt::spawn(async move {
        let end = call(&client, &request).await;
        let time = sample.due.elapsed();
        report.borrow_mut().close_call(priority, time, end);
    });
}

/// How a call ended.
#[derive(Debug)]
pub enum End {
    /// The answer of its own request came.
    Answered,
    /// The answer of another request came, or half of one.
    Mixed,
    /// An error came.
    Failed(Error),
}

/// Calls and compares the answer with the request.
///
/// Methods that echo answer the body itself; those that fail or answer a size answer no body of
/// the same length, so only a body of the same length must be the same.
async fn call(client: &Client, request: &CallRequest) -> End {
    let answer: Result<CallResponse, Error> = client.call("Caller", "Call", request).await;
    match answer {
        Ok(answer) if is_foreign(&answer.body, &request.body) => End::Mixed,
        Ok(_) => End::Answered,
        Err(error) => End::Failed(error),
    }
}

fn is_foreign(answer: &[u8], body: &[u8]) -> bool {
    answer.len() == body.len() && answer != body
}

/// Returns a body that differs from call to call.
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

/// Returns the name of a priority in options and reports.
pub fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Lookup => "lookup",
        Priority::Normal => "normal",
        Priority::Bulk => "bulk",
    }
}
