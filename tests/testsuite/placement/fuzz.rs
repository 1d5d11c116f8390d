//! Stateful fuzz tests of a cell on the simulated platform.
//!
//! For a long run: `PROPTEST_CASES=3000 cargo test --test testsuite placement::fuzz::random`.
//! `PROPTEST_RNG_SEED` sets another seed.

use std::str::FromStr;
use std::time::Duration;

use laburnumplank::core::placement::Input;
use laburnumplank::core::placement::settings::Rules;
use laburnumplank::core::workload::Class;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};

use super::fake::Behaviour;
use super::oracle::Violation;
use super::world::World;
use super::{amount, job};

/// A command or fault that the fuzzer applies to the world.
#[derive(Clone, Debug)]
enum Event {
    Submit {
        class: Class,
        team: bool,
        tasks: u32,
        size: u8,
        behaviour: Behaviour,
    },
    Cancel(usize),
    CancelAll,
    Run(u64),
    KillOwner {
        is_pause: bool,
    },
    KillWorker(usize),
    LeaveWorker(usize),
    RestartWorker(usize),
    PauseWorker(usize, u64),
    IsolateWorker(usize, u64),
    SlowWorker(usize, u64),
    FailAllOnWorker(usize),
    LogDown(u64, bool),
}

fn class() -> impl Strategy<Value = Class> {
    prop::sample::select(Class::ALL.to_vec())
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    let chance = |percent: f64| prop::bool::weighted(percent / 100.0);
    (20u64..6_000, chance(5.0), chance(10.0), chance(10.0)).prop_map(
        |(millis, fails, overruns, ignores_control)| Behaviour {
            runs_for: Duration::from_millis(millis),
            fails,
            overruns,
            ignores_control,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    let worker = 0usize..8;
    let span = 100u64..6_000;
    prop_oneof![
        8 => (class(), any::<bool>(), 1u32..6, 0u8..5, behaviour()).prop_map(
            |(class, team, tasks, size, behaviour)| {
                Event::Submit { class, team, tasks, size, behaviour }
            }
        ),
        2 => (0usize..64).prop_map(Event::Cancel),
        1 => Just(Event::CancelAll),
        8 => (1u64..1_500).prop_map(Event::Run),
        2 => any::<bool>().prop_map(|is_pause| Event::KillOwner { is_pause }),
        1 => worker.clone().prop_map(Event::KillWorker),
        1 => worker.clone().prop_map(Event::LeaveWorker),
        1 => worker.clone().prop_map(Event::RestartWorker),
        1 => (worker.clone(), span.clone()).prop_map(|(n, millis)| Event::PauseWorker(n, millis)),
        2 => (worker.clone(), span.clone()).prop_map(|(n, millis)| Event::IsolateWorker(n, millis)),
        2 => (worker.clone(), span.clone()).prop_map(|(n, millis)| Event::SlowWorker(n, millis)),
        1 => worker.prop_map(Event::FailAllOnWorker),
        1 => (span, any::<bool>())
            .prop_map(|(millis, is_unrecorded)| Event::LogDown(millis, is_unrecorded)),
    ]
}

fn apply(world: &mut World, event: &Event, number: u64) -> Option<Violation> {
    let millis = Duration::from_millis;
    let now = world.now;
    match *event {
        Event::Submit {
            class,
            team,
            tasks,
            size,
            behaviour,
        } => {
            let sizes = [
                amount(500, 1_000, 0),
                amount(4_000, 8_000, 0),
                amount(8_000, 48_000, 0),
                amount(16_000, 64_000, 0),
                amount(2_000, 4_000, 1),
            ];
            let team = if team { "a" } else { "b" };
            let job = job(number, team, class, sizes[usize::from(size)])
                .tasks(tasks)
                .run_time(millis(500))
                .gang_timeout(millis(3_000))
                .build();
            world.submit(job, behaviour);
        }
        Event::Cancel(number) => {
            let jobs = world.jobs();
            if let Some(job) = jobs.get(number % jobs.len().max(1)) {
                world.input(Input::Cancel(*job));
                world.input(Input::Cancel(*job));
            }
        }
        Event::CancelAll => {
            for job in world.jobs() {
                world.input(Input::Cancel(job));
            }
        }
        Event::Run(span) => return world.run(millis(span)),
        Event::KillOwner { is_pause } => return world.kill_owner(is_pause),
        Event::KillWorker(n) => world.kill_worker(n),
        Event::LeaveWorker(n) => {
            if let Some(id) = world.nth_worker(n).map(|fake| fake.worker.id) {
                world.input(Input::Leaving(id));
                world.schedule(millis(4_000), Input::Leaving(id));
                world.kill_worker(n);
            }
        }
        Event::RestartWorker(n) => world.nth_worker(n)?.restart(),
        Event::PauseWorker(n, span) => world.nth_worker(n)?.paused_until = now + millis(span),
        Event::IsolateWorker(n, span) => world.nth_worker(n)?.isolated_until = now + millis(span),
        Event::SlowWorker(n, span) => world.nth_worker(n)?.slow_until = now + millis(span),
        Event::FailAllOnWorker(n) => world.nth_worker(n)?.fails_all = true,
        Event::LogDown(span, is_unrecorded) => world.log_down(millis(span), is_unrecorded),
    }
    world.check()
}

/// Applies events to a new world and returns the first violation as an error.
fn run_events(seed: u64, rules: Rules, events: &[Event]) -> Result<(), Violation> {
    let mut world = World::new(seed, 6, rules);
    let mut found = world.run(Duration::from_millis(1_500));
    for (number, event) in events.iter().enumerate() {
        found = found.or_else(|| apply(&mut world, event, number as u64));
        if found.is_some() {
            break;
        }
    }
    found = found.or_else(|| world.converge(Duration::from_secs(90)));
    found.map_or(Ok(()), Err)
}

/// Returns the first violation that random events cause.
fn fuzz(rules: Rules, seed: u64, cases: u32) -> Option<(String, Vec<Event>)> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: if rules == Rules::default() { 300 } else { 0 },
        ..Config::default()
    };
    let strategy = (any::<u64>(), prop::collection::vec(event(), 5..50));
    let outcome = TestRunner::new(config).run(&strategy, |(seed, events)| {
        run_events(seed, rules, &events)
            .map_err(|violation| TestCaseError::fail(format!("{violation:?}")))
    });
    match outcome {
        Ok(()) => None,
        Err(TestError::Fail(reason, (seed, events))) => {
            Some((format!("{reason} (seed {seed})"), events))
        }
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

/// Returns the number in an environment variable, or `default` when it is not set or not a number.
fn env_number<T: FromStr>(variable: &str, default: T) -> T {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults_cause_no_violation() {
    let seed = env_number("PROPTEST_RNG_SEED", 7);
    let found = fuzz(Rules::default(), seed, env_number("PROPTEST_CASES", 80));
    assert!(found.is_none(), "{found:#?}");
}

/// Guards against a gang that never started because its tasks had failed on two of the three
/// workers that could hold them.
#[test]
fn gang_starts_after_failures_on_most_workers() {
    let submit = |class, team, tasks, size, millis| Event::Submit {
        class,
        team,
        tasks,
        size,
        behaviour: Behaviour {
            runs_for: Duration::from_millis(millis),
            fails: false,
            overruns: class == Class::Gang,
            ignores_control: class == Class::Gang,
        },
    };
    let events = [
        Event::KillOwner { is_pause: false },
        Event::LeaveWorker(0),
        Event::KillWorker(7),
        submit(Class::Service, false, 2, 0, 283),
        Event::LogDown(2_001, false),
        Event::FailAllOnWorker(4),
        Event::KillWorker(2),
        Event::KillOwner { is_pause: false },
        Event::KillOwner { is_pause: false },
        submit(Class::Service, false, 5, 1, 3_175),
        Event::LeaveWorker(0),
        Event::Run(20),
        Event::Run(840),
        submit(Class::Urgent, true, 4, 4, 1_782),
        submit(Class::Urgent, false, 3, 0, 3_276),
        submit(Class::Gang, false, 4, 4, 1_992),
        Event::Run(302),
    ];
    assert_eq!(
        run_events(1_602_967_923_757_711_174, Rules::default(), &events),
        Ok(())
    );
}

/// Asserts that random events with a mechanism disabled cause one of the named violations.
fn assert_caught(rules: Rules, names: &[&str]) {
    let found = fuzz(rules, 11, 200);
    let reason = found.map(|(reason, _)| reason).unwrap_or_default();
    assert!(
        names.iter().any(|name| reason.contains(name)),
        "found {reason:?}"
    );
}

#[test]
fn missing_lease_wait_is_caught() {
    let rules = Rules {
        wait_for_lease: false,
        ..Rules::default()
    };
    assert_caught(rules, &["RunsTwice", "RunsAfterEnd", "AboveCeiling"]);
}

#[test]
fn missing_in_flight_count_is_caught() {
    let rules = Rules {
        count_in_flight: false,
        ..Rules::default()
    };
    assert_caught(rules, &["OverCommitted", "AboveCeiling"]);
}
