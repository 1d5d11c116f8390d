//! The jobs that clients submit, and the queues that they submit them to.

use std::time::Duration;

use laburnum_derive::message;

use crate::core::error::{Error, Kind, Result};
use crate::core::resource::Amount;
use crate::core::time::Stamp;

/// The longest payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The most steps of a job; a longer list is taken for a mistake of the client.
pub const MAX_STEPS: usize = 256;
/// The most tasks of one step; a larger number is taken for a mistake of the client.
pub const MAX_TASKS: u32 = 10_000;

/// A job as its client described it.
#[message]
pub struct Spec {
    /// The text that every task gets unchanged.
    pub payload: String,
    /// The steps; a step depends on earlier ones only.
    pub steps: Vec<Step>,
    /// The times at which all steps run; `None` for a job that runs once, when it is accepted.
    pub schedule: Option<Schedule>,
}

/// When the occurrences of a scheduled job are due.
#[message]
pub struct Schedule {
    /// The number of occurrences.
    pub occurrences: u32,
    /// When the first occurrence is due.
    pub first: Stamp,
    /// The time from one occurrence to the next.
    pub interval: Duration,
}

/// A number of identical tasks.
#[message]
#[derive(Default)]
pub struct Step {
    /// The number of tasks.
    pub tasks: u16,
    /// The capacity that one task needs.
    pub need: Amount,
    /// The client's estimate of a task's run time.
    pub estimate: Duration,
    /// The indices of the steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks work only while all of them run at the same time.
    pub gang: bool,
    /// Whether the tasks are slower when they are on several racks.
    pub same_rack: bool,
    /// A label that a worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    pub data_rack: Option<String>,
    /// The most tasks of the step that may run on one worker at the same time.
    pub max_per_worker: Option<u16>,
    /// Whether several runs of a task may be active at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The program that the tasks run; tasks with the same image behave alike.
    pub image: Option<String>,
    /// The tail latency below which the responses of a serving task must stay.
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only processors that other tasks leave unused.
    pub fills: bool,
    /// The most tasks that the scheduler may make unavailable at the same time by its own actions.
    pub max_unavailable: Option<u16>,
}

/// A queue: the service that runs its jobs, their priority and their objective.
///
/// The objective of a job is the time from its acceptance, or from the due time of the occurrence, in
/// which it should complete: `slack_factor` times the estimated run time of its longest chain of
/// steps, plus `target`.
#[message]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The service whose workers run the tasks.
    pub service: String,
    /// The priority; a lower number is placed sooner, and 0 marks an urgent queue, which may preempt
    /// others.
    pub priority: u8,
    /// The number of failed runs of a task after which its job fails.
    pub attempts: u16,
    /// The factor of the objective.
    pub slack_factor: f64,
    /// The constant part of the objective.
    pub target: Duration,
    /// What a call to the advisor takes; `None` when the steps need no permits.
    pub advice: Option<Advice>,
}

/// How long a call to the advisor takes, and how long its permits are valid.
#[message]
#[derive(Copy)]
pub struct Advice {
    /// The fixed part of a call.
    pub base: Duration,
    /// The additional time for each worker that the call names.
    pub per_worker: Duration,
    /// How long a permit is valid.
    pub validity: Duration,
}

impl Step {
    /// Returns the capacity that one task takes from a worker: `need`, without its processors if the
    /// step `fills` unused ones.
    pub fn capacity_need(&self) -> Amount {
        let mut need = self.need;
        if self.fills {
            need.cpu_millis = 0;
        }
        need
    }
}

impl Queue {
    /// Whether the queue's jobs go before those of all others.
    pub fn is_urgent(&self) -> bool {
        self.priority == 0
    }

    /// Creates a queue of which only the name is known.
    pub fn named(name: String) -> Queue {
        Queue {
            name,
            service: String::new(),
            priority: u8::MAX,
            attempts: 1,
            slack_factor: 1.0,
            target: Duration::ZERO,
            advice: None,
        }
    }
}

impl Spec {
    /// Creates the spec of a job of which only the end is known.
    pub fn empty() -> Spec {
        Spec {
            payload: String::new(),
            steps: Vec::new(),
            schedule: None,
        }
    }

    /// Validates a spec that a client sent.
    ///
    /// # Errors
    ///
    /// [`Kind::TooLarge`] for a payload or a list of steps over its limit, [`Kind::Malformed`] for a
    /// job without steps, a step without tasks and a step that depends on itself, a later or an
    /// unknown step.
    pub fn check(&self) -> Result<()> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let message = format!("the payload has more than {MAX_PAYLOAD_BYTES} bytes");
            return Err(Error::new(Kind::TooLarge, message));
        }
        if self.steps.is_empty() {
            return Err(Error::new(Kind::Malformed, "the job has no step"));
        }
        if self.steps.len() > MAX_STEPS {
            let message = format!("the job has more than {MAX_STEPS} steps");
            return Err(Error::new(Kind::TooLarge, message));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                let message = format!("step {index} has no task");
                return Err(Error::new(Kind::Malformed, message));
            }
            if step
                .after
                .iter()
                .any(|&before| usize::from(before) >= index)
            {
                let message = format!("step {index} depends on a step that is not an earlier one");
                return Err(Error::new(Kind::Malformed, message));
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences; 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .as_ref()
            .map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns when an occurrence is due; `None` without a schedule, when it is due at once.
    pub fn due(&self, occurrence: u32) -> Option<Stamp> {
        let schedule = self.schedule.as_ref()?;
        Some(schedule.first + schedule.interval * occurrence)
    }

    /// Returns the estimated run time of the longest chain of steps from each step to the end.
    pub fn chains(&self) -> Vec<Duration> {
        let mut longest = vec![Duration::ZERO; self.steps.len()];
        for index in (0..self.steps.len()).rev() {
            let followers = self.steps.iter().enumerate().skip(index + 1);
            let after = followers
                .filter(|(_, next)| next.after.contains(&(index as u16)))
                .map(|(next, _)| longest[next])
                .max()
                .unwrap_or_default();
            longest[index] = self.steps[index].estimate + after;
        }
        longest
    }
}
