//! The command language of tasks on a worker.
//!
//! A command is a list of words: `sleep MS` succeeds and `fail MS` fails after that many
//! milliseconds; `forever` runs until it is stopped or its lease ends. The prefix `use CPU_MILLIS
//! MEMORY_MIB` makes the task use that much instead of its declared size. An unknown command
//! fails immediately.

use std::time::Duration;

use laburnum_derive::state;
use laburnumplank::core::resource::Amount;
use laburnumplank::platform::worker::State;

/// A parsed command.
#[state]
#[derive(Copy)]
pub struct Command {
    /// What the task uses; `None` for its declared size.
    pub usage: Option<Amount>,
    /// How the task ends without a request.
    pub end: End,
}

/// How a task ends without a request.
#[state]
#[derive(Copy)]
pub enum End {
    /// The task runs until it is stopped or its lease ends.
    Never,
    /// The task ends in this state after this time.
    After(Duration, State),
}

impl Command {
    /// Parses a command; an unknown command is one that fails immediately.
    pub fn parse(text: &str) -> Command {
        let words: Vec<&str> = text.split_whitespace().collect();
        let (usage, rest) = match words.as_slice() {
            ["use", cpu, memory, rest @ ..] => (amount(cpu, memory), rest),
            all => (None, all),
        };
        Command {
            usage,
            end: End::parse(rest),
        }
    }
}

impl End {
    /// An immediate failure.
    pub const IMMEDIATE_FAILURE: End = End::After(Duration::ZERO, State::Failed);

    fn parse(words: &[&str]) -> End {
        match *words {
            ["sleep", ms] => End::after_millis(ms, State::Succeeded),
            ["fail", ms] => End::after_millis(ms, State::Failed),
            ["forever"] => End::Never,
            _ => End::IMMEDIATE_FAILURE,
        }
    }

    fn after_millis(ms: &str, state: State) -> End {
        let duration = ms.parse().map(Duration::from_millis);
        duration.map_or(End::IMMEDIATE_FAILURE, |duration| {
            End::After(duration, state)
        })
    }
}

/// Parses an amount of CPU and memory; returns `None` unless both words are numbers.
fn amount(cpu: &str, memory: &str) -> Option<Amount> {
    Some(Amount {
        cpu_millis: cpu.parse().ok()?,
        memory_mib: memory.parse().ok()?,
        accelerators: 0,
    })
}
