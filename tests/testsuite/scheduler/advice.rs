//! Calls to the advisor.

use std::time::Duration;

use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::advice::{Asker, Askers};
use laburnumplank::core::scheduler::spec::Advice;
use laburnumplank::core::time::Instant;

use super::cell::{Cell, queue, spec, step};

const CALL: Duration = Duration::from_millis(400);

fn askers(count: u32) -> Askers {
    let mut askers = Askers::default();
    let all: Vec<Asker> = (0..count).map(Asker).collect();
    askers.set(&all);
    askers
}

#[test]
fn pick_while_all_are_busy_gives_none() {
    let mut askers = askers(1);
    assert!(askers.pick(Instant(0), CALL).is_some());
    assert!(askers.pick(Instant(0), CALL).is_none());
    askers.ended(Asker(0), Instant(1));
    assert!(askers.pick(Instant(1), CALL).is_some());
}

#[test]
fn long_calls_leave_a_third_to_short_ones() {
    let mut askers = askers(6);
    let picked = std::iter::from_fn(|| askers.pick(Instant(0), CALL)).count();
    assert_eq!(picked, 4);
    assert!(askers.pick(Instant(0), Duration::from_millis(8)).is_some());
}

#[test]
fn burst_of_bulk_steps_calls_no_faster_than_answers_come() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.input(Input::Askers(vec![Asker(0), Asker(1), Asker(2)]));
    let mut queue = queue();
    queue.advice = Some(Advice {
        base: CALL,
        per_worker: Duration::from_millis(5),
        validity: Duration::from_millis(2_500),
    });
    for job in 0..50 {
        cell.submit(job, queue.clone(), spec(vec![step(1)]));
    }
    cell.confirm();
    assert_eq!(
        cell.asks.len(),
        2,
        "one call for each entry that takes long ones"
    );
    let (asker, step, named) = cell.asks[0].clone();
    cell.input(Input::Advised {
        asker,
        step,
        named,
        allowed: Some(vec![("w1".to_owned(), "ticket".into())]),
        validity: Duration::from_millis(2_500),
    });
    cell.tick();
    assert_eq!(cell.asks.len(), 3);
    assert_eq!(cell.starts.len(), 1);
    assert_eq!(cell.starts[0].1.ticket.as_deref(), Some("ticket"));
}
