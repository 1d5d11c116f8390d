//! Tests of what becomes of the jobs of a queue when the configuration renames, moves or removes it.

use std::collections::BTreeMap;

use laburnumplank::core::account;
use laburnumplank::core::error::Kind;
use laburnumplank::core::queue::{Endpoint, Locator, QueueBinding};
use laburnumplank::core::scheduler::id::{Job, Request};
use laburnumplank::core::scheduler::message::{Answer, Input};
use laburnumplank::core::scheduler::record::Phase;
use laburnumplank::core::scheduler::spec::Queue;
use proptest::prelude::*;

use super::cell::{Cell, queue, spec, step};

/// The path prefixes at which the tests configure queues.
const PREFIXES: [&str; 3] = ["/filings/", "/sweeps/", "/lookups/"];

fn endpoint(prefix: &str) -> Endpoint {
    Endpoint {
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
    }
}

fn named(name: &str, attempts: u16) -> Queue {
    Queue {
        name: name.to_owned(),
        attempts,
        ..queue()
    }
}

fn binding(prefix: &str, queue: Queue) -> QueueBinding {
    let Endpoint { host, prefix } = endpoint(prefix);
    QueueBinding {
        host,
        prefix,
        queue,
        is_public: false,
    }
}

/// Puts a version of the configuration in force.
fn configure(cell: &mut Cell, queues: &[(&str, &str, u16)]) {
    let bindings = queues.iter();
    let bindings = bindings.map(|&(prefix, name, attempts)| binding(prefix, named(name, attempts)));
    cell.input(Input::Queues(bindings.collect()));
}

/// Submits a job of two tasks and confirms its record.
fn submit(cell: &mut Cell, job: u64, prefix: &str, name: &str) {
    let at = cell.time().stamp;
    cell.input(Input::Submit {
        request: Request(job),
        job: Job(job),
        queue: named(name, 2),
        endpoint: Some(endpoint(prefix)),
        spec: spec(vec![step(2)]),
        account: None,
        at,
    });
    cell.tick();
    cell.confirm();
}

fn cancel(cell: &mut Cell, job: u64, prefix: &str, name: &str) -> Option<Answer> {
    let at = cell.time().stamp;
    let request = Request(100 + job);
    cell.input(Input::Cancel {
        request,
        job: Job(job),
        queue: name.to_owned(),
        endpoint: Some(endpoint(prefix)),
        account: None,
        at,
    });
    cell.tick();
    cell.confirm();
    let mut answers = cell.answers.iter();
    let (_, answer) = answers.find(|(other, _)| *other == request)?;
    answer.clone().ok()
}

fn phase(cell: &Cell, job: u64, prefix: &str, name: &str) -> Option<Phase> {
    let endpoint = endpoint(prefix);
    cell.scheduler
        .phase(Job(job), Locator::new(Some(&endpoint), name))
}

fn pending(cell: &Cell, prefix: &str, name: &str) -> usize {
    let endpoint = endpoint(prefix);
    cell.scheduler.pending(Locator::new(Some(&endpoint), name))
}

/// Clients were told that a running job does not exist.
#[test]
fn phase_after_rename_of_the_queue_is_that_of_the_job() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    configure(&mut cell, &[("/filings/", "filings", 2)]);
    submit(&mut cell, 7, "/filings/", "filings");
    cell.accept_starts();
    configure(&mut cell, &[("/filings/", "licences", 2)]);
    // Entries have the versions at different times.
    for name in ["filings", "licences"] {
        let phase = phase(&cell, 7, "/filings/", name);
        assert_eq!(phase, Some(Phase::Running), "{name}");
    }
}

/// A cancellation was confirmed and the tasks ran on.
#[test]
fn cancel_after_rename_of_the_queue_stops_its_runs() {
    for name in ["filings", "licences"] {
        let mut cell = Cell::new(1);
        cell.add_worker("w1");
        configure(&mut cell, &[("/filings/", "filings", 2)]);
        submit(&mut cell, 7, "/filings/", "filings");
        cell.accept_starts();
        configure(&mut cell, &[("/filings/", "licences", 2)]);
        let answer = cancel(&mut cell, 7, "/filings/", name);
        assert_eq!(answer, Some(Answer::Cancelled), "{name}");
        assert_eq!(cell.stops.len(), 2, "{name}");
    }
}

#[test]
fn pending_after_rename_of_the_queue_counts_jobs_from_before() {
    let mut cell = Cell::new(1);
    configure(&mut cell, &[("/filings/", "filings", 2)]);
    submit(&mut cell, 7, "/filings/", "filings");
    configure(&mut cell, &[("/filings/", "licences", 2)]);
    submit(&mut cell, 8, "/filings/", "licences");
    assert_eq!(pending(&cell, "/filings/", "filings"), 2);
    assert_eq!(pending(&cell, "/filings/", "licences"), 2);
    assert_eq!(pending(&cell, "/sweeps/", "sweeps"), 0);
}

/// The renamed queue may be all that the next owner ever sees, as after the loss of all entries.
#[test]
fn phase_after_rename_and_takeover_is_that_of_the_job() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    configure(&mut first, &[("/filings/", "filings", 2)]);
    submit(&mut first, 7, "/filings/", "filings");
    submit(&mut first, 8, "/filings/", "filings");
    cancel(&mut first, 8, "/filings/", "filings");
    let mut second = first.successor(2);
    for is_configured in [false, true] {
        if is_configured {
            configure(&mut second, &[("/filings/", "licences", 2)]);
        }
        for name in ["filings", "licences"] {
            let running = phase(&second, 7, "/filings/", name);
            assert!(running.is_some(), "{name}");
            let ended = phase(&second, 8, "/filings/", name);
            assert_eq!(ended, Some(Phase::Cancelled), "{name}");
        }
    }
    submit(&mut second, 7, "/filings/", "licences");
    let (_, answer) = second.answers.last().unwrap();
    assert_eq!(*answer, Ok(Answer::Accepted), "it remains one job");
}

#[test]
fn settings_after_rename_of_the_queue_are_the_new_ones() {
    let mut cell = Cell::new(1);
    configure(&mut cell, &[("/filings/", "filings", 2)]);
    submit(&mut cell, 7, "/filings/", "filings");
    for (name, attempts) in [("licences", 5), ("filings", 3), ("filings", 4)] {
        configure(&mut cell, &[("/filings/", name, attempts)]);
        let queue = &cell.scheduler.job(Job(7)).unwrap().queue;
        assert_eq!((queue.name.as_str(), queue.attempts), (name, attempts));
    }
}

/// Jobs took the settings of the other queue, and callers there could see them.
#[test]
fn queues_that_exchange_their_names_keep_their_jobs() {
    let mut cell = Cell::new(1);
    let before = [("/filings/", "filings", 2), ("/sweeps/", "sweeps", 3)];
    configure(&mut cell, &before);
    submit(&mut cell, 7, "/filings/", "filings");
    configure(
        &mut cell,
        &[("/filings/", "sweeps", 4), ("/sweeps/", "filings", 5)],
    );
    assert_eq!(cell.scheduler.job(Job(7)).unwrap().queue.attempts, 4);
    for name in ["filings", "sweeps"] {
        assert!(phase(&cell, 7, "/filings/", name).is_some(), "{name}");
        assert_eq!(phase(&cell, 7, "/sweeps/", name), None, "{name}");
        let answer = cancel(&mut cell, 7, "/sweeps/", name);
        assert_eq!(answer, Some(Answer::Gone), "{name}");
        cell.answers.clear();
    }
    assert_eq!(pending(&cell, "/filings/", "sweeps"), 1);
    assert_eq!(pending(&cell, "/sweeps/", "filings"), 0);
}

#[test]
fn phase_after_removal_and_return_under_another_name_is_that_of_the_job() {
    let mut cell = Cell::new(1);
    configure(&mut cell, &[("/filings/", "filings", 2)]);
    submit(&mut cell, 7, "/filings/", "filings");
    configure(&mut cell, &[("/sweeps/", "sweeps", 2)]);
    // An entry that still has the queue.
    assert!(phase(&cell, 7, "/filings/", "filings").is_some());
    assert_eq!(phase(&cell, 7, "/sweeps/", "sweeps"), None);
    let mut cell = cell.successor(2);
    configure(
        &mut cell,
        &[("/filings/", "licences", 6), ("/sweeps/", "sweeps", 2)],
    );
    assert!(phase(&cell, 7, "/filings/", "licences").is_some());
    assert_eq!(cell.scheduler.job(Job(7)).unwrap().queue.attempts, 6);
}

#[test]
fn phase_after_move_of_the_queue_is_that_of_the_job() {
    let mut cell = Cell::new(1);
    configure(&mut cell, &[("/filings/", "filings", 2)]);
    submit(&mut cell, 7, "/filings/", "filings");
    configure(&mut cell, &[("/licences/", "filings", 4)]);
    assert!(phase(&cell, 7, "/licences/", "filings").is_some());
    assert_eq!(cell.scheduler.job(Job(7)).unwrap().queue.attempts, 4);
}

/// Neither the job's id nor a key of the caller's account opens the job at another endpoint.
#[test]
fn phase_at_another_endpoint_is_unknown() {
    let mut cell = Cell::new(1);
    let queues = [("/filings/", "filings", 2), ("/sweeps/", "sweeps", 2)];
    configure(&mut cell, &queues);
    submit(&mut cell, 7, "/filings/", "filings");
    assert_eq!(phase(&cell, 7, "/sweeps/", "sweeps"), None);
    assert_eq!(
        cancel(&mut cell, 7, "/sweeps/", "sweeps"),
        Some(Answer::Gone)
    );
}

/// A job was accepted as the repeat of one at another endpoint, never ran, and was then not known to its client.
#[test]
fn submit_of_an_id_in_use_at_another_endpoint_is_refused() {
    let mut cell = Cell::new(1);
    let queues = [("/filings/", "filings", 2), ("/sweeps/", "sweeps", 2)];
    configure(&mut cell, &queues);
    submit(&mut cell, 7, "/filings/", "filings");
    submit(&mut cell, 7, "/sweeps/", "sweeps");
    let answers = cell.answers.iter().map(|(_, answer)| answer.as_ref());
    let answers: Vec<_> = answers
        .map(|answer| answer.map_err(|error| error.kind))
        .collect();
    assert_eq!(answers, [Ok(&Answer::Accepted), Err(Kind::Conflict)]);
}

/// A repeat may arrive after the queue was renamed, or was moved under its name.
#[test]
fn submit_again_after_rename_or_move_of_the_queue_is_the_same_job() {
    for (prefix, name) in [("/filings/", "licences"), ("/sweeps/", "filings")] {
        let mut cell = Cell::new(1);
        configure(&mut cell, &[("/filings/", "filings", 2)]);
        submit(&mut cell, 7, "/filings/", "filings");
        configure(&mut cell, &[(prefix, name, 2)]);
        submit(&mut cell, 7, prefix, name);
        let answers: Vec<_> = cell
            .answers
            .iter()
            .map(|(_, answer)| answer.clone())
            .collect();
        assert_eq!(
            answers,
            [Ok(Answer::Accepted), Ok(Answer::Accepted)],
            "{prefix} {name}"
        );
    }
}

#[test]
fn cancel_after_rename_by_another_account_is_refused() {
    let mut cell = Cell::new(1);
    configure(&mut cell, &[("/filings/", "filings", 2)]);
    let at = cell.time().stamp;
    let name = |name: &str| Some(account::Name(name.to_owned()));
    cell.input(Input::Submit {
        request: Request(7),
        job: Job(7),
        queue: named("filings", 2),
        endpoint: Some(endpoint("/filings/")),
        spec: spec(vec![step(1)]),
        account: name("kaje80"),
        at,
    });
    cell.confirm();
    configure(&mut cell, &[("/filings/", "licences", 2)]);
    for (request, account, expected) in [
        (Request(1), name("ruvo3"), Answer::Gone),
        (Request(2), name("kaje80"), Answer::Cancelled),
    ] {
        cell.input(Input::Cancel {
            request,
            job: Job(7),
            queue: "licences".to_owned(),
            endpoint: Some(endpoint("/filings/")),
            account,
            at,
        });
        cell.confirm();
        assert!(cell.answers.contains(&(request, Ok(expected))));
    }
}

/// Jobs that an earlier release accepted have no endpoint, and entries of it name none.
#[test]
fn job_without_an_endpoint_is_found_by_the_name_of_its_queue() {
    let mut cell = Cell::new(1);
    cell.submit(7, named("filings", 2), spec(vec![step(1)]));
    cell.confirm();
    configure(&mut cell, &[("/filings/", "filings", 2)]);
    assert!(cell.scheduler.phase(Job(7), "filings").is_some());
    assert!(phase(&cell, 7, "/filings/", "filings").is_some());
    assert_eq!(cell.scheduler.phase(Job(7), "sweeps"), None);
    // From now on this owner knows its endpoint.
    configure(&mut cell, &[("/filings/", "licences", 2)]);
    assert!(phase(&cell, 7, "/filings/", "licences").is_some());
}

/// A version of the configuration: by prefix, the number of the queue's name, or none.
fn version() -> impl Strategy<Value = [Option<usize>; 3]> {
    [
        prop::option::of(0..4_usize),
        prop::option::of(0..4_usize),
        prop::option::of(0..4_usize),
    ]
}

proptest! {
    /// Whatever versions come, and whenever the owner changes, a job is known at its endpoint and nowhere else where a
    /// queue of another name is.
    #[test]
    fn phase_over_versions_and_takeovers_depends_on_the_endpoint(
        versions in prop::collection::vec((version(), any::<bool>()), 1..8),
    ) {
        let names = ["filings", "sweeps", "lookups", "licences"];
        let mut cell = Cell::new(1);
        let mut queues: BTreeMap<&str, &str> = PREFIXES.into_iter().zip(names).collect();
        for (token, (version, is_taken_over)) in (2..).zip(versions) {
            let present: Vec<(&str, &str, u16)> = queues.iter().map(|(&prefix, &name)| (prefix, name, 2)).collect();
            configure(&mut cell, &present);
            for (index, prefix) in PREFIXES.into_iter().enumerate() {
                if let Some(name) = queues.get(prefix) {
                    submit(&mut cell, 10 * token + index as u64, prefix, name);
                }
            }
            if is_taken_over {
                cell = cell.successor(token);
                configure(&mut cell, &present);
            }
            let jobs = (2..=token).flat_map(|token| (0..3).map(move |index| 10 * token + index));
            for job in jobs.filter(|&job| cell.scheduler.job(Job(job)).is_some()) {
                let own = PREFIXES[(job % 10) as usize];
                for (&prefix, &name) in &queues {
                    let is_known = phase(&cell, job, prefix, name).is_some();
                    if prefix == own {
                        prop_assert!(is_known, "{job} at {prefix} {name}");
                    } else if queues.get(own).is_some_and(|&other| other != name) {
                        prop_assert!(!is_known, "{job} at {prefix} {name}");
                    }
                }
            }
            let next = PREFIXES.into_iter().zip(version);
            queues = next.filter_map(|(prefix, name)| Some((prefix, names[name?]))).collect();
        }
    }
}
