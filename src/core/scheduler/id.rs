//! Identifiers of jobs, steps, tasks, runs and workers.

use std::fmt;

use laburnum_derive::value;
use slotmap::new_key_type;

/// The id of a job, chosen by its client.
#[value]
pub struct Job(pub u64);

/// The id of one step in one occurrence of a job.
#[value]
pub struct Step {
    /// The job.
    pub job: Job,
    /// The occurrence, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// The index of the step in the job, from 0.
    pub index: u16,
}

/// The id of one task of a step.
#[value]
pub struct Task {
    /// The step.
    pub step: Step,
    /// The index of the task in the step, from 0.
    pub index: u16,
}

/// The number of one run of a task. A later run of the task has a higher number.
#[value]
pub struct Run(pub u64);

/// A fencing token. Workers and the log reject an owner with a lower token than the highest that
/// they have seen.
#[value]
#[derive(Default)]
pub struct Token(pub u64);

/// The id of a client request that waits for a response.
#[value]
pub struct Request(pub u64);

/// The sequence number of an append of one owner.
#[value]
#[derive(Default)]
pub struct Mark(pub u64);

new_key_type! {
    /// The key of one incarnation of a worker in the scheduler.
    pub struct Worker;
}

impl fmt::Display for Job {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

impl fmt::Display for Step {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}.{}", self.job, self.occurrence, self.index)
    }
}

impl fmt::Display for Task {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.step, self.index)
    }
}

impl Job {
    /// The hexadecimal digits of a job id in text.
    const DIGITS: usize = 16;

    /// Parses an id of 16 hexadecimal digits; `None` for any other text.
    pub fn parse(text: &str) -> Option<Job> {
        if text.len() != Job::DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Job)
    }
}

impl Task {
    /// Parses the text that [`Display`](fmt::Display) writes; `None` for any other text.
    pub fn parse(text: &str) -> Option<Task> {
        let mut parts = text.split('.');
        let job = Job::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        if parts.next().is_some() {
            return None;
        }
        let step = Step {
            job,
            occurrence,
            index: step,
        };
        Some(Task { step, index })
    }
}
