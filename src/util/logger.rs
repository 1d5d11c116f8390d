//! Loggers that write lines as text or JSON from a background thread.

use std::io::{self, IsTerminal};
use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Creates a logger that writes lines of `level` and above to standard error.
///
/// The lines are text if standard error is a terminal, and JSON otherwise.
pub fn to_stderr(level: &str) -> Logger {
    let level = parse_level(level);
    if io::stderr().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let format = slog_term::FullFormat::new(decorator).build().fuse();
        return queued_logger(format, level);
    }
    let format = Mutex::new(slog_json::Json::default(io::stderr())).fuse();
    queued_logger(format, level)
}

/// Capacity of the queue of lines to be written; lines that do not fit are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Creates a logger that writes JSON lines of `level` and above to standard output.
///
/// Logging never blocks: lines that do not fit in the queue are dropped, and the logger writes a
/// line with their number.
pub fn to_stdout(level: &str) -> Logger {
    let format = Mutex::new(slog_json::Json::default(io::stdout())).fuse();
    let filtered = LevelFilter::new(format, parse_level(level)).fuse();
    let queued = slog_async::Async::new(filtered)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(queued, o!())
}

/// Creates a logger that filters lines by level and queues them for `drain`.
fn queued_logger<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let filtered = LevelFilter::new(drain, level).fuse();
    let queued = slog_async::Async::new(filtered).build().fuse();
    Logger::root(queued, o!())
}

/// Parses the name of a level; an unknown name means info.
fn parse_level(level: &str) -> Level {
    match level {
        "error" => Level::Error,
        "warning" => Level::Warning,
        "debug" => Level::Debug,
        _ => Level::Info,
    }
}
