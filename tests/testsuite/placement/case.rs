//! Focused cases of placement.

use std::time::Duration;

use laburnumplank::core::error::Kind;
use laburnumplank::core::id::{Family, Worker as Id};
use laburnumplank::core::placement::job::End;
use laburnumplank::core::placement::policy::Refusal;
use laburnumplank::core::placement::settings::Rules;
use laburnumplank::core::placement::{
    Cell, History, Input, Output, Recovery, Settings, Stage, Waiting,
};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::time::Instant;
use laburnumplank::core::workload::Class;

use super::fake::Behaviour;
use super::world::World;
use super::{amount, job, job_id, tuning};

const SHORT: Behaviour = Behaviour {
    runs_for: Duration::from_millis(200),
    fails: false,
    overruns: false,
    ignores_control: false,
};
const LONG: Behaviour = Behaviour {
    runs_for: Duration::from_secs(600),
    ..SHORT
};
const FULL: Amount = amount(16_000, 64_000, 0);
const SMALL: Amount = amount(1_000, 2_000, 0);

/// Returns a world of six workers whose inventories have been read.
fn world() -> World {
    let mut world = World::new(5, 6, Rules::default());
    run(&mut world, 1_500);
    world
}

fn run(world: &mut World, millis: u64) {
    assert_eq!(world.run(Duration::from_millis(millis)), None);
}

fn cell(world: &World) -> &Cell {
    world.cell.as_ref().unwrap()
}

fn stage(world: &World, number: u64) -> Stage {
    cell(world).job(job_id(number)).unwrap().stage
}

#[test]
fn admit_names_resource_and_largest_worker() {
    let world = world();
    let refusal = |size| {
        let error = cell(&world)
            .admit(&job(1, "b", Class::Batch, size).build())
            .unwrap_err();
        assert_eq!(error.kind, Kind::Impossible);
        error.message
    };
    assert!(refusal(amount(16_001, 1, 0)).contains("more processors"));
    assert!(refusal(amount(1, 64_001, 0)).contains("more memory"));
    assert!(refusal(amount(1, 1, 3)).contains("2 accelerators"));
}

#[test]
fn admit_refuses_gang_larger_than_all_workers() {
    let world = world();
    let gang = |tasks| job(1, "b", Class::Gang, FULL).tasks(tasks).build();
    assert!(cell(&world).admit(&gang(6)).is_ok());
    assert_eq!(
        cell(&world).admit(&gang(7)).unwrap_err().kind,
        Kind::Impossible
    );
}

#[test]
fn admit_refuses_more_than_ceiling() {
    let world = world();
    let gang = job(1, "a", Class::Gang, FULL).tasks(4).build();
    assert_eq!(
        cell(&world).admit(&gang).unwrap_err().kind,
        Kind::Impossible
    );
}

#[test]
fn urgent_preempts_batch_in_time() {
    let mut world = world();
    world.submit(job(1, "b", Class::Batch, FULL).tasks(6).build(), LONG);
    run(&mut world, 4_000);
    assert_eq!(world.running(job_id(1)).len(), 6);
    world.submit(job(2, "b", Class::Urgent, SMALL).build(), LONG);
    run(&mut world, 3_000);
    assert_eq!(world.running(job_id(2)).len(), 1);
    assert_eq!(world.running(job_id(1)).len(), 5);
}

#[test]
fn batch_that_ignores_checkpoint_is_stopped_for_urgent() {
    let mut world = world();
    let ignoring = Behaviour {
        ignores_control: true,
        ..LONG
    };
    world.submit(job(1, "b", Class::Batch, FULL).tasks(6).build(), ignoring);
    run(&mut world, 4_000);
    assert_eq!(world.running(job_id(1)).len(), 6);
    world.submit(job(2, "b", Class::Urgent, SMALL).build(), LONG);
    run(&mut world, 4_000);
    assert_eq!(world.running(job_id(2)).len(), 1);
}

#[test]
fn service_spreads_over_racks() {
    let mut world = world();
    world.submit(job(1, "b", Class::Service, SMALL).tasks(3).build(), LONG);
    run(&mut world, 1_000);
    let mut racks: Vec<u32> = world
        .running(job_id(1))
        .iter()
        .map(|(id, _)| id.0 / 2)
        .collect();
    racks.sort_unstable();
    assert_eq!(racks, [0, 1, 2]);
}

#[test]
fn gangs_that_need_all_workers_do_not_block_each_other() {
    let mut world = world();
    let behaviour = Behaviour {
        runs_for: Duration::from_secs(2),
        ..SHORT
    };
    for number in 1..5 {
        world.submit(
            job(number, "b", Class::Gang, FULL).tasks(4).build(),
            behaviour,
        );
        world.submit(
            job(10 + number, "b", Class::Batch, FULL).tasks(4).build(),
            behaviour,
        );
    }
    assert_eq!(world.converge(Duration::from_secs(60)), None);
}

#[test]
fn large_gang_is_stopped_on_a_small_stack() {
    const STACK_BYTES: usize = 768 * 1_024;
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    thread.spawn(stop_large_gang).unwrap().join().unwrap();
}

fn stop_large_gang() {
    let mut world = world();
    let size = amount(10, 10, 0);
    world.log_down(Duration::from_secs(2), false);
    // The job was accepted just before the log became unavailable.
    let gang = job(1, "b", Class::Gang, size).tasks(3_000).build();
    world.add_job(&gang, SHORT);
    world.input(Input::Accept(Box::new(gang)));
    run(&mut world, 200);
    assert_eq!(cell(&world).job(job_id(1)).unwrap().live, 3_000);
    let used = cell(&world)
        .workers()
        .find(|worker| worker.attempts > 0)
        .unwrap()
        .id;
    world.input(Input::Gone(used));
    assert_eq!(cell(&world).job(job_id(1)).unwrap().live, 0);
    assert_eq!(world.converge(Duration::from_secs(20)), None);
}

#[test]
fn admit_limits_the_number_of_tasks() {
    let world = world();
    let refusal = |tasks| {
        let job = job(1, "b", Class::Batch, SMALL).tasks(tasks).build();
        cell(&world).admit(&job).unwrap_err().kind
    };
    assert_eq!(refusal(0), Kind::Malformed);
    assert_eq!(refusal(100_001), Kind::TooLarge);
}

#[test]
fn accelerators_are_kept_for_tasks_that_need_them() {
    let mut world = world();
    world.submit(
        job(1, "b", Class::Batch, amount(8_000, 8_000, 0))
            .tasks(6)
            .build(),
        LONG,
    );
    run(&mut world, 500);
    let on_accelerators = world
        .running(job_id(1))
        .iter()
        .filter(|(id, _)| id.0 % 2 == 1)
        .count();
    assert_eq!(on_accelerators, 0);
}

#[test]
fn worker_that_fails_all_tasks_is_quarantined_and_jobs_succeed() {
    let mut world = world();
    world.nth_worker(0).unwrap().fails_all = true;
    for number in 1..40 {
        let size = amount(4_000, 16_000, 0);
        world.submit(job(number, "b", Class::Batch, size).build(), SHORT);
    }
    run(&mut world, 1_500);
    let quarantined: Vec<_> = cell(&world)
        .workers()
        .filter(|worker| worker.quarantined_until.is_some())
        .map(|worker| worker.id.0)
        .collect();
    assert_eq!(quarantined, [0]);
    run(&mut world, 20_000);
    assert!((1..40).all(|number| stage(&world, number) == Stage::Ended(End::Succeeded)));
}

#[test]
fn job_that_fails_everywhere_ends_and_quarantines_no_worker() {
    let mut world = world();
    let fails = Behaviour {
        fails: true,
        ..SHORT
    };
    for number in 1..9 {
        world.submit(job(number, "b", Class::Batch, SMALL).build(), fails);
        run(&mut world, 8_000);
        assert_eq!(stage(&world, number), Stage::Ended(End::Failed));
    }
    assert_eq!(cell(&world).counters().quarantined, 0);
}

#[test]
fn borrowed_batch_is_preempted_for_team_within_share() {
    let mut world = world();
    let half = amount(8_000, 32_000, 0);
    world.submit(job(1, "a", Class::Batch, half).tasks(6).build(), LONG);
    world.submit(job(2, "b", Class::Service, half).tasks(6).build(), LONG);
    run(&mut world, 6_000);
    assert_eq!(
        world.running(job_id(1)).len() + world.running(job_id(2)).len(),
        12
    );
    world.submit(job(3, "b", Class::Batch, half).tasks(2).build(), LONG);
    run(&mut world, 12_000);
    assert_eq!(world.running(job_id(3)).len(), 2);
    assert!(
        world.running(job_id(1)).len() >= 3,
        "tasks within the share are not preempted"
    );
}

#[test]
fn overrun_is_throttled_and_succeeds() {
    let mut world = world();
    let runs_for = Duration::from_secs(6);
    let behaviour = Behaviour {
        overruns: true,
        runs_for,
        ..SHORT
    };
    world.submit(
        job(1, "b", Class::Batch, amount(4_000, 8_000, 0)).build(),
        behaviour,
    );
    run(&mut world, 9_000);
    assert_eq!(stage(&world, 1), Stage::Ended(End::Succeeded));
    assert_eq!(cell(&world).counters().overruns, 1);
    assert_eq!(cell(&world).counters().started, 1);
}

#[test]
fn overrun_that_ignores_throttle_is_stopped_and_granted_its_usage() {
    let mut world = world();
    let behaviour = Behaviour {
        overruns: true,
        ignores_control: true,
        ..LONG
    };
    world.submit(
        job(1, "b", Class::Batch, amount(4_000, 8_000, 0)).build(),
        behaviour,
    );
    run(&mut world, 8_000);
    assert_eq!(cell(&world).counters().started, 2);
    assert_eq!(cell(&world).dump().used, amount(12_000, 24_000, 0));
}

#[test]
fn tasks_of_lost_rack_are_placed_again() {
    let mut world = world();
    let half = amount(4_000, 16_000, 0);
    world.submit(job(1, "b", Class::Service, half).tasks(6).build(), LONG);
    world.submit(job(2, "b", Class::Batch, half).tasks(6).build(), LONG);
    run(&mut world, 3_000);
    world.kill_worker(0);
    world.kill_worker(0);
    run(&mut world, 12_000);
    assert_eq!(world.running(job_id(1)).len(), 6);
    assert_eq!(world.running(job_id(2)).len(), 6);
    assert!(cell(&world).counters().lost > 0);
}

#[test]
fn leaving_worker_gets_no_new_tasks_and_is_drained() {
    let mut world = world();
    let leaving = world.workers[&Id(0)].worker.id;
    world.submit(job(1, "b", Class::Batch, FULL).tasks(6).build(), LONG);
    run(&mut world, 4_000);
    world.input(Input::Leaving(leaving));
    run(&mut world, 2_000);
    assert!(
        world
            .running(job_id(1))
            .iter()
            .all(|(worker, _)| *worker != leaving)
    );
    world.submit(job(2, "b", Class::Urgent, SMALL).tasks(6).build(), LONG);
    run(&mut world, 3_000);
    assert!(
        world
            .running(job_id(2))
            .iter()
            .all(|(worker, _)| *worker != leaving)
    );
}

#[test]
fn many_cancellations_end_all_jobs_and_do_not_delay_urgent_job() {
    let mut world = world();
    world.submit(job(1, "b", Class::Batch, SMALL).tasks(10_000).build(), LONG);
    for number in 2..2_000 {
        world.submit(job(number, "b", Class::Batch, SMALL).build(), LONG);
    }
    run(&mut world, 1_000);
    for number in 1..2_000 {
        world.input(Input::Cancel(job_id(number)));
    }
    world.submit(job(5_000, "b", Class::Urgent, SMALL).build(), LONG);
    run(&mut world, 2_000);
    assert_eq!(world.running(job_id(5_000)).len(), 1);
    run(&mut world, 4_000);
    let canceled = |number| stage(&world, number) == Stage::Ended(End::Canceled);
    assert!((1..2_000).all(canceled));
}

#[test]
fn explain_counts_refusals_and_position() {
    let mut world = world();
    world.submit(job(1, "b", Class::Service, FULL).tasks(6).build(), LONG);
    run(&mut world, 4_000);
    world.submit(job(2, "b", Class::Batch, SMALL).build(), LONG);
    world.submit(job(3, "b", Class::Batch, SMALL).build(), LONG);
    run(&mut world, 500);
    let explanation = cell(&world).explain(job_id(3)).unwrap();
    assert_eq!(explanation.waiting, Waiting::Worker);
    assert_eq!(explanation.refused[&Refusal::Memory], 6);
    assert_eq!(explanation.position, Some(1));
}

#[test]
fn snapshot_rebuilds_running_attempts() {
    let mut world = world();
    world.submit(job(1, "b", Class::Service, SMALL).tasks(5).build(), LONG);
    world.submit(job(2, "b", Class::Batch, SMALL).tasks(3).build(), SHORT);
    run(&mut world, 3_000);
    let records = cell(&world).snapshot();
    let later = world.now + Duration::from_secs(60);
    let recovery = Recovery::new(world.now, later, Settings::default());
    let rebuilt: Cell = Cell::recover(recovery, records.iter().cloned().chain(records.clone()));
    assert_eq!(rebuilt.job(job_id(1)).unwrap().live, 5);
    assert_eq!(rebuilt.dump().used, SMALL.times(5));
}

#[test]
fn learned_quantile_replaces_declared_run_time() {
    let mut history = History::default();
    let family = Family("routes".to_owned());
    let declared = Duration::from_secs(600);
    for seconds in 1..=10 {
        assert_eq!(
            history.quantile(&family, 500, declared) == declared,
            seconds <= 8
        );
        history.add(&family, Duration::from_secs(seconds));
    }
    assert_eq!(
        history.quantile(&family, 900, declared),
        Duration::from_secs(10)
    );
}

#[test]
fn fenced_owner_emits_nothing() {
    let settings = Settings {
        tuning: tuning(),
        ..Settings::default()
    };
    let recovery = Recovery::new(Instant(0), Instant(1_000), settings);
    let mut cell: Cell = Cell::recover(recovery, []);
    let mut out = Vec::new();
    cell.step(Instant(1_000), Input::Lease(Instant(9_000)), &mut out);
    cell.step(Instant(1_001), Input::Tick, &mut out);
    assert_eq!(out, [Output::Fenced]);
}
