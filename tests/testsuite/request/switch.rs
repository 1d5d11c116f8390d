//! Shows that each mechanism is needed: the oracle finds no violation in a scenario with all
//! mechanisms, and finds one when a mechanism is disabled.

use std::time::Duration;

use laburnumplank::core::request::{dedup, link, retry, slot};

use super::world::{KeyChoice, Op, Switches, World};

/// The number of seeds that a scenario is run with.
const SEEDS: u64 = 12;

/// Runs a scenario and returns the violations that the oracle found.
fn run(seed: u64, switches: Switches, longest_run: Duration, ops: &[Op]) -> Vec<String> {
    let mut world = World::new(seed, switches);
    world.longest_run = longest_run;
    for op in ops {
        world.apply(op);
    }
    world.advance(Duration::from_secs(3));
    world.oracle.violations
}

/// Checks that a scenario has no violation with all mechanisms, and has the `expected` one for some
/// seed with the parameters `off`, which disable a mechanism.
fn assert_violation_without(off: Switches, longest_run_ms: u64, ops: &[Op], expected: &str) {
    let longest_run = Duration::from_millis(longest_run_ms);
    let mut detected = 0;
    for seed in 0..SEEDS {
        let violations = run(seed, Switches::default(), longest_run, ops);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let violations = run(seed, off, longest_run, ops);
        detected += u64::from(violations.iter().any(|text| text.contains(expected)));
    }
    assert!(detected > 0, "no seed shows the violation");
}

fn submit(entry: usize, key: KeyChoice, span_ms: u64) -> Op {
    Op::Submit {
        entry,
        key,
        span_ms,
        bulk: false,
    }
}

fn advance(ms: u64) -> Op {
    Op::Advance { ms }
}

/// Submits the newest key again at every entry.
fn repeat() -> Vec<Op> {
    let submits = (0..4).map(|entry| submit(entry, KeyChoice::Old { back: 0 }, 1500));
    submits.chain([advance(2000)]).collect()
}

/// Submits idempotent requests at entries in bursts, one per step of 50 ms.
fn load(entries: &[usize], steps: usize) -> Vec<Op> {
    let burst = entries
        .iter()
        .flat_map(|&entry| (0..3).map(move |_| submit(entry, KeyChoice::Idempotent, 1900)));
    let burst: Vec<Op> = burst.chain([advance(50)]).collect();
    (0..steps).flat_map(|_| burst.clone()).collect()
}

#[test]
fn intent_after_dispatch_is_caught() {
    let on = Switches::default();
    let off = Switches {
        dedup: dedup::Rules {
            intent_first: false,
            ..on.dedup
        },
        ..on
    };
    let mut ops = vec![
        advance(50),
        Op::Log { is_up: false },
        submit(3, KeyChoice::New { ahead_ms: 0 }, 1000),
        advance(200),
        Op::KillOwner,
        Op::Heal,
        advance(3000),
    ];
    ops.extend(repeat());
    assert_violation_without(off, 50, &ops, "ran 2 times");
}

/// An owner runs a key while the log is down and is killed. The key's creation time is `ahead_ms`
/// from now.
fn run_without_log(ahead_ms: i64) -> Vec<Op> {
    let mut ops = vec![
        Op::Log { is_up: false },
        advance(1200),
        submit(3, KeyChoice::New { ahead_ms }, 1000),
        advance(300),
        Op::KillOwner,
        Op::Heal,
        advance(3000),
    ];
    ops.extend(repeat());
    ops
}

#[test]
fn run_without_log_below_watermark_is_caught() {
    let on = Switches::default();
    let off = Switches {
        dedup: dedup::Rules {
            watermark: false,
            ..on.dedup
        },
        ..on
    };
    assert_violation_without(off, 50, &run_without_log(-2500), "ran 2 times");
}

#[test]
fn takeover_without_horizon_is_caught() {
    let on = Switches::default();
    let off = Switches {
        dedup: dedup::Rules {
            horizon: false,
            ..on.dedup
        },
        ..on
    };
    assert_violation_without(off, 50, &run_without_log(0), "ran 2 times");
}

#[test]
fn grantor_without_wait_is_caught() {
    let on = Switches::default();
    let off = Switches {
        slot: slot::Rules {
            wait_after_takeover: false,
            ..on.slot
        },
        ..on
    };
    // Entry 2 takes over while messages between it and entry 3, which still holds slots, are lost.
    let mut ops = load(&[3], 9);
    ops.extend([
        Op::Cut {
            one: 2,
            other: 3,
            is_cut: true,
        },
        Op::Kill { entry: 0 },
        Op::Kill { entry: 1 },
    ]);
    ops.extend(load(&[2, 3], 40));
    assert_violation_without(off, 1000, &ops, "too many requests");
}

#[test]
fn holder_beyond_its_grant_is_caught() {
    let on = Switches::default();
    let off = Switches {
        slot: slot::Rules {
            stop_at_end: false,
            ..on.slot
        },
        ..on
    };
    let mut ops = load(&[3], 12);
    ops.push(Op::Pause { entry: 3 });
    ops.extend(load(&[2], 60));
    ops.push(Op::Resume { entry: 3 });
    ops.extend(load(&[2, 3], 4));
    assert_violation_without(off, 1000, &ops, "too many requests");
}

#[test]
fn answer_matched_without_connection_is_caught() {
    let on = Switches::default();
    let off = Switches {
        link: link::Rules {
            match_connection: false,
            ..on.link
        },
        ..on
    };
    let silence = (0..3).map(|target| Op::Silence { entry: 3, target });
    let mut ops = load(&[3], 6);
    ops.extend(silence);
    ops.extend(load(&[3], 30));
    assert_violation_without(off, 300, &ops, "answer of another");
}

#[test]
fn retry_of_a_call_that_may_have_run_is_caught() {
    let on = Switches::default();
    let off = Switches {
        retry: retry::Rules {
            only_safe: false,
            ..on.retry
        },
        ..on
    };
    let entries = 0..4;
    let silence = entries.flat_map(|entry| (0..3).map(move |target| Op::Silence { entry, target }));
    let mut ops = vec![
        submit(3, KeyChoice::New { ahead_ms: 0 }, 1900),
        advance(100),
    ];
    ops.extend(silence);
    ops.push(advance(1500));
    assert_violation_without(off, 1000, &ops, "ran 2 times");
}
