//! Names of jobs, steps, tasks and runs.

use std::fmt;

use laburnum_derive::value;
use slotmap::new_key_type;

/// A job, by the id that its client chose.
#[value]
pub struct Job(pub u64);

/// One step of one occurrence of a job.
#[value]
pub struct Step {
    /// The job.
    pub job: Job,
    /// The occurrence, from 0; 0 for a job without occurrences.
    pub occurrence: u32,
    /// The step's place in the job, from 0.
    pub index: u16,
}

/// One task of a step.
#[value]
pub struct Task {
    /// The step.
    pub step: Step,
    /// The task's place in the step, from 0.
    pub index: u16,
}

/// The number of one start of a task; a later start has a higher number.
#[value]
pub struct Run(pub u64);

/// A fencing token: workers and the log refuse the orders of an owner with a lower one.
#[value]
#[derive(Default)]
pub struct Token(pub u64);

/// A request that waits for an answer.
#[value]
pub struct Request(pub u64);

/// A position in the order of appends of one owner.
#[value]
#[derive(Default)]
pub struct Mark(pub u64);

new_key_type! {
    /// A worker that the scheduler knows.
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
    /// The digits of a job's id in text.
    const DIGITS: usize = 16;

    /// Reads an id of 16 hexadecimal digits; `None` for any other text.
    pub fn parse(text: &str) -> Option<Job> {
        if text.len() != Job::DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Job)
    }
}

impl Task {
    /// Reads the text that [`Display`](fmt::Display) writes; `None` for any other text.
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
