use super::*;

fn version(number: u64, text: &str) -> Version {
    let (author, note) = (String::new(), String::new());
    let digest = Version::digest_of(text);
    Version { number, parent: number - 1, digest, author, at_ms: 0, note, text: text.into() }
}

fn limit(most: u32, more: &str) -> String {
    format!("[[limit]]\ntenant = \"a\"\nmost_per_s = {most}\n{more}\n")
}

fn word(force: u64, announced: u64, versions: &[Version]) -> RulesUpdate {
    RulesUpdate {
        force,
        announced,
        versions: versions.to_vec(),
        last: force.max(announced),
        fresh: Micros(100),
    }
}

fn per_s(standing: &LocalRules, now: u64) -> Option<u32> {
    match standing.ruling(BootTime(now), "a", "x") {
        RateDecision::Limit { per_s, .. } => Some(per_s),
        RateDecision::Free => Some(u32::MAX),
        RateDecision::Refuse(_) => None,
    }
}

const DRIFT: Micros = Micros(10);

#[test]
fn freshness_counts_from_the_sending_of_the_beat_less_the_part_for_drift() {
    let mut standing = LocalRules::default();
    assert_eq!((standing.sure(BootTime(5)), per_s(&standing, 5)), (RulesFreshness::None, Some(u32::MAX)));
    standing.told(
        BootTime(10),
        BootTime(60),
        &word(1, 0, &[version(1, &limit(50, "least_per_s = 7"))]),
        DRIFT,
    );
    assert_eq!((standing.sure(BootTime(99)), per_s(&standing, 99)), (RulesFreshness::Fresh(1), Some(50)));
    assert_eq!((standing.sure(BootTime(100)), per_s(&standing, 100)), (RulesFreshness::Unsure(1), Some(7)));
    assert_eq!(standing.ruling(BootTime(99), "b", "x"), RateDecision::Free, "another tenant");
    standing.told(BootTime(120), BootTime(121), &word(1, 0, &[]), DRIFT);
    assert_eq!(standing.sure(BootTime(209)), RulesFreshness::Fresh(1));
}

#[test]
fn between_two_versions_the_stricter_counts_whichever_that_is() {
    for (old, new) in [(50, 20), (20, 50)] {
        let mut standing = LocalRules::default();
        standing.told(BootTime(0), BootTime(1), &word(1, 0, &[version(1, &limit(old, ""))]), DRIFT);
        standing.told(BootTime(10), BootTime(11), &word(1, 2, &[version(2, &limit(new, ""))]), DRIFT);
        assert_eq!(
            (standing.sure(BootTime(12)), per_s(&standing, 12)),
            (RulesFreshness::Between(1, 2), Some(20))
        );
        assert_eq!(standing.says(), (1, 2, None));
        // An answer from before the announcement does not take the acceptance back.
        standing.told(BootTime(12), BootTime(13), &word(1, 0, &[]), DRIFT);
        assert_eq!(
            (standing.sure(BootTime(14)), per_s(&standing, 14)),
            (RulesFreshness::Between(1, 2), Some(20))
        );
        standing.told(BootTime(20), BootTime(21), &word(2, 0, &[]), DRIFT);
        assert_eq!(
            (standing.sure(BootTime(22)), per_s(&standing, 22)),
            (RulesFreshness::Fresh(2), Some(new))
        );
        // A late answer of a deposed leader winds nothing back.
        standing.told(BootTime(21), BootTime(23), &word(1, 2, &[]), DRIFT);
        assert_eq!(standing.sure(BootTime(24)), RulesFreshness::Fresh(2));
    }
}

#[test]
fn a_limit_that_is_new_or_goes_counts_between_the_two() {
    let mut standing = LocalRules::default();
    standing.told(BootTime(0), BootTime(1), &word(1, 2, &[version(1, ""), version(2, &limit(5, ""))]), DRIFT);
    assert_eq!(per_s(&standing, 2), Some(5));
    let mut standing = LocalRules::default();
    standing.told(BootTime(0), BootTime(1), &word(1, 2, &[version(1, &limit(5, "")), version(2, "")]), DRIFT);
    assert_eq!(per_s(&standing, 2), Some(5));
    standing.told(BootTime(5), BootTime(6), &word(2, 0, &[]), DRIFT);
    assert_eq!(per_s(&standing, 7), Some(u32::MAX));
}

#[test]
fn what_may_never_be_two_is_refused_between_them_and_when_unsure() {
    let exact = |most| limit(most, "never_two = true");
    let mut standing = LocalRules::default();
    standing.told(BootTime(0), BootTime(1), &word(1, 0, &[version(1, &exact(50))]), DRIFT);
    assert_eq!((per_s(&standing, 2), per_s(&standing, 95)), (Some(50), None));
    standing.told(BootTime(100), BootTime(101), &word(1, 2, &[version(2, &exact(60))]), DRIFT);
    assert_eq!(per_s(&standing, 102), None);
    // The same in both: nothing of it changes.
    standing.told(
        BootTime(103),
        BootTime(104),
        &word(2, 3, &[version(3, &(exact(60) + "wait_ms = 9"))]),
        DRIFT,
    );
    assert_eq!(per_s(&standing, 105), Some(60));
}

#[test]
fn a_document_says_what_those_do_who_no_longer_know() {
    for (manner, then) in [("keep", Some(50)), ("strictest", Some(0)), ("refuse", None)] {
        let text = limit(50, &format!("when_unsure = \"{manner}\""));
        let mut standing = LocalRules::default();
        standing.told(BootTime(0), BootTime(1), &word(1, 0, &[version(1, &text)]), DRIFT);
        assert_eq!((per_s(&standing, 2), per_s(&standing, 500)), (Some(50), then), "{manner}");
    }
}

#[test]
fn a_bar_counts_from_the_first_word_of_it_and_until_no_version_says_so() {
    let bar = version(2, "[[server]]\nbarred = \"x\"\n");
    let mut standing = LocalRules::default();
    standing.told(BootTime(0), BootTime(1), &word(1, 2, &[version(1, ""), bar]), DRIFT);
    assert!(standing.bars("x") && !standing.bars("y"));
    standing.told(BootTime(5), BootTime(6), &word(2, 3, &[version(3, "")]), DRIFT);
    assert!(standing.bars("x"), "the way back needs all");
    standing.told(BootTime(7), BootTime(8), &word(3, 0, &[]), DRIFT);
    assert!(!standing.bars("x"));
}

#[test]
fn a_version_that_cannot_be_read_is_refused_and_not_gone_by() {
    let mut standing = LocalRules::default();
    standing.told(BootTime(0), BootTime(1), &word(1, 0, &[version(1, &limit(50, ""))]), DRIFT);
    standing.told(BootTime(5), BootTime(6), &word(1, 2, &[version(2, "[[newer]]\n")]), DRIFT);
    let (force, accepted, refused) = standing.says();
    assert_eq!((force, accepted, refused.as_ref().map(|r| r.0)), (1, 1, Some(2)));
    assert_eq!(per_s(&standing, 7), Some(50));
    standing.told(BootTime(8), BootTime(9), &word(2, 0, &[]), DRIFT);
    assert_eq!(standing.sure(BootTime(10)), RulesFreshness::Unsure(1), "it came into force all the same");
    let other = Version { digest: "0".into(), ..version(3, "") };
    standing.told(BootTime(11), BootTime(12), &word(2, 3, &[other]), DRIFT);
    assert!(standing.says().2.is_some_and(|(_, why)| why.contains("digest")));
}
