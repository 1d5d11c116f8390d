//! What clients ask for: jobs of steps, and the queues that they are handed to.

use std::time::Duration;

use laburnum_derive::message;

use crate::core::error::{Error, Kind, Result};
use crate::core::resource::Amount;
use crate::core::time::Stamp;

/// The longest payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The most steps of a job; a longer list is a client's mistake.
pub const MAX_STEPS: usize = 256;
/// The most tasks of one step; a larger number is a client's mistake.
pub const MAX_TASKS: u32 = 10_000;

/// A job as its client described it.
#[message]
pub struct Spec {
    /// Handed to every task as it is.
    pub payload: String,
    /// The steps; a step names earlier ones only.
    pub steps: Vec<Step>,
    /// When the steps run more than once.
    pub schedule: Option<Schedule>,
}

/// When the occurrences of a scheduled job are due.
#[message]
pub struct Schedule {
    /// How many occurrences there are.
    pub occurrences: u32,
    /// When the first is due.
    pub first: Stamp,
    /// From one occurrence to the next.
    pub interval: Duration,
}

/// Some tasks that are alike.
#[message]
#[derive(Default)]
pub struct Step {
    /// How many tasks there are.
    pub tasks: u16,
    /// What one task needs.
    pub need: Amount,
    /// The client's guess of a task's run time.
    pub estimate: Duration,
    /// Steps whose tasks must all be done before.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks work only when all of them are present.
    pub gang: bool,
    /// Whether the tasks are slower when they are on several racks.
    pub same_rack: bool,
    /// A label that a worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    pub data_rack: Option<String>,
    /// At most this many tasks of the step on one worker.
    pub max_per_worker: Option<u16>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// The tail of response times that a serving task must stay below.
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only capacity that others leave unused.
    pub fills: bool,
    /// How many tasks may be away at once by the scheduler's own acts.
    pub max_unavailable: Option<u16>,
}

/// A queue: who runs its jobs, and how they are treated.
#[message]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The service whose workers run the tasks.
    pub service: String,
    /// The lower, the sooner; 0 may preempt others.
    pub priority: u8,
    /// How many failed runs end a task for good.
    pub attempts: u16,
    /// The objective is this many times the longest chain of work,
    pub slack_factor: f64,
    /// and this span more.
    pub target: Duration,
    /// What asking for permitted workers costs; `None` when any worker may run the steps.
    pub advice: Option<Advice>,
}

/// What a call to the advisor costs, and how long its permits hold.
#[message]
#[derive(Copy)]
pub struct Advice {
    /// The fixed part of a call.
    pub base: Duration,
    /// The part for each worker named.
    pub per_worker: Duration,
    /// How long a permit holds.
    pub validity: Duration,
}

impl Step {
    /// Whether the step's tasks count against a worker's capacity with `need.cpu_millis`.
    pub fn room(&self) -> Amount {
        let mut need = self.need;
        if self.fills {
            need.cpu_millis = 0;
        }
        need
    }
}

impl Queue {
    /// Makes a queue of which only the name is known.
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
    /// Returns the spec of a job of which only the end is known.
    pub fn empty() -> Spec {
        Spec {
            payload: String::new(),
            steps: Vec::new(),
            schedule: None,
        }
    }

    /// Checks what a client sent.
    ///
    /// # Errors
    ///
    /// [`Kind::TooLarge`] for a payload, list or count over its limit, [`Kind::Malformed`] for steps
    /// that name themselves, later or unknown steps.
    pub fn check(&self) -> Result<()> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let message = format!("the payload has more than {MAX_PAYLOAD_BYTES} bytes");
            return Err(Error::new(Kind::TooLarge, message));
        }
        if self.steps.is_empty() {
            return Err(Error::new(Kind::Malformed, "a job needs a step"));
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

    /// Returns how many occurrences the job has.
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .as_ref()
            .map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns when an occurrence is due; `None` when it is due at once.
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
