//! All parts together under random faults, and with single mechanisms switched off.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use laburnumplank::core::request::{dedup, link, retry, slot};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::world::{KeyChoice, Op, Switches, World};

/// Which mechanism is off.
const ALL_ON: u8 = 0;
const NO_INTENT: u8 = 1;
const NO_WATERMARK: u8 = 2;
const NO_HORIZON: u8 = 3;
const NO_WAIT: u8 = 4;
const NO_END: u8 = 5;
const NO_MATCH: u8 = 6;
const UNSAFE_RETRY: u8 = 7;

fn switches(off: u8) -> Switches {
    let on = Switches::default();
    match off {
        NO_INTENT => Switches {
            dedup: dedup::Rules {
                intent_first: false,
                ..on.dedup
            },
            ..on
        },
        NO_WATERMARK => Switches {
            dedup: dedup::Rules {
                watermark: false,
                ..on.dedup
            },
            ..on
        },
        NO_HORIZON => Switches {
            dedup: dedup::Rules {
                horizon: false,
                ..on.dedup
            },
            ..on
        },
        NO_WAIT => Switches {
            slot: slot::Rules {
                wait_after_takeover: false,
                ..on.slot
            },
            ..on
        },
        NO_END => Switches {
            slot: slot::Rules {
                stop_at_end: false,
                ..on.slot
            },
            ..on
        },
        NO_MATCH => Switches {
            link: link::Rules {
                match_connection: false,
                ..on.link
            },
            ..on
        },
        UNSAFE_RETRY => Switches {
            retry: retry::Rules {
                only_safe: false,
                ..on.retry
            },
            ..on
        },
        _ => on,
    }
}

/// The world's seed; what the operations do is decided by the world alone.
#[derive(Clone, Debug)]
struct Seed(u64);

struct Machine<const OFF: u8>;

impl<const OFF: u8> ReferenceStateMachine for Machine<OFF> {
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
            3 => (-900..400i64).prop_map(|ahead_ms| KeyChoice::New { ahead_ms }),
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
            20 => submit,
            1 => Just(Op::Cancel),
            8 => (5..60u64).prop_map(|ms| Op::Advance { ms }),
            4 => (60..2500u64).prop_map(|ms| Op::Advance { ms }),
            2 => entry.clone().prop_map(|entry| Op::Kill { entry }),
            2 => entry.clone().prop_map(|entry| Op::Restart { entry }),
            2 => entry.clone().prop_map(|entry| Op::Pause { entry }),
            3 => entry.clone().prop_map(|entry| Op::Resume { entry }),
            2 => (entry.clone(), target.clone())
                .prop_map(|(entry, target)| Op::Silence { entry, target }),
            1 => (entry.clone(), entry, any::<bool>())
                .prop_map(|(one, other, is_cut)| Op::Cut { one, other, is_cut }),
            4 => any::<bool>().prop_map(|is_up| Op::Log { is_up }),
            1 => any::<bool>().prop_map(|is_lost| Op::LoseAppendAnswers { is_lost }),
            1 => (target.clone(), any::<bool>())
                .prop_map(|(target, is_leaving)| Op::Leave { target, is_leaving }),
            1 => (target, any::<bool>())
                .prop_map(|(target, is_faulty)| Op::Faulty { target, is_faulty }),
        ]
        .boxed()
    }

    fn apply(state: Seed, _: &Op) -> Seed {
        state
    }
}

impl<const OFF: u8> StateMachineTest for Machine<OFF> {
    type SystemUnderTest = World;
    type Reference = Machine<OFF>;

    fn init_test(seed: &Seed) -> World {
        World::new(seed.0, switches(OFF))
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
    }
}

/// Cases of a run; `PROPTEST_CASES` makes it longer.
fn config(cases: u32) -> Config {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(cases);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(60))]
    #[test]
    fn promises_hold_under_random_faults(sequential 10..80 => Machine<ALL_ON>);
}

/// Returns whether the oracle finds a fault within so many random cases.
fn is_caught<const OFF: u8>(cases: u32) -> bool {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[OFF + 1; 32]);
    let mut runner = TestRunner::new_with_rng(config(cases), rng);
    let strategy = Machine::<OFF>::sequential_strategy(30..80);
    (0..cases).any(|_| {
        let (seed, ops, _) = strategy.new_tree(&mut runner).unwrap().current();
        let run = || Machine::<OFF>::test_sequential(config(cases), seed, ops, None);
        catch_unwind(AssertUnwindSafe(run)).is_err()
    })
}

#[test]
fn intent_after_dispatch_is_caught() {
    assert!(is_caught::<NO_INTENT>(400));
}

#[test]
fn unlogged_run_below_watermark_is_caught() {
    assert!(is_caught::<NO_WATERMARK>(400));
}

#[test]
fn takeover_without_horizon_is_caught() {
    assert!(is_caught::<NO_HORIZON>(400));
}

#[test]
fn grantor_without_wait_is_caught() {
    assert!(is_caught::<NO_WAIT>(400));
}

#[test]
fn holder_beyond_its_grant_is_caught() {
    assert!(is_caught::<NO_END>(400));
}

#[test]
fn answer_matched_without_connection_is_caught() {
    assert!(is_caught::<NO_MATCH>(400));
}

#[test]
fn retry_after_a_byte_is_caught() {
    assert!(is_caught::<UNSAFE_RETRY>(400));
}
