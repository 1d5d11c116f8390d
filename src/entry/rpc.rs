//! Remote procedure calls for operators, served at the address of the metrics.
//!
//! `POST /laburnum.v1.Operator/ExplainPlacement` is the only one. The request goes to the owner of the cell
//! like those of clients.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use slog::{Logger, info};

use super::ControlHandle;
use super::control::View;
use super::message::{EntryRequest, EntryResponse, Explain};
use crate::api::codec::Format;
use crate::api::schema::{
    ExplainPlacementRequest, ExplainPlacementResponse, PlacementStep, StepOutlook, TaskPlacement,
    WorkerCount,
};
use crate::api::server::{PREFIX, error_response, read_body};
use crate::core::account;
use crate::core::error::{Error, Kind, Result};
use crate::core::queue::QueueTable;
use crate::core::scheduler::explain::{self, Decision, Explanation, WorkerCounts};
use crate::core::scheduler::id::Job;
use crate::core::scheduler::spec::{MAX_STEPS, MAX_TASKS, Spec, Step};
use crate::util::clock::Clock;

/// The name of the procedure after [`PREFIX`].
const EXPLAIN_PLACEMENT: &str = "Operator/ExplainPlacement";
/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// How long to wait for the owner's answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Serves the calls.
#[derive(Clone)]
pub struct Server {
    /// Passes requests to the control thread.
    pub gate: ControlHandle,
    /// State that the control thread publishes.
    pub view: View,
    /// The process's clocks.
    pub clock: Clock,
    /// Receives the log lines.
    pub log: Logger,
}

impl Server {
    /// Whether a request is a remote procedure call.
    pub fn is_call(request: &Request) -> bool {
        request.path().starts_with(PREFIX)
    }

    /// Serves one call.
    pub async fn serve(&self, mut request: Request) -> Response<BoxBody> {
        match self.call(&mut request).await {
            Ok((format, body)) => Response::build(StatusCode::OK)
                .insert_header((header::CONTENT_TYPE, format.content_type()))
                .body(body)
                .map_into_boxed_body(),
            Err(error) => {
                info!(self.log, "call refused"; "path" => request.path(),
                    "kind" => error.kind.answer().name, "message" => &error.message);
                error_response(&error)
            }
        }
    }

    async fn call(&self, request: &mut Request) -> Result<(Format, Vec<u8>)> {
        let name = request.path().strip_prefix(PREFIX).unwrap_or_default();
        if name != EXPLAIN_PLACEMENT || request.method() != Method::POST {
            let message = format!("an entry serves POST {PREFIX}{EXPLAIN_PLACEMENT} only");
            return Err(Error::new(Kind::Unimplemented, message));
        }
        let media_type = request.headers().get(header::CONTENT_TYPE);
        let media_type = media_type.and_then(|value| value.to_str().ok());
        let format = Format::from_content_type(media_type.unwrap_or_default());
        let format = format.ok_or_else(|| {
            let message = "send application/json or application/proto";
            Error::new(Kind::Malformed, message)
        })?;
        let body = read_body(request, MAX_BODY_BYTES).await?;
        let subject = self.subject(format.decode(&body)?)?;
        let end = self.clock.now() + TIMEOUT;
        let answer = self.gate.request(EntryRequest::Explain(subject), end, end);
        let EntryResponse::Explained(explanation) = answer.await? else {
            let message = "the owner's response does not match the request";
            return Err(Error::new(Kind::Internal, message));
        };
        Ok((format, format.encode(&encode(&explanation))?))
    }

    fn subject(&self, request: ExplainPlacementRequest) -> Result<Explain> {
        if !request.job_id.is_empty() {
            let job = Job::parse(&request.job_id);
            let job = job.ok_or_else(|| {
                let message = "a job id must have 16 hexadecimal digits";
                Error::new(Kind::Malformed, message)
            })?;
            return Ok(Explain::Job(job));
        }
        let table = self.view.tables.borrow().clone();
        let table = table.ok_or_else(|| {
            let message = "no configuration has been loaded yet; retry later";
            Error::new(Kind::NoOwner, message)
        })?;
        decode(&table, request)
    }
}

/// Decodes the description of a job that a caller could submit.
///
/// # Errors
///
/// [`Kind::NotFound`] for an unknown queue or client account; [`Kind::Malformed`] or [`Kind::TooLarge`] for a
/// job that would not be accepted from a client either.
pub fn decode(table: &QueueTable, request: ExplainPlacementRequest) -> Result<Explain> {
    let mut queues = table.queues();
    let queue = queues.find(|queue| queue.name == request.queue);
    let queue = queue.ok_or_else(|| {
        let message = format!("there is no queue `{}`", request.queue);
        Error::new(Kind::NotFound, message)
    })?;
    if request.steps.len() > MAX_STEPS || request.steps.iter().any(|step| step.tasks > MAX_TASKS) {
        let message = "the job has too many steps or tasks";
        return Err(Error::new(Kind::TooLarge, message));
    }
    let spec = Spec {
        payload: String::new(),
        steps: request.steps.into_iter().map(decode_step).collect(),
        schedule: None,
    };
    spec.check()?;
    Ok(Explain::Submission {
        queue: Box::new(queue.clone()),
        spec,
        account: find_account(table, request.account)?,
    })
}

fn find_account(table: &QueueTable, name: String) -> Result<Option<account::Name>> {
    if name.is_empty() {
        return Ok(None);
    }
    let name = account::Name(name);
    let accounts = table.accounts.iter().flat_map(account::Table::accounts);
    if accounts.into_iter().any(|account| account.name == name) {
        return Ok(Some(name));
    }
    let message = format!("there is no client account `{}`", name.0);
    Err(Error::new(Kind::NotFound, message))
}

fn decode_step(step: PlacementStep) -> Step {
    let non_empty = |text: String| (!text.is_empty()).then_some(text);
    Step {
        tasks: step.tasks as u16,
        need: step.need.unwrap_or_default().into(),
        estimate: Duration::from_millis(step.estimate_ms),
        after: step.after.into_iter().map(|index| index as u16).collect(),
        gang: step.gang,
        checkpoints: step.checkpoints,
        same_rack: step.same_rack,
        label: non_empty(step.label),
        data_rack: non_empty(step.data_rack),
        max_per_worker: (step.max_per_worker > 0).then_some(step.max_per_worker as u16),
        long_running: step.long_running,
        fills: step.fills,
        ..Step::default()
    }
}

fn encode(explanation: &Explanation) -> ExplainPlacementResponse {
    let refusal = explanation.refusal.as_ref();
    let retry_after = refusal.and_then(|error| error.retry_after);
    ExplainPlacementResponse {
        accepted: refusal.is_none(),
        refusal: refusal.map_or_else(String::new, ToString::to_string),
        retry_after_ms: retry_after.map_or(0, millis),
        steps: explanation.steps.iter().map(encode_step).collect(),
        steps_ahead: explanation.steps_ahead as u32,
        cpu_millis_ahead: explanation.cpu_millis_ahead,
        claim_age_ms: millis(explanation.claim_age),
        oldest_report_ms: millis(explanation.oldest_report),
        log_available: explanation.is_log_available,
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

fn encode_step(step: &explain::StepOutlook) -> StepOutlook {
    let (decision, reason) = match &step.decision {
        Decision::Start => ("start", String::new()),
        Decision::AskAdvisor { workers } => ("ask_advisor", format!("about {workers} workers")),
        Decision::WaitForSteps => ("wait_for_steps", String::new()),
        Decision::WaitForCapacity => ("wait_for_capacity", String::new()),
        Decision::Wait { reason, inputs } => ("wait", format!("{reason} {inputs}")),
        Decision::Nothing => ("nothing", String::new()),
    };
    let placements = step
        .placements
        .iter()
        .map(|(worker, &tasks)| TaskPlacement {
            worker: worker.clone(),
            tasks: tasks as u32,
        });
    StepOutlook {
        step: u32::from(step.index),
        waiting: step.waiting as u32,
        running: step.running as u32,
        done: step.done as u32,
        decision: decision.to_owned(),
        reason: reason.trim_end().to_owned(),
        placements: placements.collect(),
        workers: encode_counts(&step.workers),
        starts_in_ms: step.starts_in.map(millis),
        ends_in_ms: step.ends_in.map(millis),
    }
}

fn encode_counts(counts: &WorkerCounts) -> Vec<WorkerCount> {
    let states = [
        ("fitting", counts.fitting),
        ("leaving", counts.leaving),
        ("silent", counts.silent),
        ("suspect", counts.suspect),
        ("other_label", counts.other_label),
        ("denied", counts.denied),
        ("full", counts.full),
        ("kept", counts.kept),
    ];
    let states = states.into_iter().filter(|(_, workers)| *workers > 0);
    let counts = states.map(|(state, workers)| WorkerCount {
        state: state.to_owned(),
        workers: workers as u32,
    });
    counts.collect()
}
