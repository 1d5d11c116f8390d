//! The command language of tasks on a worker.
//!
//! A command is a list of words: `sleep MS` succeeds and `fail MS` fails after that many
//! milliseconds; `forever` ends only when it is stopped. In front of any of them, `use CPU_MILLIS
//! MEMORY_MIB` makes the task use that much instead of its declared size. An unknown command
//! fails at once.

use std::time::Duration;

use laburnum_derive::state;
use laburnumplank::core::resource::Amount;
use laburnumplank::platform::worker::State;

/// What a task does.
#[state]
#[derive(Copy)]
pub struct Command {
    /// What the task uses, where it is not its declared size.
    pub usage: Option<Amount>,
    /// How the task ends by itself.
    pub end: End,
}

/// How a task ends by itself.
#[state]
#[derive(Copy)]
pub enum End {
    /// It does not.
    Never,
    /// It ends in this state after this span.
    After(Duration, State),
}

impl Command {
    /// Reads a command; an unknown one is a task that fails at once.
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
    /// A failure right at the start.
    pub const FAILS: End = End::After(Duration::ZERO, State::Failed);

    fn parse(words: &[&str]) -> End {
        match *words {
            ["sleep", ms] => End::timed(ms, State::Succeeded),
            ["fail", ms] => End::timed(ms, State::Failed),
            ["forever"] => End::Never,
            _ => End::FAILS,
        }
    }

    fn timed(ms: &str, state: State) -> End {
        let span = ms.parse().map(Duration::from_millis);
        span.map_or(End::FAILS, |span| End::After(span, state))
    }
}

/// Returns the amount that two words name.
fn amount(cpu: &str, memory: &str) -> Option<Amount> {
    Some(Amount {
        cpu_millis: cpu.parse().ok()?,
        memory_mib: memory.parse().ok()?,
        accelerators: 0,
    })
}
