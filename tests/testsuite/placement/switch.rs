//! Takeovers that go wrong when one mechanism is switched off.

use std::time::Duration;

use laburnumplank::core::placement::settings::Rules;
use laburnumplank::core::resource::Amount;
use laburnumplank::core::workload::Class;

use super::fake::Nature;
use super::oracle::Violation;
use super::world::{WORKER, World};
use super::{job, job_id};

const LONG: Nature = Nature {
    runs_for: Duration::from_secs(60),
    fails: false,
    overruns: false,
    is_stubborn: false,
};

/// Starts a task while the log is down, then kills the owner.
fn orphan(rules: Rules, is_unrecorded: bool, is_cut: bool) -> (World, Option<Violation>) {
    let mut world = World::new(3, 6, rules);
    let mut found = world.run(Duration::from_millis(2_000));
    let size = Amount {
        accelerators: 0,
        ..WORKER
    };
    world.submit(job(1, "b", Class::Urgent, size).build(), LONG);
    world.log_down(Duration::from_millis(900), is_unrecorded);
    found = found.or(world.run(Duration::from_millis(300)));
    if is_cut {
        let until = world.now + Duration::from_secs(30);
        for (worker, _) in world.running(job_id(1)) {
            if let Some(fake) = world.workers.get_mut(&worker) {
                fake.cut_until = until;
            }
        }
    }
    found = found.or(world.kill_owner(false));
    (world, found)
}

/// Lets a new owner place the orphan's task; the orphan's worker does not answer.
fn orphan_is_replaced(rules: Rules, is_unrecorded: bool) -> Option<Violation> {
    let (mut world, found) = orphan(rules, is_unrecorded, true);
    found.or(world.run(Duration::from_secs(12)))
}

/// Lets a new owner place other work before it could read the orphan's worker.
fn orphan_is_overlooked(rules: Rules) -> Option<Violation> {
    let (mut world, found) = orphan(rules, true, false);
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
