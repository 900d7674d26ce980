//! Replays of ranks that leave commands unanswered.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_expert::drive::Patience;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Ranks that have to confirm a command while a step is held.
const RANKS: usize = 16;
/// Share of commands without an answer.
const LOST: f64 = 0.4;
/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(6);

fn after_answers(took: Duration) -> Patience {
    let mut patience = Patience::default();
    for _ in 0..50 {
        patience.record(took);
    }
    patience
}

/// Returns the time until every rank has answered, when each command without an answer is repeated
/// after `wait`.
fn time_held(wait: Duration, random: &mut ChaCha8Rng) -> Duration {
    let confirm = |random: &mut ChaCha8Rng| {
        let mut time = ANSWER;
        while random.random_bool(LOST) {
            time += wait;
        }
        time
    };
    (0..RANKS).map(|_| confirm(random)).max().unwrap()
}

/// With a wait fixed at 150 ms, a group was held for half a second whenever two commands in five stayed
/// without an answer.
#[test]
fn a_group_is_held_a_fraction_of_the_time_when_the_wait_follows_the_answers() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mean = |wait: Duration, random: &mut ChaCha8Rng| {
        (0..200).map(|_| time_held(wait, random)).sum::<Duration>() / 200
    };
    let fixed = mean(Patience::default().wait(), &mut random);
    let adapted = mean(after_answers(ANSWER).wait(), &mut random);
    assert!(adapted < fixed / 4, "{adapted:?} of {fixed:?}");
}

#[test]
fn slow_answers_are_waited_for() {
    let slow = Duration::from_millis(60);
    assert!(after_answers(slow).wait() >= slow);
    let mut uneven = after_answers(Duration::from_millis(10));
    for _ in 0..10 {
        uneven.record(Duration::from_millis(10));
        uneven.record(Duration::from_millis(50));
    }
    assert!(uneven.wait() >= Duration::from_millis(50));
}

/// A driver that takes over prepares maps while a step is held, before it has had any answer.
#[test]
fn the_first_maps_of_a_driver_are_repeated_as_soon_as_other_commands() {
    let first = Patience::for_maps().wait();
    assert!(first <= Patience::default().wait(), "{first:?}");
    // On a narrow link the wait grows with the answers.
    let mut slow = Patience::for_maps();
    (0..50).for_each(|_| slow.record(Duration::from_millis(400)));
    assert!(slow.wait() >= Duration::from_millis(400), "{:?}", slow.wait());
}
