//! What a fleet of brokers does to its boxes, in counts: crowds, boxes that leave, holders that are full, brokers that
//! know nothing. Every day keeps every rule.

use amberspindle::api::Micros;
use amberspindle_lab::plan::{Crowd, Fault, Plan};
use amberspindle_lab::tally::Tally;
use amberspindle_lab::world::World;

const BROKERS: usize = 100;
const BOXES: usize = 60;

fn seconds(s: f64) -> Micros {
    Micros::from_secs(s)
}

/// Plays a day; no rule may break.
fn play(plan: Plan) -> Tally {
    let seed = plan.seed;
    let mut world = World::new(plan);
    world.play();
    assert!(world.rules.broken.is_empty(), "seed {seed}: {:?}", world.rules.broken);
    let t = world.tally;
    println!(
        "seed {seed}: served {:.3}, short {:.0}, tries {:.3}, full {}, connections {:.3}, most over mean {:.2}, in time {}, \
         first {}, refused {}, failed {}, changes {}",
        t.served(),
        t.short,
        t.tries_a_request(),
        t.full,
        t.connections_a_session(),
        t.max_over_mean(BOXES),
        t.in_time,
        t.first,
        t.refused,
        t.failed,
        t.changes
    );
    t
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let day = || play(Plan { length: seconds(8.0), ..Plan::new(5, 20, 18) });
    assert_eq!(day(), day());
}

/// Three crowded days. Before playing sessions were cut at the fullness of what a link gives at the latest, short
/// delivery cost 1,718 there, now 893, and 324 set-ups
/// met a full box, now 236.
#[test]
fn a_crowd_meets_few_full_boxes_opens_few_connections_and_is_not_left_short() {
    let days: Vec<Tally> =
        [3, 4, 5].into_iter().map(|seed| play(Plan::crowded(seed, BROKERS, BOXES))).collect();
    let sum = |of: fn(&Tally) -> f64| days.iter().map(of).sum::<f64>();
    let short = sum(|t| t.short);
    assert!(short < 1200.0, "worth lost to short delivery: {short:.0}");
    let full = sum(|t| t.full as f64);
    assert!(full < 285.0, "answers that a box is full: {full}");
    let connections = sum(|t| t.connections as f64) / sum(|t| t.plays as f64);
    assert!(connections < 0.86, "connections a session: {connections:.3}");
    let tries = sum(|t| t.tries as f64) / sum(|t| t.requests as f64);
    assert!(tries < 1.13, "tries a request: {tries:.3}");
    assert!(days.iter().all(|t| t.max_over_mean(BOXES) < 2.5));
    assert!(days.iter().all(|t| t.in_time as f64 >= 0.98 * t.first as f64));
}

/// Six in ten boxes are replaced within seven seconds, in the middle of a crowd.
#[test]
fn boxes_that_leave_in_a_crowd_cost_no_request_its_answer() {
    let mut plan = Plan::crowded(2, BROKERS, BOXES);
    for n in 0..36 {
        let at = 7.0 + n as f64 * 0.19;
        plan.faults.push((seconds(at), Fault::Drains(n)));
        plan.faults.push((seconds(at + 3.0), Fault::Dies(n)));
        plan.faults.push((seconds(at + 4.0), Fault::Back(n)));
    }
    let t = play(plan);
    assert!(t.in_time as f64 >= 0.9 * t.first as f64);
}

/// A crowd comes for three titles that few boxes hold.
#[test]
fn holders_that_are_all_full_are_not_asked_again_and_again() {
    let mut plan = Plan::new(3, BROKERS, BOXES);
    plan.crowds = vec![Crowd { from: seconds(6.0), until: seconds(12.0), times: 2.5, titles: 3 }];
    let t = play(plan);
    assert!(t.tries_a_request() < 2.0);
}

/// Brokers that know nothing but the list come up in the middle of a crowd.
#[test]
fn brokers_that_start_in_a_crowd_keep_every_rule() {
    let mut plan = Plan::crowded(4, BROKERS, BOXES);
    plan.faults = (0..40).map(|n| (seconds(8.5 + n as f64 * 0.05), Fault::Restart(n))).collect();
    play(plan);
}

/// A third of the boxes fall silent for five seconds.
#[test]
fn boxes_that_fall_silent_cost_some_time_and_no_rule() {
    let mut plan = Plan::new(5, BROKERS, BOXES);
    for n in 0..20 {
        plan.faults.push((seconds(6.0), Fault::Silent(n)));
        plan.faults.push((seconds(11.0), Fault::Back(n)));
    }
    let t = play(plan);
    assert!(t.in_time as f64 >= 0.85 * t.first as f64);
}

/// Some boxes say full to every other broker, whatever room they have.
#[test]
fn a_box_that_is_full_to_some_brokers_is_left_alone_by_these() {
    let mut plan = Plan::new(6, BROKERS, BOXES);
    plan.faults = (0..10).map(|n| (seconds(2.0), Fault::FullToOdd(n))).collect();
    let t = play(plan);
    assert!(t.tries_a_request() < 1.25);
}

/// All brokers hear the whole list anew in the middle of a crowd: they stay as even as without that.
#[test]
fn brokers_that_reload_in_step_do_not_move_in_step() {
    let plain = play(Plan::crowded(7, BROKERS, BOXES));
    let mut plan = Plan::crowded(7, BROKERS, BOXES);
    plan.faults = vec![(seconds(9.0), Fault::Reload), (seconds(10.0), Fault::Reload)];
    let t = play(plan);
    assert!(t.max_over_mean(BOXES) <= 1.15 * plain.max_over_mean(BOXES));
    assert!(t.tries_a_request() <= 1.05 * plain.tries_a_request());
}
