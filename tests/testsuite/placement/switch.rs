//! Takeovers that violate an invariant when one safety mechanism is disabled.

use std::time::Duration;

use laburnumplank::core::placement::settings::Rules;
use laburnumplank::core::resource::Amount;
use laburnumplank::core::workload::Class;

use super::fake::Behaviour;
use super::oracle::Violation;
use super::world::{WORKER, World};
use super::{job, job_id};

const LONG: Behaviour = Behaviour {
    runs_for: Duration::from_secs(60),
    fails: false,
    overruns: false,
    ignores_control: false,
};

/// Submits a task while the log is unavailable, then kills the owner. If the start was sent, the
/// task runs without a placement record. When `is_isolated` is set, the task's worker neither sends
/// nor receives messages from just before the kill on.
fn start_orphan(
    rules: Rules,
    is_unrecorded: bool,
    is_isolated: bool,
) -> (World, Option<Violation>) {
    let mut world = World::new(3, 6, rules);
    let mut found = world.run(Duration::from_millis(2_000));
    let size = Amount {
        accelerators: 0,
        ..WORKER
    };
    world.submit(job(1, "b", Class::Urgent, size).build(), LONG);
    world.log_down(Duration::from_millis(900), is_unrecorded);
    found = found.or(world.run(Duration::from_millis(300)));
    if is_isolated {
        let until = world.now + Duration::from_secs(30);
        for (worker, _) in world.running(job_id(1)) {
            if let Some(fake) = world.workers.get_mut(&worker) {
                fake.isolated_until = until;
            }
        }
    }
    found = found.or(world.kill_owner(false));
    (world, found)
}

/// Lets a new owner place the orphaned task again while the worker that runs it does not answer.
fn orphan_is_replaced(rules: Rules, is_unrecorded: bool) -> Option<Violation> {
    let (mut world, found) = start_orphan(rules, is_unrecorded, true);
    found.or(world.run(Duration::from_secs(12)))
}

/// Lets a new owner place other tasks before it can read the inventory of the worker that runs the
/// orphaned task.
fn orphan_is_overlooked(rules: Rules) -> Option<Violation> {
    let (mut world, found) = start_orphan(rules, true, false);
    for number in 2..8 {
        let size = Amount {
            accelerators: 0,
            ..WORKER
        };
        world.submit(job(number, "b", Class::Urgent, size).build(), LONG);
    }
    found.or(world.run(Duration::from_secs(12)))
}

fn assert_runs_twice(found: Option<&Violation>) {
    assert!(matches!(found, Some(Violation::RunsTwice(_))), "{found:?}");
}

#[test]
fn durable_first_on_is_safe() {
    assert_eq!(orphan_is_replaced(Rules::default(), false), None);
}

#[test]
fn durable_first_off_is_caught() {
    let rules = Rules {
        durable_first: false,
        ..Rules::default()
    };
    assert_runs_twice(orphan_is_replaced(rules, false).as_ref());
}

#[test]
fn fence_unrecorded_on_is_safe() {
    assert_eq!(orphan_is_replaced(Rules::default(), true), None);
}

#[test]
fn fence_unrecorded_off_is_caught() {
    let rules = Rules {
        fence_unrecorded: false,
        ..Rules::default()
    };
    assert_runs_twice(orphan_is_replaced(rules, true).as_ref());
}

#[test]
fn inventory_first_on_is_safe() {
    assert_eq!(orphan_is_overlooked(Rules::default()), None);
}

#[test]
fn inventory_first_off_is_caught() {
    let rules = Rules {
        inventory_first: false,
        ..Rules::default()
    };
    let found = orphan_is_overlooked(rules);
    assert!(
        matches!(found, Some(Violation::OverCommitted(_))),
        "{found:?}"
    );
}
