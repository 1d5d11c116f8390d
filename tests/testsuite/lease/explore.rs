//! The lease rules, searched exhaustively within small bounds on the real table.

use laburnum_testkit::explore::{Bounds, Model, Outcome, search};
use laburnumplank::core::lease::Rules;

use super::world::{Action, Budget, FAST, SLOW, Shape, World, coarse};

/// Worlds with four nodes: an owner, two standbys and an outsider.
struct Cell {
    worlds: Vec<World>,
}

impl Model for Cell {
    type State = World;
    type Action = Action;

    fn init(&self) -> Vec<World> {
        self.worlds.clone()
    }

    fn actions(&self, world: &World, out: &mut Vec<Action>) {
        world.actions(out);
    }

    fn next(&self, world: &World, action: &Action) -> Option<World> {
        let mut next = world.clone();
        next.act(*action);
        (next != *world).then_some(next)
    }

    fn property(&self, world: &World) -> Result<(), String> {
        world.check()
    }
}

fn shape(rules: Rules, slow: &[usize]) -> Shape {
    let rate = |index| if slow.contains(&index) { SLOW } else { FAST };
    Shape {
        settings: coarse(rules),
        rates: (0..4).map(rate).collect(),
        renumbers: true,
        messages: 4,
    }
}

/// Searches from a slow owner among fast nodes, from two slow ones, and from a fast owner.
fn explore(rules: Rules, budget: Budget, bounds: Bounds) -> Outcome<Action> {
    let slow: [&[usize]; 3] = [&[0], &[0, 1], &[1, 2, 3]];
    let world = |slow: &[usize]| World::settled(shape(rules, slow), budget);
    let worlds = slow.into_iter().map(world).collect();
    search(&Cell { worlds }, bounds)
}

const LEASES: Budget = Budget {
    steps: 8,
    ..Budget::NONE
};

#[test]
fn one_owner_within_bounds() {
    let states = std::env::var("EXPLORE_STATES").map_or(60_000, |text| text.parse().unwrap());
    let budgets = [
        LEASES,
        Budget {
            restarts: 1,
            ..LEASES
        },
        Budget { kills: 3, ..LEASES },
        Budget {
            shifts: 1,
            ..LEASES
        },
        Budget { stops: 1, ..LEASES },
        Budget {
            repeats: 1,
            outage_flips: 2,
            ..LEASES
        },
    ];
    for budget in budgets {
        let bounds = Bounds { depth: 100, states };
        let outcome = explore(Rules::ALL, budget, bounds);
        println!("{budget:?}: {outcome}");
        assert!(outcome.failure.is_none(), "{outcome}");
    }
}
