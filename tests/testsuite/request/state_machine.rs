//! The whole request path under random faults, as a state machine test.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::world::{KeyChoice, Op, Switches, World};

/// The seed of the world. It is the whole reference state, because the oracle checks the world.
#[derive(Clone, Debug)]
struct Seed(u64);

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Seed;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Seed> {
        any::<u64>().prop_map(Seed).boxed()
    }

    fn transitions(_: &Seed) -> BoxedStrategy<Op> {
        let entry = 0..4usize;
        let target = 0..3u32;
        let key = prop_oneof![
            2 => Just(KeyChoice::Idempotent),
            3 => (-2500..400i64).prop_map(|ahead_ms| KeyChoice::New { ahead_ms }),
            4 => (0..5usize).prop_map(|back| KeyChoice::Old { back }),
        ];
        let submit = (entry.clone(), key, 50..2000u64, any::<bool>());
        let submit = submit.prop_map(|(entry, key, span_ms, bulk)| Op::Submit {
            entry,
            key,
            span_ms,
            bulk,
        });
        prop_oneof![
            24 => submit,
            1 => Just(Op::Cancel),
            8 => (5..60u64).prop_map(|ms| Op::Advance { ms }),
            5 => (60..2500u64).prop_map(|ms| Op::Advance { ms }),
            3 => Just(Op::Heal),
            2 => Just(Op::KillOwner),
            1 => Just(Op::PauseOwner),
            1 => (0..2usize).prop_map(|partition| Op::HandOver { partition }),
            1 => entry.clone().prop_map(|entry| Op::Kill { entry }),
            1 => entry.clone().prop_map(|entry| Op::Pause { entry }),
            1 => entry.clone().prop_map(|entry| Op::Restart { entry }),
            1 => entry.clone().prop_map(|entry| Op::Resume { entry }),
            1 => (entry.clone(), target.clone())
                .prop_map(|(entry, target)| Op::Silence { entry, target }),
            1 => (entry.clone(), entry)
                .prop_map(|(one, other)| Op::Cut { one, other, is_cut: true }),
            2 => any::<bool>().prop_map(|is_up| Op::Log { is_up }),
            1 => Just(Op::LoseAppendAnswers { is_lost: true }),
            1 => (target.clone(), any::<bool>())
                .prop_map(|(target, is_leaving)| Op::Leave { target, is_leaving }),
            1 => (target, prop::bool::weighted(0.3))
                .prop_map(|(target, is_faulty)| Op::Faulty { target, is_faulty }),
        ]
        .boxed()
    }

    fn apply(state: Seed, _: &Op) -> Seed {
        state
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Machine;

    fn init_test(seed: &Seed) -> World {
        World::new(seed.0, Switches::default())
    }

    fn apply(mut world: World, _: &Seed, op: Op) -> World {
        world.apply(&op);
        world
    }

    fn check_invariants(world: &World, _: &Seed) {
        let violations = &world.oracle.violations;
        assert!(violations.is_empty(), "{violations:?}");
    }

    fn teardown(mut world: World, seed: Seed) {
        world.advance(Duration::from_millis(3000));
        Self::check_invariants(&world, &seed);
        assert_recovers(world);
    }
}

/// Checks that requests are served again after all faults have ended. Otherwise a system that
/// serves nothing would pass.
fn assert_recovers(mut world: World) {
    world.apply(&Op::Heal);
    for target in 0..3 {
        let (is_leaving, is_faulty) = (false, false);
        world.apply(&Op::Leave { target, is_leaving });
        world.apply(&Op::Faulty { target, is_faulty });
    }
    world.advance(Duration::from_secs(12));
    let before = world.oracle.done;
    for entry in 0..4 {
        for key in [KeyChoice::Idempotent, KeyChoice::New { ahead_ms: -100 }] {
            let span_ms = 3000;
            world.apply(&Op::Submit {
                entry,
                key,
                span_ms,
                bulk: false,
            });
        }
    }
    world.advance(Duration::from_secs(4));
    let done = world.oracle.done - before;
    let violations = &world.oracle.violations;
    assert!(violations.is_empty(), "{violations:?}");
    assert!(
        done >= 7,
        "only {done} of 8 requests were served after all faults had ended"
    );
}

/// Returns a configuration with a fixed seed. `PROPTEST_CASES` overrides the number of cases, and
/// `PROPTEST_RNG_SEED` overrides the seed.
pub(super) fn config(cases: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    Config {
        cases: number("PROPTEST_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number("PROPTEST_RNG_SEED").unwrap_or(20_261_203)),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(60))]
    #[test]
    fn guarantees_hold_under_random_faults(sequential 10..80 => Machine);
}
