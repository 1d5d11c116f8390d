//! Tests of entries in the directory that do not come from the worker that they name.

use std::time::Duration;

use laburnumplank::core::queue::QueueBinding;
use laburnumplank::core::scheduler::message::{Input, Outcome, Refusal, Start};
use laburnumplank::core::scheduler::spec::Queue;
use laburnumplank::core::scheduler::worker::Entry;

use super::cell::{Cell, cell_with_a_run, entry, queue, running, spec, step};

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

/// An entry that differs from the worker's own by a later start only.
fn later(name: &str) -> Entry {
    let own = entry(name);
    Entry {
        incarnation: own.incarnation + 1,
        ..own
    }
}

/// An entry that differs from the worker's own by the address only.
fn moved(name: &str) -> Entry {
    Entry {
        address: "127.0.0.1:10".parse().unwrap(),
        ..entry(name)
    }
}

/// The owner took the entry for a restart and ran the task a second time, beside the first run.
#[test]
fn later_start_in_the_directory_ends_no_run_of_a_worker_that_responds() {
    let (mut cell, worker, start) = cell_with_a_run();
    cell.input(Input::Listed(later("w1")));
    for _ in 0..20 {
        cell.wait(Duration::from_millis(100));
        assert!(cell.starts.is_empty());
        assert!(
            cell.scheduler.worker(worker).is_some(),
            "it is still polled"
        );
        cell.poll(worker, vec![running(&start)], Vec::new());
    }
    assert!(cell.stops.is_empty());
}

/// The owner polled the address of the entry, where another worker rejected its poll.
#[test]
fn other_address_in_the_directory_is_not_polled_for_a_worker_that_responds() {
    let (mut cell, worker, start) = cell_with_a_run();
    cell.input(Input::Listed(moved("w1")));
    for _ in 0..20 {
        cell.wait(Duration::from_millis(100));
        let known = cell.scheduler.worker(worker).map(|worker| &worker.entry);
        assert_eq!(known.map(|known| known.address), Some(entry("w1").address));
        cell.poll(worker, vec![running(&start)], Vec::new());
    }
    assert!(cell.starts.is_empty() && cell.stops.is_empty());
}

/// Returns the next owner of a cell with a run on `w1`, and a free worker `w2`.
fn owner_with_an_inherited_run() -> (Cell, Start) {
    let (first, _, start) = cell_with_a_run();
    let mut second = first.successor(9);
    second.add_worker("w2");
    (second, start)
}

/// The address of the entry was another worker's, which showed to the next owner that `w1` had ended.
#[test]
fn rejection_at_an_address_that_never_responded_ends_no_inherited_run() {
    let (mut second, start) = owner_with_an_inherited_run();
    second.input(Input::Listed(moved("w1")));
    let worker = second.scheduler.worker_named("w1").unwrap();
    second.input(Input::PollFailed {
        worker,
        outcome: Outcome::Refused(Refusal::OtherWorker),
    });
    second.wait(Duration::from_secs(1));
    assert!(second.starts.is_empty(), "w1 may run the task");
    let worker = second.list_worker("w1");
    second.poll(worker, vec![running(&start)], Vec::new());
    second.wait(Duration::from_secs(12));
    assert!(second.starts.is_empty() && second.stops.is_empty());
}

/// The worker's own entry was ignored as that of an earlier incarnation, and its runs lapsed.
#[test]
fn own_entry_of_a_worker_follows_a_later_start_that_never_responded() {
    let (mut second, start) = owner_with_an_inherited_run();
    second.input(Input::Listed(later("w1")));
    let worker = second.scheduler.worker_named("w1").unwrap();
    second.input(Input::PollFailed {
        worker,
        outcome: Outcome::Refused(Refusal::OtherIncarnation),
    });
    second.wait(Duration::from_secs(1));
    let worker = second.list_worker("w1");
    let known = second.scheduler.worker(worker).unwrap();
    assert_eq!(known.entry.incarnation, entry("w1").incarnation);
    second.poll(worker, vec![running(&start)], Vec::new());
    second.wait(Duration::from_secs(12));
    assert!(second.starts.is_empty() && second.stops.is_empty());
}

/// The entry of another writer replaced the worker's own, which had followed it.
#[test]
fn entry_that_the_own_one_followed_does_not_replace_a_silent_worker() {
    let (mut cell, worker, _) = cell_with_a_run();
    cell.input(Input::Listed(moved("w1")));
    cell.input(Input::Listed(entry("w1")));
    cell.input(Input::PollFailed {
        worker,
        outcome: Outcome::Unknown,
    });
    cell.wait(Duration::from_secs(8));
    let worker = cell.scheduler.worker_named("w1").unwrap();
    let known = cell.scheduler.worker(worker).unwrap();
    assert_eq!(known.entry.address, entry("w1").address);
}

/// Without an answer from either address, the entry counts once the lease has ended.
#[test]
fn later_start_of_a_silent_worker_counts_after_the_lease() {
    let (mut cell, worker, _) = cell_with_a_run();
    cell.input(Input::Listed(later("w1")));
    cell.input(Input::PollFailed {
        worker,
        outcome: Outcome::Unknown,
    });
    cell.wait(Duration::from_secs(1));
    assert!(cell.starts.is_empty(), "its lease goes on");
    cell.wait(Duration::from_secs(5));
    let next = cell.scheduler.worker_named("w1").unwrap();
    assert_ne!(next, worker);
    cell.confirm();
    assert_eq!(cell.starts.len(), 1);
}

/// A restart is known as soon as the next incarnation has responded.
#[test]
fn later_start_that_the_worker_confirms_releases_its_runs_at_once() {
    let (mut cell, worker, _) = cell_with_a_run();
    let next = cell.restart_worker("w1");
    assert_ne!(next, worker);
    assert_eq!(cell.starts.len(), 1);
}

/// A poll of the former address was under way, which another worker had taken by then.
#[test]
fn rejection_at_the_former_address_ends_no_run_of_a_worker_that_moved() {
    let (mut cell, worker, start) = cell_with_a_run();
    cell.input(Input::Listed(moved("w1")));
    cell.finish_verifications(&Outcome::Done(None));
    cell.input(Input::PollFailed {
        worker,
        outcome: Outcome::Refused(Refusal::OtherWorker),
    });
    cell.wait(Duration::from_millis(500));
    assert!(cell.starts.is_empty());
    cell.poll(worker, vec![running(&start)], Vec::new());
    cell.wait(Duration::from_secs(1));
    assert!(cell.starts.is_empty() && cell.stops.is_empty());
}

/// The next owner waited for the longest lease of a worker that was certain to have ended.
#[test]
fn rejection_at_the_recorded_address_ends_the_wait_for_an_inherited_run() {
    let (mut first, ..) = cell_with_a_run();
    first.wait(Duration::from_secs(1));
    first.confirm();
    let mut second = first.successor(9);
    second.add_worker("w2");
    let worker = second.list_worker("w1");
    assert!(second.starts.is_empty());
    second.input(Input::PollFailed {
        worker,
        outcome: Outcome::Refused(Refusal::OtherWorker),
    });
    second.wait(Duration::from_millis(100));
    assert_eq!(second.starts.len(), 1);
}

/// Returns whether an owner counts a worker as lost of which the owner before had recorded a later start only.
fn counts_a_later_start_as_lost(is_former_asked: bool) -> bool {
    let mut first = Cell::new(1);
    first.input(Input::Listed(later("w1")));
    first.tick();
    first.confirm();
    let mut second = first.successor(9);
    if is_former_asked {
        second.inherit_leases(&first);
    }
    second.add_worker("w1");
    second.wait(Duration::from_millis(300));
    second.confirm();
    second.log.contains_key(b"losses".as_slice())
}

/// The later start had been an entry of another writer, and the worker counted as crashed.
#[test]
fn recorded_later_start_that_never_was_counts_as_no_loss() {
    assert!(!counts_a_later_start_as_lost(false));
}

/// The same while the former owner says that there is no lease left.
#[test]
fn recorded_later_start_without_a_lease_counts_as_no_loss() {
    assert!(!counts_a_later_start_as_lost(true));
}

/// The clock of the worker was set back in between, and its entries were ignored.
#[test]
fn restart_with_an_earlier_start_at_another_address_is_found() {
    let mut cell = Cell::new(1);
    cell.input(Input::Listed(later("w1")));
    let worker = cell.scheduler.worker_named("w1").unwrap();
    cell.poll(worker, Vec::new(), Vec::new());
    cell.input(Input::Listed(moved("w1")));
    cell.finish_verifications(&Outcome::Done(None));
    let known = cell.scheduler.worker_named("w1").unwrap();
    let known = cell.scheduler.worker(known).unwrap();
    assert_eq!(known.entry.incarnation, entry("w1").incarnation);
}

/// Returns the record of the addresses of workers.
fn addresses(cell: &mut Cell) -> Vec<u8> {
    cell.wait(Duration::from_secs(2));
    cell.confirm();
    cell.log[b"addresses".as_slice()].clone()
}

#[test]
fn address_of_a_confirmed_restart_is_recorded() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    let before = addresses(&mut cell);
    let next = cell.restart_worker("w1");
    cell.poll(next, Vec::new(), Vec::new());
    assert_ne!(addresses(&mut cell), before);
}

#[test]
fn address_of_a_worker_that_is_silent_after_a_takeover_stays_recorded() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    addresses(&mut first);
    let mut second = first.successor(9);
    second.list_worker("w1");
    second.add_worker("w2");
    let addresses = addresses(&mut second);
    let is_listed = |name: &[u8]| addresses.windows(name.len()).any(|text| text == name);
    assert!(is_listed(b"w1") && is_listed(b"w2"));
}

/// Two foreign entries in a row left a worker behind that no entry updates, beside the one that the name belongs to.
#[test]
fn second_foreign_entry_under_the_name_of_an_idle_worker_adds_no_worker() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.input(Input::Listed(moved("w1")));
    cell.finish_verifications(&Outcome::Done(None));
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.remove(0);
    cell.input(Input::Listed(later("w1")));
    cell.finish_start(worker, &start, Outcome::Refused(Refusal::Unhealthy));
    cell.input(Input::Listed(Entry {
        address: "127.0.0.1:11".parse().unwrap(),
        ..later("w1")
    }));
    assert_eq!(cell.scheduler.workers().count(), 1);
}
