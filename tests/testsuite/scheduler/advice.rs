//! Tests of the calls to the advisor.

use std::time::Duration;

use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::advice::{AdvisorCall, AdvisorProxies, AdvisorProxy};
use laburnumplank::core::scheduler::id::Worker;
use laburnumplank::core::scheduler::message::{ActiveRun, RunEnd};
use laburnumplank::core::scheduler::spec::{self, Advice, Queue};
use laburnumplank::core::scheduler::worker::Entry;
use laburnumplank::core::time::Instant;

use super::cell::{Cell, ended, entry, queue, running, spec, step, task};

/// The cost of a long call.
const LONG_CALL: Duration = Duration::from_millis(400);

fn proxies(count: u32) -> AdvisorProxies {
    let mut proxies = AdvisorProxies::default();
    let all: Vec<AdvisorProxy> = (0..count).map(AdvisorProxy).collect();
    proxies.set(&all);
    proxies
}

#[test]
fn pick_while_all_are_busy_returns_none() {
    let mut proxies = proxies(1);
    assert!(proxies.pick(Instant(0), LONG_CALL).is_some());
    assert!(proxies.pick(Instant(0), LONG_CALL).is_none());
    proxies.ended(AdvisorProxy(0), Instant(1));
    assert!(proxies.pick(Instant(1), LONG_CALL).is_some());
}

#[test]
fn long_calls_leave_a_third_of_entries_to_short_calls() {
    let mut proxies = proxies(6);
    let picked = std::iter::from_fn(|| proxies.pick(Instant(0), LONG_CALL)).count();
    assert_eq!(picked, 4);
    assert!(proxies.pick(Instant(0), Duration::from_millis(8)).is_some());
}

#[test]
fn burst_of_bulk_steps_calls_no_faster_than_answers_come() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.input(Input::AdvisorProxies(vec![
        AdvisorProxy(0),
        AdvisorProxy(1),
        AdvisorProxy(2),
    ]));
    let mut queue = queue();
    queue.advice = Some(Advice {
        base: LONG_CALL,
        per_worker: Duration::from_millis(5),
        validity: Duration::from_millis(2_500),
    });
    for job in 0..50 {
        cell.submit(job, queue.clone(), spec(vec![step(1)]));
    }
    cell.confirm();
    assert_eq!(
        cell.calls.len(),
        2,
        "one call for each entry that takes long calls"
    );
    let call = cell.calls[0].clone();
    cell.input(Input::Advised {
        call,
        allowed: Some(vec![("w1".to_owned(), "ticket".into())]),
        validity: Duration::from_millis(2_500),
    });
    cell.tick();
    assert_eq!(cell.calls.len(), 3);
    assert_eq!(cell.starts.len(), 1);
    assert_eq!(cell.starts[0].1.permit.as_deref(), Some("ticket"));
}

fn advised_queue() -> Queue {
    let mut queue = queue();
    queue.advice = Some(Advice {
        base: LONG_CALL,
        per_worker: Duration::from_millis(5),
        validity: Duration::from_millis(2_500),
    });
    queue
}

fn gang(tasks: u16) -> spec::Step {
    spec::Step {
        gang: true,
        ..step(tasks)
    }
}

/// Creates a cell with workers `w1`, `w2`, … and many entries that can call the advisor.
fn advised_cell(workers: usize) -> (Cell, Vec<Worker>) {
    let mut cell = Cell::new(1);
    let workers = (1..=workers).map(|index| cell.add_worker(&format!("w{index}")));
    let workers = workers.collect();
    cell.input(Input::AdvisorProxies((0..30).map(AdvisorProxy).collect()));
    (cell, workers)
}

/// Answers a call with permits for all workers that it names.
fn permit_all(cell: &mut Cell, call: AdvisorCall) {
    let names = call.workers.iter().map(|&worker| {
        let worker = cell.scheduler.worker(worker).unwrap();
        (worker.entry.name.clone(), "ticket".into())
    });
    let allowed = Some(names.collect());
    cell.input(Input::Advised {
        call,
        allowed,
        validity: Duration::from_millis(2_500),
    });
    cell.tick();
}

#[test]
fn burst_before_the_log_answers_calls_once_a_step() {
    let (mut cell, _) = advised_cell(4);
    for job in 0..8 {
        cell.submit(job, advised_queue(), spec(vec![step(2)]));
    }
    for call in std::mem::take(&mut cell.calls) {
        permit_all(&mut cell, call);
    }
    for _ in 0..20 {
        cell.wait(Duration::from_millis(20));
    }
    assert!(
        cell.calls.is_empty(),
        "a slow log must not repeat the calls to the advisor"
    );
    cell.confirm();
    assert_eq!(cell.starts.len(), 16);
}

#[test]
fn gang_keeps_the_room_of_its_plan_while_its_permits_are_on_their_way() {
    let (mut cell, _) = advised_cell(2);
    cell.submit(1, advised_queue(), spec(vec![gang(8)]));
    cell.confirm();
    let call = cell.calls.pop().unwrap();
    permit_all(&mut cell, call);
    let starts = cell.accept_starts();
    assert_eq!(starts.len(), 8);
    let mut patient = advised_queue();
    patient.target = Duration::from_secs(60);
    cell.submit(2, patient, spec(vec![gang(8)]));
    cell.confirm();
    let call = cell.calls.pop().unwrap();
    cell.wait(Duration::from_secs(3));
    permit_all(&mut cell, call);
    cell.wait(Duration::from_secs(3));
    let workers: Vec<Worker> = starts.iter().map(|(worker, _)| *worker).collect();
    for worker in [workers[0], workers[7]] {
        let on_worker = starts.iter().filter(|(other, _)| *other == worker);
        let ends = on_worker
            .enumerate()
            .map(|(index, (_, start))| ended(index as u64 + 1, start, RunEnd::Done));
        cell.poll(worker, Vec::new(), ends.collect());
    }
    assert!(cell.starts.is_empty(), "the permits have ended");
    let mut later = queue();
    later.target = Duration::from_secs(600);
    cell.submit(3, later, spec(vec![step(4)]));
    cell.confirm();
    assert!(
        cell.starts.is_empty(),
        "the capacity is reserved for the gang"
    );
    let call = cell.calls.pop().unwrap();
    permit_all(&mut cell, call);
    assert_eq!(cell.starts.len(), 8);
    assert!(
        cell.starts
            .iter()
            .all(|(_, start)| start.task.step.job.0 == 2)
    );
}

#[test]
fn gang_waits_for_the_room_that_is_free_first() {
    let mut cell = Cell::new(1);
    for name in ["w1", "w2"] {
        cell.add_worker(name);
    }
    // Half of each worker's capacity becomes free after a second, the rest after a minute.
    let mut long = step(2);
    long.estimate = Duration::from_secs(60);
    for (job, step) in [(1, long.clone()), (2, step(2)), (3, long), (4, step(2))] {
        cell.submit(job, queue(), spec(vec![step]));
        cell.confirm();
    }
    let starts = cell.accept_starts();
    let mut tight = queue();
    tight.slack_factor = 1.1;
    cell.submit(5, tight, spec(vec![gang(4)]));
    cell.submit(6, queue(), spec(vec![step(1)]));
    cell.confirm();
    for job in [4, 2] {
        assert!(
            cell.starts.is_empty(),
            "the capacity is reserved for the gang"
        );
        let ended_tasks: Vec<_> = starts
            .iter()
            .filter(|(_, start)| start.task.step.job.0 == job)
            .collect();
        let worker = ended_tasks[0].0;
        assert!(ended_tasks.iter().all(|(other, _)| *other == worker));
        let rest = starts
            .iter()
            .filter(|(other, start)| *other == worker && start.task.step.job.0 != job);
        let rest = rest.map(|(_, start)| running(start)).collect();
        let ends = ended_tasks
            .iter()
            .enumerate()
            .map(|(index, (_, start))| ended(index as u64 + 1, start, RunEnd::Done));
        cell.poll(worker, rest, ends.collect());
    }
    assert_eq!(cell.starts.len(), 4);
    assert!(
        cell.starts
            .iter()
            .all(|(_, start)| start.task.step.job.0 == 5)
    );
}

#[test]
fn gang_wider_than_each_rack_reserves_on_all_racks() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.input(Input::Listed(Entry {
        rack: Some("r2".to_owned()),
        ..entry("w2")
    }));
    cell.tick();
    cell.confirm();
    let w2 = cell.scheduler.worker_named("w2").unwrap();
    cell.poll(w2, Vec::new(), Vec::new());
    cell.submit(1, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (worker, start) = cell.accept_starts().remove(0);
    let gang = spec::Step {
        gang: true,
        same_rack: true,
        ..step(8)
    };
    cell.submit(2, queue(), spec(vec![gang]));
    let mut later = queue();
    later.target = Duration::from_secs(600);
    cell.submit(3, later, spec(vec![step(1)]));
    cell.confirm();
    assert!(cell.starts.is_empty(), "reserved for the gang");
    cell.poll(worker, Vec::new(), vec![ended(1, &start, RunEnd::Done)]);
    assert_eq!(cell.starts.len(), 8);
}

#[test]
fn gang_whose_workers_are_late_asks_for_others() {
    let (mut cell, _) = advised_cell(1);
    cell.submit(1, queue(), spec(vec![step(4)]));
    cell.confirm();
    let active = cell.accept_starts();
    cell.submit(2, advised_queue(), spec(vec![gang(4)]));
    cell.confirm();
    let call = cell.calls.pop().unwrap();
    permit_all(&mut cell, call);
    cell.add_worker("w2");
    assert!(
        cell.calls.is_empty(),
        "the runs on the permitted worker are expected to end soon"
    );
    // The runs last much longer than their estimate of 1 s.
    for _ in 0..30 {
        cell.wait(Duration::from_millis(100));
        let running = active.iter().map(|(_, start)| ActiveRun {
            percent: 90,
            ..running(start)
        });
        cell.poll(active[0].0, running.collect(), Vec::new());
    }
    let asked = cell.calls.iter().flat_map(|call| &call.workers);
    let w2 = cell.scheduler.worker_named("w2").unwrap();
    assert!(asked.into_iter().any(|worker| *worker == w2));
    let call = cell.calls.pop().unwrap();
    permit_all(&mut cell, call);
    assert_eq!(cell.starts.len(), 4);
}

#[test]
fn renewal_for_a_gang_names_spare_workers() {
    let (mut cell, _) = advised_cell(4);
    cell.submit(1, advised_queue(), spec(vec![gang(8)]));
    cell.submit(2, advised_queue(), spec(vec![gang(16)]));
    // The answers come after the log: the permits end before the gangs can start.
    for call in std::mem::take(&mut cell.calls) {
        permit_all(&mut cell, call);
    }
    cell.wait(Duration::from_secs(5));
    cell.confirm();
    let call = cell.calls.remove(0);
    assert_eq!(call.step.job.0, 1);
    assert_eq!(
        call.workers.len(),
        4,
        "the two workers that it needs and two others"
    );
}

/// Reports that a call to the advisor failed.
fn fail(cell: &mut Cell, call: AdvisorCall) {
    cell.input(Input::Advised {
        call,
        allowed: None,
        validity: Duration::ZERO,
    });
    cell.tick();
}

#[test]
fn failed_call_is_made_again_through_another_entry() {
    let (mut cell, _) = advised_cell(1);
    cell.submit(1, advised_queue(), spec(vec![step(1)]));
    cell.confirm();
    let mut tried = Vec::new();
    for _ in 0..10 {
        let call = cell.calls.pop().unwrap();
        assert!(!tried.contains(&call.proxy), "tried before: {tried:?}");
        tried.push(call.proxy);
        fail(&mut cell, call);
        cell.wait(Duration::from_millis(100));
    }
}

#[test]
fn entry_that_cannot_reach_the_advisor_holds_no_step_up() {
    let (mut cell, _) = advised_cell(4);
    let mut bad = None;
    let mut failed = 0;
    for job in 0..20 {
        cell.submit(job, advised_queue(), spec(vec![step(1)]));
        cell.confirm();
        while cell.starts.is_empty() {
            assert!(failed < 3, "job {job} waits for the entry that fails");
            let call = cell.calls.pop().unwrap();
            if call.proxy == *bad.get_or_insert(call.proxy) {
                failed += 1;
                fail(&mut cell, call);
            } else {
                permit_all(&mut cell, call);
            }
            cell.wait(Duration::from_millis(100));
        }
        for (worker, start) in cell.accept_starts() {
            cell.poll(
                worker,
                Vec::new(),
                vec![ended(job + 1, &start, RunEnd::Done)],
            );
        }
    }
    assert_eq!(failed, 1);
}

#[test]
fn only_entry_is_tried_again_after_failures() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.input(Input::AdvisorProxies(vec![AdvisorProxy(0)]));
    cell.submit(1, advised_queue(), spec(vec![step(1)]));
    cell.confirm();
    for _ in 0..20 {
        let call = cell.calls.pop().unwrap();
        fail(&mut cell, call);
        cell.wait(Duration::from_millis(100));
    }
    let call = cell.calls.pop().unwrap();
    permit_all(&mut cell, call);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn failures_of_all_entries_pause_none() {
    let mut proxies = proxies(6);
    for proxy in 0..6 {
        proxies.failed(AdvisorProxy(proxy), Instant(0));
    }
    let picked = std::iter::from_fn(|| proxies.pick(Instant(0), LONG_CALL)).count();
    assert_eq!(picked, 4);
}

#[test]
fn short_only_entry_takes_long_calls_while_the_others_fail() {
    let mut proxies = proxies(3);
    proxies.failed(AdvisorProxy(1), Instant(0));
    proxies.failed(AdvisorProxy(2), Instant(0));
    let (proxy, _) = proxies.pick(Instant(1), LONG_CALL).unwrap();
    assert_eq!(proxy, AdvisorProxy(0));
}

#[test]
fn paused_entry_is_used_again_after_its_pause() {
    let mut proxies = proxies(2);
    proxies.failed(AdvisorProxy(0), Instant(0));
    assert!(proxies.pick(Instant(1), LONG_CALL).is_some());
    assert!(proxies.pick(Instant(1), LONG_CALL).is_none());
    let later = Instant(0) + Duration::from_secs(1);
    let (proxy, _) = proxies.pick(later, LONG_CALL).unwrap();
    assert_eq!(
        proxy,
        AdvisorProxy(1),
        "the entry without failures is preferred"
    );
    let (proxy, _) = proxies.pick(later, LONG_CALL).unwrap();
    assert_eq!(proxy, AdvisorProxy(0));
}

#[test]
fn permit_of_a_late_answer_ends_as_counted_from_its_issue() {
    let (mut cell, _) = advised_cell(1);
    cell.submit(1, advised_queue(), spec(vec![step(1)]));
    let call = cell.calls.pop().unwrap();
    cell.wait(Duration::from_millis(1_800));
    permit_all(&mut cell, call);
    // The advisor issued the permit 0.4 s after the call; it is valid for 2.5 s.
    cell.wait(Duration::from_millis(1_200));
    cell.confirm();
    assert!(cell.starts.is_empty(), "the permit has ended");
    let call = cell.calls.pop().unwrap();
    permit_all(&mut cell, call);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn answer_for_a_worker_that_has_restarted_is_not_used() {
    let (mut cell, workers) = advised_cell(1);
    cell.submit(1, advised_queue(), spec(vec![step(1)]));
    cell.confirm();
    let call = cell.calls.pop().unwrap();
    assert_eq!(call.workers, workers);
    let next = cell.restart_worker("w1");
    cell.poll(next, Vec::new(), Vec::new());
    cell.input(Input::Advised {
        call,
        allowed: Some(vec![("w1".to_owned(), "ticket".into())]),
        validity: Duration::from_millis(2_500),
    });
    cell.tick();
    assert!(cell.starts.is_empty(), "the permit is for another worker");
    let call = cell.calls.pop().unwrap();
    assert_eq!(call.workers, [next]);
    permit_all(&mut cell, call);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn late_answer_to_a_call_that_was_given_up_does_not_end_the_next_one() {
    let (mut cell, _) = advised_cell(1);
    cell.submit(1, advised_queue(), spec(vec![step(1)]));
    cell.confirm();
    let given_up = cell.calls.pop().unwrap();
    for _ in 0..20 {
        cell.wait(Duration::from_millis(100));
    }
    let call = cell.calls.pop().unwrap();
    assert_eq!(call.workers, given_up.workers);
    let proxy = given_up.proxy;
    fail(&mut cell, given_up);
    cell.wait(Duration::from_millis(200));
    assert_eq!(cell.scheduler.advisor_failures(proxy), 1);
    assert!(cell.calls.is_empty(), "the second call is in progress");
    permit_all(&mut cell, call);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn late_answer_does_not_shorten_newer_permits() {
    let (mut cell, _) = advised_cell(1);
    cell.submit(1, advised_queue(), spec(vec![step(1)]));
    let given_up = cell.calls.pop().unwrap();
    for _ in 0..20 {
        cell.wait(Duration::from_millis(100));
    }
    let call = cell.calls.pop().unwrap();
    permit_all(&mut cell, call);
    permit_all(&mut cell, given_up);
    cell.wait(Duration::from_millis(1_500));
    cell.confirm();
    assert_eq!(cell.starts.len(), 1, "the newer permit is valid");
}

#[test]
fn call_for_a_cancelled_job_leaves_its_entry_when_it_is_given_up() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.input(Input::AdvisorProxies(vec![AdvisorProxy(0)]));
    let mut slow = advised_queue();
    slow.advice = slow.advice.map(|advice| Advice {
        base: Duration::from_secs(1),
        ..advice
    });
    cell.submit(1, slow, spec(vec![step(1)]));
    cell.confirm();
    assert_eq!(cell.calls.len(), 1);
    cell.cancel(1);
    for _ in 0..26 {
        cell.wait(Duration::from_millis(100));
    }
    assert_eq!(cell.scheduler.advisor_failures(AdvisorProxy(0)), 1);
}

/// Changes the directory's entry of a worker so that it gets no new tasks.
fn drain(cell: &mut Cell, name: &str) {
    cell.input(Input::Listed(Entry {
        draining: true,
        ..entry(name)
    }));
    cell.tick();
}

#[test]
fn gang_that_its_workers_cannot_hold_keeps_no_capacity() {
    let (mut cell, _) = advised_cell(2);
    for job in 1..=3 {
        cell.submit(job, advised_queue(), spec(vec![gang(8)]));
    }
    for call in std::mem::take(&mut cell.calls) {
        permit_all(&mut cell, call);
    }
    drain(&mut cell, "w2");
    cell.confirm();
    let mut later = queue();
    later.target = Duration::from_secs(600);
    cell.submit(4, later, spec(vec![step(2)]));
    cell.confirm();
    let starts = cell.accept_starts();
    assert_eq!(starts.len(), 2, "no gang can use the capacity");
    assert!(starts.iter().all(|(_, start)| start.task.step.job.0 == 4));
}

#[test]
fn gangs_that_cannot_be_held_leave_reservations_to_others() {
    let (mut cell, _) = advised_cell(2);
    for job in 1..=3 {
        cell.submit(job, advised_queue(), spec(vec![gang(8)]));
    }
    for call in std::mem::take(&mut cell.calls) {
        permit_all(&mut cell, call);
    }
    drain(&mut cell, "w2");
    cell.confirm();
    let urgent = Queue {
        priority: 0,
        ..queue()
    };
    cell.submit(4, urgent, spec(vec![step(2)]));
    cell.confirm();
    let starts = cell.accept_starts();
    assert_eq!(starts.len(), 2);
    cell.submit(5, queue(), spec(vec![gang(4)]));
    let mut later = queue();
    later.target = Duration::from_secs(600);
    cell.submit(6, later, spec(vec![step(1)]));
    cell.confirm();
    assert!(cell.starts.is_empty(), "reserved for the gang of job 5");
    let worker = starts[0].0;
    let ends = starts.iter().enumerate();
    let ends = ends.map(|(index, (_, start))| ended(index as u64 + 1, start, RunEnd::Done));
    cell.poll(worker, Vec::new(), ends.collect());
    let jobs: Vec<u64> = cell
        .starts
        .iter()
        .map(|(_, it)| it.task.step.job.0)
        .collect();
    assert_eq!(jobs, [5; 4]);
}

#[test]
fn worker_that_has_come_is_asked_about_when_the_permitted_ones_have_left() {
    for tasks in [step(4), gang(4)] {
        let (mut cell, _) = advised_cell(1);
        cell.submit(1, advised_queue(), spec(vec![tasks]));
        let call = cell.calls.pop().unwrap();
        permit_all(&mut cell, call);
        drain(&mut cell, "w1");
        cell.confirm();
        let next = cell.add_worker("w2");
        cell.wait(Duration::from_millis(100));
        let call = cell.calls.pop().unwrap();
        assert_eq!(call.workers, [next]);
        permit_all(&mut cell, call);
        assert_eq!(cell.starts.len(), 4);
    }
}

/// Answers a call with permits for the named workers among `permitted` only.
fn permit_some(cell: &mut Cell, call: AdvisorCall, permitted: &[&str]) {
    let names = call.workers.iter().filter_map(|&worker| {
        let name = &cell.scheduler.worker(worker)?.entry.name;
        permitted
            .contains(&name.as_str())
            .then(|| (name.clone(), "ticket".into()))
    });
    let allowed = Some(names.collect());
    cell.input(Input::Advised {
        call,
        allowed,
        validity: Duration::from_millis(2_500),
    });
    cell.tick();
}

#[test]
fn denied_workers_are_asked_about_again_when_no_others_are_left() {
    for tasks in [step(4), gang(4)] {
        let (mut cell, _) = advised_cell(2);
        cell.submit(1, advised_queue(), spec(vec![tasks]));
        let call = cell.calls.pop().unwrap();
        permit_some(&mut cell, call, &["w1"]);
        drain(&mut cell, "w1");
        cell.confirm();
        let mut calls = 0;
        for _ in 0..300 {
            cell.wait(Duration::from_millis(100));
            for call in std::mem::take(&mut cell.calls) {
                calls += 1;
                permit_some(&mut cell, call, &["w1"]);
            }
        }
        assert!((2..=6).contains(&calls), "{calls} calls in 30 s");
        while cell.calls.is_empty() {
            assert!(cell.now < Instant(0) + Duration::from_secs(60));
            cell.wait(Duration::from_millis(100));
        }
        let call = cell.calls.pop().unwrap();
        permit_all(&mut cell, call);
        assert_eq!(cell.starts.len(), 4);
    }
}

#[test]
fn renewal_for_a_service_names_spare_workers() {
    let (mut cell, workers) = advised_cell(4);
    let mut service = step(1);
    service.long_running = true;
    cell.submit(7, advised_queue(), spec(vec![service]));
    cell.confirm();
    let call = cell.calls.remove(0);
    assert_eq!(call.workers.len(), workers.len());
    permit_all(&mut cell, call);
    let (worker, start) = cell.accept_starts().remove(0);
    cell.wait(Duration::from_secs(5));
    cell.poll(worker, Vec::new(), vec![ended(1, &start, RunEnd::Failed)]);
    cell.confirm();
    assert_eq!(cell.calls.len(), 1);
    assert_eq!(
        cell.calls[0].workers.len(),
        workers.len(),
        "shorter tasks may fill a worker before the answer"
    );
}

#[test]
fn call_without_an_answer_does_not_bar_a_step_that_left_and_came_back() {
    let (mut cell, workers) = advised_cell(1);
    cell.submit(1, queue(), spec(vec![step(3)]));
    cell.confirm();
    let first = cell.accept_starts();
    cell.submit(2, advised_queue(), spec(vec![step(2)]));
    cell.confirm();
    let call = cell.calls.pop().unwrap();
    permit_all(&mut cell, call);
    let mut advised = cell.accept_starts();
    cell.add_worker("w2");
    cell.wait(Duration::from_millis(100));
    assert_eq!(cell.calls.len(), 1, "for the task that still waits");
    let goes_on = [&first[1].1, &first[2].1, &advised[0].1].map(running);
    let end = ended(1, &first[0].1, RunEnd::Done);
    cell.poll(workers[0], goes_on.to_vec(), vec![end]);
    advised.extend(cell.accept_starts());
    assert_eq!(advised.len(), 2);
    cell.calls.clear();

    cell.wait(Duration::from_secs(10));
    let end = ended(2, &advised[1].1, RunEnd::Failed);
    cell.poll(workers[0], goes_on.to_vec(), vec![end]);
    cell.wait(Duration::from_millis(100));
    assert_eq!(cell.calls.len(), 1);
}

#[test]
fn paused_entries_that_are_left_alone_take_calls() {
    let mut proxies = proxies(3);
    proxies.failed(AdvisorProxy(0), Instant(0));
    proxies.failed(AdvisorProxy(1), Instant(0));
    proxies.set(&[AdvisorProxy(0), AdvisorProxy(1)]);
    assert!(proxies.pick(Instant(1), LONG_CALL).is_some());
}

/// Six entries, all but the first two of which fail their calls, after the pauses of these.
fn proxies_of_which_four_fail() -> (AdvisorProxies, Instant) {
    let mut proxies = proxies(6);
    (2..6).for_each(|number| proxies.failed(AdvisorProxy(number), Instant(0)));
    (proxies, Instant(0) + Duration::from_secs(60))
}

#[test]
fn entries_that_failed_get_no_long_call_while_another_is_idle() {
    let (mut proxies, later) = proxies_of_which_four_fail();
    let picked: Vec<AdvisorProxy> = std::iter::from_fn(|| proxies.pick(later, LONG_CALL))
        .map(|(proxy, _)| proxy)
        .collect();
    assert_eq!(picked.len(), 6, "one call for each entry");
    assert_eq!(picked[..2], [AdvisorProxy(0), AdvisorProxy(1)]);
}

#[test]
fn retry_waits_for_an_entry_that_has_not_failed() {
    let (mut proxies, later) = proxies_of_which_four_fail();
    assert!(proxies.pick_for_retry(later, LONG_CALL).is_some());
    assert!(proxies.pick_for_retry(later, LONG_CALL).is_some());
    assert!(proxies.pick_for_retry(later, LONG_CALL).is_none());
    proxies.ended(AdvisorProxy(1), later);
    let picked = proxies.pick_for_retry(later, LONG_CALL);
    assert_eq!(picked.map(|(proxy, _)| proxy), Some(AdvisorProxy(1)));
}

#[test]
fn room_that_the_call_of_a_lookup_names_is_kept_for_it() {
    let mut cell = Cell::new(1);
    cell.input(Input::AdvisorProxies((0..9).map(AdvisorProxy).collect()));
    let worker = cell.add_worker("w1");
    let mut advised = queue();
    advised.name = "lookups".to_owned();
    advised.priority = 0;
    advised.advice = Some(Advice {
        base: Duration::from_millis(10),
        per_worker: Duration::from_millis(1),
        validity: Duration::from_millis(2_500),
    });
    cell.submit(1, advised, spec(vec![step(2)]));
    cell.submit(2, queue(), spec(vec![step(4)]));
    cell.confirm();
    // Half of the worker is left to the bulk job.
    let started: Vec<_> = cell.starts.iter().map(|(_, start)| start.task).collect();
    assert_eq!(started, [task(2, 0, 0), task(2, 0, 1)]);
    let call = cell.calls[0].clone();
    assert_eq!(call.workers, [worker]);
    cell.input(Input::Advised {
        call,
        allowed: Some(vec![("w1".to_owned(), "ticket".into())]),
        validity: Duration::from_millis(2_500),
    });
    cell.tick();
    let started: Vec<_> = cell.starts[2..]
        .iter()
        .map(|(_, start)| start.task)
        .collect();
    assert_eq!(started, [task(1, 0, 0), task(1, 0, 1)]);
}
