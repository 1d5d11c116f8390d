//! Tests of entries in the directory that do not come from the worker that they name.

use std::time::Duration;

use laburnumplank::core::queue::QueueBinding;
use laburnumplank::core::scheduler::message::Input;
use laburnumplank::core::scheduler::spec::Queue;
use laburnumplank::core::scheduler::worker::Entry;

use super::cell::{Cell, entry, queue, running, spec, step};

/// An entry of another writer under a worker's name: a later start, and a service that no queue has.
fn foreign(name: &str) -> Entry {
    let own = entry(name);
    Entry {
        incarnation: own.incarnation + 1,
        service: "elsewhere".to_owned(),
        ..own
    }
}

/// The owner took the entry for a restart and ran the task a second time, beside the first run.
#[test]
fn entry_of_an_unnamed_service_ends_no_run() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let starts = cell.accept_starts();
    cell.add_worker("w2");
    cell.input(Input::Listed(foreign("w1")));
    for _ in 0..20 {
        cell.wait(Duration::from_millis(100));
        assert!(cell.starts.is_empty());
    }
    assert!(
        cell.scheduler.worker(worker).is_some(),
        "it is still polled"
    );
    cell.poll(worker, vec![running(&starts[0].1)], Vec::new());
    assert!(cell.starts.is_empty() && cell.stops.is_empty());
}

/// The newest entry of a worker may be a foreign one when a new owner reads the directory.
#[test]
fn entry_of_an_unnamed_service_at_a_takeover_ends_no_run() {
    let mut first = Cell::new(1);
    let worker = first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let starts = first.accept_starts();
    first.poll(worker, vec![running(&starts[0].1)], Vec::new());
    let mut second = first.successor(2);
    second.input(Input::Listed(foreign("w1")));
    second.add_worker("w2");
    second.wait(Duration::from_millis(500));
    assert!(second.starts.is_empty());
    let worker = second.list_worker("w1");
    second.poll(worker, vec![running(&starts[0].1)], Vec::new());
    second.wait(Duration::from_secs(12));
    assert!(second.starts.is_empty() && second.stops.is_empty());
}

#[test]
fn worker_of_an_unnamed_service_is_listed_once_a_queue_has_the_service() {
    let mut cell = Cell::new(1);
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    cell.input(Input::Listed(foreign("w1")));
    assert!(cell.scheduler.worker_named("w1").is_none());
    let queue = Queue {
        service: "elsewhere".to_owned(),
        ..queue()
    };
    cell.input(Input::Queues(vec![QueueBinding {
        host: "desk.example".to_owned(),
        prefix: "/elsewhere/".to_owned(),
        queue,
        is_public: false,
    }]));
    assert!(cell.scheduler.worker_named("w1").is_some());
}
