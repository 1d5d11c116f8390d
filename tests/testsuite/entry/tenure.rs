use std::time::Duration;

use laburnumplank::core::scheduler::id::Token;
use laburnumplank::core::tenure::{
    Action, Claim, Elector, Owner, Record, Rules, linked_read_pause,
};
use laburnumplank::core::time::Instant;

const RULES: Rules = Rules {
    renewal: Duration::from_millis(250),
    silence: Duration::from_millis(1_100),
    unreachable_silence: Duration::from_millis(550),
};

fn owner(name: &str, incarnation: u64) -> Owner {
    Owner {
        name: name.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        incarnation,
        processors_millis: 250,
    }
}

/// Returns an entry with twice the processors of [`owner`].
fn larger_owner(name: &str) -> Owner {
    Owner {
        processors_millis: 500,
        ..owner(name, 1)
    }
}

fn at(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

fn renewal(name: &str, token: u64) -> Record {
    Record::Renewal(Claim {
        owner: owner(name, 1),
        token: Token(token),
        is_released: false,
    })
}

/// Creates an elector that has read, at time 0, a claim of `name` at offset 4.
fn elector_with_claim(name: &str) -> Elector {
    let mut elector = Elector::new(RULES, owner("me", 1));
    elector.apply_read(at(0), at(0), vec![(4, Record::Claim(owner(name, 1)))], 5);
    elector
}

#[test]
fn token_is_past_the_offset_of_the_claim() {
    let elector = elector_with_claim("me");
    assert_eq!(elector.token(), Some(Token(5)));
    assert_eq!(elector_with_claim("other").token(), None);
}

#[test]
fn claim_from_before_a_restart_is_not_owned() {
    let mut elector = Elector::new(RULES, owner("me", 2));
    elector.apply_read(at(0), at(0), vec![(4, Record::Claim(owner("me", 1)))], 5);
    assert_eq!(elector.token(), None);
}

#[test]
fn silent_owner_is_replaced_after_successful_reads() {
    let mut elector = elector_with_claim("other");
    elector.apply_read(at(1_000), at(600), Vec::new(), 5);
    assert_eq!(elector.action(at(1_000)), None);
    elector.apply_read(at(1_200), at(1_000), Vec::new(), 5);
    assert_eq!(elector.action(at(1_200)), Some(Action::Claim { at: 5 }));
    assert_eq!(elector.action(at(1_250)), None, "a claim is under way");
}

#[test]
fn outage_of_the_log_does_not_count_as_silence() {
    let mut elector = elector_with_claim("other");
    elector.read_failed();
    assert_eq!(elector.action(at(60_000)), None);
    elector.apply_read(at(60_000), at(59_990), Vec::new(), 5);
    elector.apply_read(at(60_400), at(60_000), Vec::new(), 5);
    assert_eq!(elector.action(at(60_400)), None);
}

#[test]
fn renewed_claim_is_left_alone() {
    let mut elector = elector_with_claim("other");
    for ms in (250..5_000).step_by(250) {
        elector.apply_read(
            at(ms),
            at(ms - 250),
            vec![(ms, renewal("other", 5))],
            ms + 1,
        );
        assert_eq!(elector.action(at(ms)), None);
    }
}

#[test]
fn released_cell_is_claimed_at_once_but_later_by_a_slow_entry() {
    let release = || vec![(5, Record::Release(Token(5)))];
    let mut quick = elector_with_claim("other");
    quick.apply_read(at(10), at(5), release(), 6);
    assert_eq!(
        quick.action(at(20)),
        Some(Action::Claim { at: 6 }),
        "the claim must not wait for another read"
    );
    let mut slow = elector_with_claim("other");
    slow.yield_until(at(10_000));
    slow.apply_read(at(10), at(5), release(), 6);
    slow.apply_read(at(20), at(10), Vec::new(), 6);
    assert_eq!(slow.action(at(20)), None);
    slow.apply_read(at(1_700), at(20), Vec::new(), 6);
    assert_eq!(slow.action(at(1_700)), Some(Action::Claim { at: 6 }));
}

#[test]
fn owner_that_reads_a_later_claim_loses_the_cell() {
    let mut elector = elector_with_claim("me");
    elector.apply_read(
        at(10),
        at(5),
        vec![(9, Record::Claim(owner("other", 1)))],
        10,
    );
    assert_eq!(elector.token(), None);
    assert_eq!(elector.claim().unwrap().token, Token(10));
}

#[test]
fn claim_told_by_another_entry_counts_when_it_is_newer() {
    let mut elector = elector_with_claim("me");
    let mut other = Elector::new(RULES, owner("other", 1));
    other.apply_read(
        at(10),
        at(5),
        vec![(9, Record::Claim(owner("other", 1)))],
        10,
    );
    let reported = other.claim().unwrap().clone();
    elector.merge_claim(reported.clone());
    assert_eq!(elector.token(), None);
    let mut ahead = Elector::new(RULES, owner("me", 1));
    ahead.apply_read(at(10), at(5), vec![(12, Record::Claim(owner("me", 1)))], 13);
    ahead.merge_claim(reported);
    assert_eq!(ahead.token(), Some(Token(13)));
}

#[test]
fn entry_that_gave_its_claim_up_releases_it_until_the_log_shows_so() {
    let mut elector = elector_with_claim("me");
    assert!(matches!(elector.action(at(300)), Some(Action::Renew(_))));
    elector.resign(at(400), Token(5));
    assert_eq!(elector.token(), None);
    // The log is unavailable: neither a renewal nor a claim is due, and every release is lost.
    elector.read_failed();
    let release = Some(Action::Release(Token(5)));
    assert_eq!(elector.action(at(700)), release);
    assert_eq!(elector.action(at(1_000)), release);
    elector.apply_read(
        at(1_100),
        at(1_090),
        vec![(6, Record::Release(Token(5)))],
        7,
    );
    assert_eq!(elector.action(at(1_400)), Some(Action::Claim { at: 7 }));
}

#[test]
fn claim_that_another_entry_followed_is_not_released() {
    let mut elector = elector_with_claim("me");
    elector.resign(at(100), Token(5));
    elector.apply_read(
        at(200),
        at(190),
        vec![(6, Record::Claim(owner("other", 1)))],
        7,
    );
    elector.resign(at(210), Token(5));
    assert_eq!(elector.action(at(500)), None);
    assert_eq!(elector.claim().unwrap().token, Token(7));
}

#[test]
fn renewal_names_the_owner_when_the_log_has_dropped_its_claim() {
    let mut elector = Elector::new(RULES, owner("me", 1));
    elector.apply_read(at(10), at(0), vec![(90, renewal("other", 5))], 91);
    elector.apply_read(at(300), at(10), vec![(91, renewal("other", 5))], 92);
    assert_eq!(elector.action(at(400)), None, "the owner is alive");
    assert_eq!(elector.claim().unwrap().owner, owner("other", 1));
    elector.apply_read(at(1_700), at(300), Vec::new(), 92);
    assert_eq!(elector.action(at(1_700)), Some(Action::Claim { at: 92 }));
}

#[test]
fn small_entry_leaves_a_free_cell_to_a_larger_one() {
    let action_after_silence = |has_larger_peer: bool| {
        let mut elector = elector_with_claim("other");
        if has_larger_peer {
            elector.apply_read(
                at(10),
                at(5),
                vec![(5, Record::Present(larger_owner("third")))],
                6,
            );
        }
        elector.apply_read(at(1_300), at(1_200), Vec::new(), 6);
        elector.action(at(1_300))
    };
    assert!(action_after_silence(false).is_some());
    assert_eq!(action_after_silence(true), None);
    let mut later = elector_with_claim("other");
    later.apply_read(
        at(10),
        at(5),
        vec![(5, Record::Present(larger_owner("third")))],
        6,
    );
    later.apply_read(at(2_300), at(2_200), Vec::new(), 6);
    assert_eq!(
        later.action(at(2_300)),
        Some(Action::Claim { at: 6 }),
        "the larger entry may have stopped"
    );
}

#[test]
fn small_owner_hands_over_to_a_larger_entry_that_has_come_since() {
    let mut elector = Elector::new(RULES, owner("me", 1));
    elector.apply_read(
        at(0),
        at(0),
        vec![(3, Record::Present(larger_owner("gone")))],
        4,
    );
    elector.apply_read(at(10), at(5), vec![(4, Record::Claim(owner("me", 1)))], 5);
    assert!(
        !elector.should_hand_over(at(5_000)),
        "the larger entry has written nothing since the claim"
    );
    elector.apply_read(
        at(5_000),
        at(4_990),
        vec![(5, Record::Present(owner("equal", 1)))],
        6,
    );
    assert!(!elector.should_hand_over(at(5_000)));
    elector.apply_read(
        at(5_010),
        at(5_000),
        vec![(6, Record::Present(larger_owner("third")))],
        7,
    );
    assert!(elector.should_hand_over(at(5_010)));
}

#[test]
fn owner_that_accepts_no_links_is_replaced_sooner() {
    let mut elector = elector_with_claim("other");
    elector.note_reachable(Token(5), false);
    elector.apply_read(at(500), at(490), Vec::new(), 5);
    assert_eq!(elector.action(at(500)), None);
    elector.apply_read(at(600), at(590), Vec::new(), 5);
    assert_eq!(elector.action(at(600)), Some(Action::Claim { at: 5 }));
    let mut reconnected = elector_with_claim("other");
    reconnected.note_reachable(Token(5), false);
    reconnected.note_reachable(Token(5), true);
    reconnected.apply_read(at(600), at(590), Vec::new(), 5);
    assert_eq!(reconnected.action(at(600)), None);
}

#[test]
fn record_that_is_read_twice_is_applied_once() {
    let mut elector = elector_with_claim("me");
    elector.resign(at(10), Token(5));
    elector.apply_read(at(20), at(5), vec![(4, Record::Claim(owner("me", 1)))], 5);
    assert_eq!(elector.token(), None, "the claim was given up");
}

#[test]
fn cell_is_owned_elsewhere_while_another_entry_renews_its_claim() {
    let mut elector = elector_with_claim("other");
    elector.apply_read(at(250), at(10), vec![(5, renewal("other", 5))], 6);
    assert!(elector.is_owned_elsewhere(at(500)));
    assert!(
        !elector.is_owned_elsewhere(at(900)),
        "the owner may have stopped"
    );
    elector.read_failed();
    assert!(
        !elector.is_owned_elsewhere(at(500)),
        "a failed read is no evidence of an owner"
    );
    assert!(!elector_with_claim("me").is_owned_elsewhere(at(10)));
}

#[test]
fn entries_of_one_size_claim_one_after_the_other() {
    let names = ["a", "b", "c", "d"];
    let claimed_at = |me: &str| {
        let mut elector = Elector::new(RULES, owner(me, 1));
        let present = names.iter().map(|name| Record::Present(owner(name, 1)));
        let mut records: Vec<_> = (0..).zip(present).collect();
        records.push((4, Record::Claim(owner("gone", 1))));
        elector.apply_read(at(0), at(0), records, 5);
        elector.note_round_trip(Duration::from_millis(300));
        (1..100).map(|step| step * 100).find(|&ms| {
            elector.apply_read(at(ms), at(ms - 10), Vec::new(), 5);
            elector.action(at(ms)).is_some()
        })
    };
    let mut times: Vec<u64> = names.iter().map(|name| claimed_at(name).unwrap()).collect();
    times.sort_unstable();
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] >= 300),
        "{times:?}"
    );
}

#[test]
fn former_claim_is_the_one_before_in_the_log() {
    let mut elector = elector_with_claim("other");
    assert_eq!(elector.former_claim(), None);
    let records = vec![(5, renewal("other", 5)), (6, Record::Claim(owner("me", 1)))];
    elector.apply_read(at(10), at(10), records, 7);
    let former = elector.former_claim().map(|claim| claim.token);
    assert_eq!((former, elector.token()), (Some(Token(5)), Some(Token(7))));
}

#[test]
fn former_claim_is_unknown_after_skipped_records() {
    let mut elector = elector_with_claim("other");
    elector.skip_to(8);
    elector.apply_read(at(10), at(10), vec![(8, Record::Claim(owner("me", 1)))], 9);
    assert_eq!(elector.former_claim(), None);
    elector.apply_read(
        at(20),
        at(20),
        vec![(9, Record::Claim(owner("next", 1)))],
        10,
    );
    let former = elector.former_claim().map(|claim| claim.token);
    assert_eq!(former, Some(Token(9)));
}

/// Applies a claim at `offset` and then `renewals` renewals of it, all read at `ms`; returns the next
/// offset.
fn apply_tenure(elector: &mut Elector, ms: u64, offset: u64, name: &str, renewals: u64) -> u64 {
    let claim = (offset, Record::Claim(owner(name, 1)));
    let renewals = (1..=renewals).map(|index| (offset + index, renewal(name, offset + 1)));
    let records: Vec<(u64, Record)> = std::iter::once(claim).chain(renewals).collect();
    let next = offset + records.len() as u64;
    elector.apply_read(at(ms), at(ms), records, next);
    next
}

/// Returns how long after `ms` the elector claims the cell when all reads show nothing new.
fn silence_before_claim(elector: &mut Elector, ms: u64) -> u64 {
    let next = elector.next_offset();
    let mut silences = (0..20_000).step_by(50);
    let silence = silences.find(|silence| {
        elector.apply_read(at(ms + silence), at(ms + silence), Vec::new(), next);
        elector.action(at(ms + silence)).is_some()
    });
    silence.unwrap()
}

#[test]
fn silence_doubles_with_each_owner_that_was_replaced_before_it_settled() {
    for (replaced, silence) in [(0, 1_100), (1, 2_200), (2, 4_400), (3, 8_800), (9, 8_800)] {
        let mut elector = Elector::new(RULES, owner("me", 1));
        let mut next = apply_tenure(&mut elector, 10, 4, "settled", 20);
        for _ in 0..=replaced {
            next = apply_tenure(&mut elector, 10, next, "other", 1);
        }
        assert_eq!(silence_before_claim(&mut elector, 10), silence);
    }
}

#[test]
fn silence_is_the_usual_one_once_an_owner_has_settled() {
    let mut elector = Elector::new(RULES, owner("me", 1));
    let next = apply_tenure(&mut elector, 10, 4, "first", 1);
    apply_tenure(&mut elector, 10, next, "second", 20);
    assert_eq!(silence_before_claim(&mut elector, 10), 1_100);
    elector = Elector::new(RULES, owner("me", 1));
    let next = apply_tenure(&mut elector, 10, 4, "first", 1);
    let next = apply_tenure(&mut elector, 10, next, "second", 20);
    apply_tenure(&mut elector, 10, next, "third", 1);
    assert_eq!(silence_before_claim(&mut elector, 10), 1_100);
}

#[test]
fn owner_that_released_the_cell_does_not_lengthen_the_silence() {
    let mut elector = Elector::new(RULES, owner("me", 1));
    let mut next = apply_tenure(&mut elector, 10, 4, "settled", 20);
    for _ in 0..3 {
        let token = next + 1;
        next = apply_tenure(&mut elector, 10, next, "stopping", 1);
        let release = vec![(next, Record::Release(Token(token)))];
        next += 1;
        elector.apply_read(at(10), at(10), release, next);
    }
    apply_tenure(&mut elector, 10, next, "other", 1);
    assert_eq!(silence_before_claim(&mut elector, 10), 1_100);
}

#[test]
fn former_claim_is_unknown_after_a_record_that_cannot_be_decoded() {
    let mut elector = elector_with_claim("other");
    elector.note_skipped();
    elector.apply_read(at(10), at(10), vec![(6, Record::Claim(owner("me", 1)))], 7);
    assert_eq!(elector.former_claim(), None);
}

#[test]
fn claim_of_an_owner_that_has_restarted_counts_as_released() {
    let mut elector = elector_with_claim("other");
    let restarted = vec![(5, Record::Present(owner("other", 2)))];
    elector.apply_read(at(10), at(5), restarted, 6);
    assert!(elector.claim().unwrap().is_released);
    assert!(!elector.is_owned_elsewhere(at(10)));
    assert_eq!(elector.action(at(20)), Some(Action::Claim { at: 6 }));
}

#[test]
fn announcement_from_before_the_claim_leaves_it_in_force() {
    let mut elector = Elector::new(RULES, owner("me", 1));
    let claim = vec![(4, Record::Claim(owner("other", 2)))];
    elector.apply_read(at(0), at(0), claim, 5);
    let late = vec![
        (5, Record::Present(owner("other", 1))),
        (6, Record::Present(owner("other", 2))),
        (7, Record::Present(owner("third", 3))),
    ];
    elector.apply_read(at(10), at(5), late, 8);
    assert!(!elector.claim().unwrap().is_released);
}

#[test]
fn entry_without_a_link_is_cut_off_only_after_time_to_dial_the_owner_of_the_claim() {
    let mut elector = elector_with_claim("other");
    let unlinked_since = at(1_000);
    elector.apply_read(at(1_000), at(990), vec![(5, renewal("other", 5))], 6);
    assert!(!elector.is_cut_off(at(1_200), unlinked_since));
    assert!(elector.is_cut_off(at(1_300), unlinked_since));
    let successor = Record::Claim(owner("third", 1));
    elector.apply_read(at(1_400), at(1_390), vec![(6, successor)], 7);
    assert!(
        !elector.is_cut_off(at(1_450), unlinked_since),
        "the new owner has not been dialled yet"
    );
    elector.apply_read(at(2_350), at(2_340), vec![(7, renewal("third", 7))], 8);
    assert!(elector.is_cut_off(at(2_400), unlinked_since));
}

#[test]
fn entry_without_an_owner_measures_silence_finer_than_entries_claim_after_each_other() {
    let round_trip = Duration::from_millis(25);
    let elector = elector_with_claim("other");
    assert!(elector.read_wait(false) <= round_trip * 4);
    assert!(elector.read_wait(true) > elector.read_wait(false));
    let unread = Elector::new(RULES, owner("me", 1));
    assert_eq!(unread.read_wait(false), Duration::ZERO);
}

#[test]
fn log_is_read_soon_after_a_link_is_up_and_then_seldom() {
    let new = linked_read_pause(Duration::from_millis(10));
    let old = linked_read_pause(Duration::from_secs(10));
    assert!(new * 4 < old);
}
