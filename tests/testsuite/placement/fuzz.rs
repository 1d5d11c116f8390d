//! Stateful fuzzing of a cell over the fake platform.
//!
//! `PROPTEST_CASES=3000 cargo test --test testsuite placement::fuzz::random` is the long run;
//! `PROPTEST_RNG_SEED` gives it another seed.

use std::str::FromStr;
use std::time::Duration;

use laburnumplank::core::placement::Input;
use laburnumplank::core::placement::settings::Rules;
use laburnumplank::core::workload::Class;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};

use super::fake::Nature;
use super::oracle::Violation;
use super::world::World;
use super::{amount, job};

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    Submit {
        class: Class,
        team: bool,
        tasks: u32,
        size: u8,
        nature: Nature,
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
    CutWorker(usize, u64),
    SlowWorker(usize, u64),
    BadWorker(usize),
    LogDown(u64, bool),
}

fn class() -> impl Strategy<Value = Class> {
    prop::sample::select(Class::ALL.to_vec())
}

fn nature() -> impl Strategy<Value = Nature> {
    let chance = |percent: f64| prop::bool::weighted(percent / 100.0);
    (20u64..6_000, chance(5.0), chance(10.0), chance(10.0)).prop_map(
        |(millis, fails, overruns, is_stubborn)| Nature {
            runs_for: Duration::from_millis(millis),
            fails,
            overruns,
            is_stubborn,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    let worker = 0usize..8;
    let span = 100u64..6_000;
    prop_oneof![
        8 => (class(), any::<bool>(), 1u32..6, 0u8..5, nature()).prop_map(
            |(class, team, tasks, size, nature)| Event::Submit { class, team, tasks, size, nature }
        ),
        2 => (0usize..64).prop_map(Event::Cancel),
        1 => Just(Event::CancelAll),
        8 => (1u64..1_500).prop_map(Event::Run),
        2 => any::<bool>().prop_map(|is_pause| Event::KillOwner { is_pause }),
        1 => worker.clone().prop_map(Event::KillWorker),
        1 => worker.clone().prop_map(Event::LeaveWorker),
        1 => worker.clone().prop_map(Event::RestartWorker),
        1 => (worker.clone(), span.clone()).prop_map(|(n, millis)| Event::PauseWorker(n, millis)),
        2 => (worker.clone(), span.clone()).prop_map(|(n, millis)| Event::CutWorker(n, millis)),
        2 => (worker.clone(), span.clone()).prop_map(|(n, millis)| Event::SlowWorker(n, millis)),
        1 => worker.prop_map(Event::BadWorker),
        1 => (span, any::<bool>()).prop_map(|(millis, early)| Event::LogDown(millis, early)),
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
            nature,
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
            world.submit(job, nature);
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
                world.later(millis(4_000), Input::Leaving(id));
                world.kill_worker(n);
            }
        }
        Event::RestartWorker(n) => world.nth_worker(n)?.restart(),
        Event::PauseWorker(n, span) => world.nth_worker(n)?.paused_until = now + millis(span),
        Event::CutWorker(n, span) => world.nth_worker(n)?.cut_until = now + millis(span),
        Event::SlowWorker(n, span) => world.nth_worker(n)?.slow_until = now + millis(span),
        Event::BadWorker(n) => world.nth_worker(n)?.is_bad = true,
        Event::LogDown(span, early) => world.log_down(millis(span), early),
    }
    world.check()
}

/// Runs events over a new world; the first violation ends the run.
fn play(seed: u64, rules: Rules, events: &[Event]) -> Result<(), Violation> {
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

/// Returns the first violation that random events bring about.
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
        play(seed, rules, &events)
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

/// Returns the number in an environment variable.
fn number<T: FromStr>(variable: &str, default: T) -> T {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults_break_no_rule() {
    let seed = number("PROPTEST_RNG_SEED", 7);
    let found = fuzz(Rules::default(), seed, number("PROPTEST_CASES", 80));
    assert!(found.is_none(), "{found:#?}");
}

/// A gang whose tasks had failed on two of the three workers that could hold them never started.
#[test]
fn gang_starts_though_it_failed_on_most_workers() {
    let submit = |class, team, tasks, size, millis| Event::Submit {
        class,
        team,
        tasks,
        size,
        nature: Nature {
            runs_for: Duration::from_millis(millis),
            fails: false,
            overruns: class == Class::Gang,
            is_stubborn: class == Class::Gang,
        },
    };
    let events = [
        Event::KillOwner { is_pause: false },
        Event::LeaveWorker(0),
        Event::KillWorker(7),
        submit(Class::Service, false, 2, 0, 283),
        Event::LogDown(2_001, false),
        Event::BadWorker(4),
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
        play(1_602_967_923_757_711_174, Rules::default(), &events),
        Ok(())
    );
}

/// Asserts that the oracle catches a missing mechanism by one of the given violations.
fn assert_caught(rules: Rules, names: &[&str]) {
    let found = fuzz(rules, 11, 200);
    let reason = found.map(|(reason, _)| reason).unwrap_or_default();
    assert!(
        names.iter().any(|name| reason.contains(name)),
        "found {reason:?}"
    );
}

#[test]
fn without_lease_wait_is_caught() {
    let rules = Rules {
        wait_for_lease: false,
        ..Rules::default()
    };
    assert_caught(rules, &["RunsTwice", "RunsAfterEnd", "AboveCeiling"]);
}

#[test]
fn without_in_flight_count_is_caught() {
    let rules = Rules {
        count_in_flight: false,
        ..Rules::default()
    };
    assert_caught(rules, &["OverCommitted", "AboveCeiling"]);
}
