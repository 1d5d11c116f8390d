//! Log lines: text on a terminal, JSON otherwise.

use std::io::{self, IsTerminal};
use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Makes the logger of a process, which writes lines of `level` and above to standard error.
pub fn make(level: &str) -> Logger {
    let level = parse(level);
    if io::stderr().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let format = slog_term::FullFormat::new(decorator).build().fuse();
        return root(format, level);
    }
    let format = Mutex::new(slog_json::Json::default(io::stderr())).fuse();
    root(format, level)
}

/// How many lines may wait to be written; further ones are dropped and counted.
const QUEUED_LINES: usize = 4_096;

/// Makes the logger of a process, which writes JSON lines of `level` and above to standard output.
///
/// It never blocks: lines that don't fit into the queue are dropped, and a line says how many.
pub fn to_stdout(level: &str) -> Logger {
    let format = Mutex::new(slog_json::Json::default(io::stdout())).fuse();
    let filtered = LevelFilter::new(format, parse(level)).fuse();
    let queued = slog_async::Async::new(filtered)
        .chan_size(QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(queued, o!())
}

/// Puts a filter and a queue in front of a drain.
fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let filtered = LevelFilter::new(drain, level).fuse();
    let queued = slog_async::Async::new(filtered).build().fuse();
    Logger::root(queued, o!())
}

/// Returns the level of a name; an unknown name is info.
fn parse(level: &str) -> Level {
    match level {
        "error" => Level::Error,
        "warning" => Level::Warning,
        "debug" => Level::Debug,
        _ => Level::Info,
    }
}
