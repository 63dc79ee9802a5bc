//! Wrong ways of the program that the laboratory's checker must find.

use amberspindle::api::Micros;
use amberspindle::mutant::{self, Mutant};
use amberspindle_lab::deployment::Deployment;
use amberspindle_lab::plan::{Fault, Plan};
use amberspindle_lab::world::World;

const BROKERS: usize = 12;
const BOXES: usize = 16;
/// Most boxes: a further attempt finds one that takes it.
const MOST: usize = BOXES - 2;

/// The rules that a day breaks, each once, on which the first boxes have a fault from the second second on.
fn broken(with: Option<Mutant>, boxes: usize, fault: impl Fn(usize) -> Fault) -> Vec<&'static str> {
    mutant::set_active(with);
    let mut plan = Plan::of(Deployment::lessons(), 1, BROKERS, BOXES);
    plan.faults = (0..boxes).map(|n| (Micros::from_secs(2.0), fault(n))).collect();
    let mut world = World::new(plan);
    world.play();
    mutant::set_active(None);
    let mut rules: Vec<&'static str> = world.rules.broken.iter().map(|broken| broken.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn nothing_is_found_where_nothing_is_wrong() {
    assert!(broken(None, MOST, Fault::FullToOdd).is_empty());
    assert!(broken(None, BOXES, Fault::Drains).is_empty());
}

#[test]
fn a_floor_that_further_attempts_ignore_is_found() {
    assert_eq!(broken(Some(Mutant::FloorOfFirstAttempt), MOST, Fault::FullToOdd), ["under its floor"]);
}

#[test]
fn a_second_final_answer_is_found() {
    assert!(broken(Some(Mutant::AnsweredTwice), MOST, Fault::FullToOdd).contains(&"two answers"));
}

/// All boxes drain, so that requests are held until their time is up.
#[test]
fn a_held_request_that_nobody_answers_is_found() {
    assert!(broken(Some(Mutant::ForgottenDeadline), BOXES, Fault::Drains).contains(&"lost"));
}
