//! Tests of explanations, which must agree with what the scheduler then does.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumplank::core::scheduler::advice::AdvisorProxy;
use laburnumplank::core::scheduler::explain::{Decision, Explanation, Submission};
use laburnumplank::core::scheduler::id::Job;
use laburnumplank::core::scheduler::message::{Input, RunEnd};
use laburnumplank::core::scheduler::spec::{self, Advice, Queue, Spec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::cell::{Cell, ended, queue, running, spec, step};

/// The seeds of the cells on which explanations are compared with decisions.
const SEEDS: std::ops::Range<u64> = 0..60;

fn advised_queue() -> Queue {
    Queue {
        advice: Some(Advice {
            base: Duration::from_millis(20),
            per_worker: Duration::from_millis(2),
            validity: Duration::from_millis(2_500),
        }),
        ..queue()
    }
}

fn submission(queue: Queue, spec: Arc<Spec>) -> Submission {
    Submission {
        queue,
        spec,
        account: None,
    }
}

fn draw_spec(random: &mut Pcg64) -> Arc<Spec> {
    let steps = (0..random.random_range(1..3)).map(|index| spec::Step {
        gang: random.random_bool(0.4),
        after: (0..index).collect(),
        ..step(random.random_range(1..9))
    });
    spec(steps.collect())
}

/// Creates a cell with some workers, of which some are used and one is silent.
fn draw_cell(random: &mut Pcg64) -> Cell {
    let mut cell = Cell::new(1);
    for index in 0..random.random_range(1..7) {
        cell.add_worker(&format!("w{index}"));
    }
    cell.list_worker("silent");
    cell.input(Input::AdvisorProxies((0..8).map(AdvisorProxy).collect()));
    for job in 0..random.random_range(0..6) {
        cell.submit(job, queue(), draw_spec(random));
        cell.confirm();
        if random.random_bool(0.7) {
            cell.accept_starts();
        }
    }
    cell.starts.clear();
    cell
}

fn placements(cell: &Cell, job: u64) -> BTreeMap<String, usize> {
    let mut placements = BTreeMap::new();
    let starts = cell.starts.iter();
    for (worker, _) in starts.filter(|(_, start)| start.task.step.job == Job(job)) {
        let name = cell.scheduler.worker(*worker).unwrap().entry.name.clone();
        *placements.entry(name).or_default() += 1;
    }
    placements
}

fn explain(cell: &Cell, queue: Queue, spec: &Arc<Spec>) -> Explanation {
    let submission = submission(queue, Arc::clone(spec));
    cell.scheduler.explain_submission(cell.time(), &submission)
}

#[test]
fn explanation_agrees_with_the_decision_on_seeded_cells() {
    let mut started = 0;
    for seed in SEEDS {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut cell = draw_cell(&mut random);
        let spec = draw_spec(&mut random);
        let explanation = explain(&cell, queue(), &spec);
        assert_eq!(explanation.refusal, None);
        cell.submit(99, queue(), spec);
        cell.confirm();
        let actual = placements(&cell, 99);
        assert_eq!(explanation.steps[0].placements, actual, "seed {seed}");
        let is_start = explanation.steps[0].decision == Decision::Start;
        assert_eq!(is_start, !actual.is_empty(), "seed {seed}");
        started += actual.len();
    }
    assert!(started > 0, "some of the jobs start");
}

#[test]
fn explanation_names_the_workers_that_get_tasks_once_the_advisor_permits_them() {
    for seed in SEEDS {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut cell = draw_cell(&mut random);
        let spec = draw_spec(&mut random);
        let explanation = explain(&cell, advised_queue(), &spec);
        cell.calls.clear();
        cell.submit(99, advised_queue(), spec);
        cell.confirm();
        let call = cell.calls.iter().find(|call| call.step.job == Job(99));
        let named = call.map(|call| call.workers.len());
        let asks = match explanation.steps[0].decision {
            Decision::AskAdvisor { workers } => Some(workers),
            _ => None,
        };
        assert_eq!(asks, named, "seed {seed}");
        let Some(call) = call.cloned() else {
            continue;
        };
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
        assert_eq!(
            explanation.steps[0].placements,
            placements(&cell, 99),
            "seed {seed}"
        );
    }
}

#[test]
fn explanation_changes_nothing() {
    let mut random = Pcg64::seed_from_u64(7);
    let mut cell = draw_cell(&mut random);
    let load = cell.scheduler.load();
    let records = cell.unconfirmed.len();
    let first = explain(&cell, advised_queue(), &draw_spec(&mut random));
    assert_eq!(cell.scheduler.load(), load);
    cell.wait(Duration::from_millis(100));
    assert_eq!(cell.unconfirmed.len(), records);
    assert!(cell.calls.is_empty() && cell.starts.is_empty() && cell.answers.len() < 100);
    assert!(!first.steps.is_empty());
}

#[test]
fn explanation_of_a_job_that_cannot_be_recorded_is_a_refusal() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.input(Input::LogUnavailable {
        sent: laburnumplank::core::scheduler::id::Mark(0),
    });
    let explanation = explain(&cell, queue(), &spec(vec![step(1)]));
    let refusal = explanation.refusal.unwrap();
    assert!(refusal.retry_after.is_some());
    assert!(!explanation.is_log_available && explanation.steps.is_empty());
}

#[test]
fn explanation_of_a_full_cell_estimates_when_capacity_is_free() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(1, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.accept_starts();
    let explanation = explain(&cell, queue(), &spec(vec![step(2)]));
    let outlook = &explanation.steps[0];
    assert_eq!(outlook.decision, Decision::WaitForCapacity);
    assert_eq!((outlook.workers.full, outlook.workers.fitting), (1, 0));
    let starts_in = outlook.starts_in.unwrap();
    assert!(starts_in > Duration::ZERO && starts_in <= Duration::from_secs(1));
    assert_eq!(outlook.ends_in, Some(starts_in + Duration::from_secs(1)));
    let used = cell.scheduler.worker(worker).unwrap().used;
    assert_eq!(used.cpu_millis, 16_000);
}

#[test]
fn explanation_counts_workers_by_the_first_cause() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.list_worker("silent");
    let labelled = spec::Step {
        label: Some("b".to_owned()),
        ..step(1)
    };
    let explanation = explain(&cell, queue(), &spec(vec![labelled]));
    let counts = &explanation.steps[0].workers;
    assert_eq!((counts.other_label, counts.silent), (1, 1));
    assert_eq!(explanation.steps[0].starts_in, None);
}

#[test]
fn explanation_of_an_accepted_job_shows_its_steps() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    let second = spec::Step {
        after: vec![0],
        ..step(2)
    };
    cell.submit(1, queue(), spec(vec![step(2), second]));
    cell.confirm();
    let starts = cell.accept_starts();
    cell.poll(
        worker,
        vec![running(&starts[0].1)],
        vec![ended(1, &starts[1].1, RunEnd::Done)],
    );
    let explanation = cell.scheduler.explain_job(cell.time(), Job(1)).unwrap();
    let [first, second] = &explanation.steps[..] else {
        panic!("two steps");
    };
    assert_eq!((first.running, first.done, first.waiting), (1, 1, 0));
    assert_eq!(second.decision, Decision::WaitForSteps);
    assert_eq!(second.waiting, 2);
    assert!(cell.scheduler.explain_job(cell.time(), Job(2)).is_none());
}
