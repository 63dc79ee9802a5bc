use super::*;

fn version(number: u64, text: &str) -> Version {
    let (author, note) = (String::new(), String::new());
    let digest = Version::digest_of(text);
    Version { number, parent: number - 1, digest, author, at_ms: 0, note, text: text.into() }
}

fn limit(most: u32, more: &str) -> String {
    format!("[[limit]]\ntenant = \"a\"\nmost_per_s = {most}\n{more}\n")
}

fn word(force: u64, announced: u64, versions: &[Version]) -> Word {
    Word { force, announced, versions: versions.to_vec(), last: force.max(announced), fresh: Micros(100) }
}

fn per_s(standing: &Standing, now: u64) -> Option<u32> {
    match standing.ruling(Boot(now), "a", "x") {
        Ruling::Limit { per_s, .. } => Some(per_s),
        Ruling::Free => Some(u32::MAX),
        Ruling::Refuse(_) => None,
    }
}

const DRIFT: Micros = Micros(10);

#[test]
fn freshness_counts_from_the_sending_of_the_beat_less_the_part_for_drift() {
    let mut standing = Standing::default();
    assert_eq!((standing.sure(Boot(5)), per_s(&standing, 5)), (Sure::None, Some(u32::MAX)));
    standing.told(Boot(10), Boot(60), &word(1, 0, &[version(1, &limit(50, "least_per_s = 7"))]), DRIFT);
    assert_eq!((standing.sure(Boot(99)), per_s(&standing, 99)), (Sure::Fresh(1), Some(50)));
    assert_eq!((standing.sure(Boot(100)), per_s(&standing, 100)), (Sure::Unsure(1), Some(7)));
    assert_eq!(standing.ruling(Boot(99), "b", "x"), Ruling::Free, "another tenant");
    standing.told(Boot(120), Boot(121), &word(1, 0, &[]), DRIFT);
    assert_eq!(standing.sure(Boot(209)), Sure::Fresh(1));
}

#[test]
fn between_two_versions_the_stricter_counts_whichever_that_is() {
    for (old, new) in [(50, 20), (20, 50)] {
        let mut standing = Standing::default();
        standing.told(Boot(0), Boot(1), &word(1, 0, &[version(1, &limit(old, ""))]), DRIFT);
        standing.told(Boot(10), Boot(11), &word(1, 2, &[version(2, &limit(new, ""))]), DRIFT);
        assert_eq!((standing.sure(Boot(12)), per_s(&standing, 12)), (Sure::Between(1, 2), Some(20)));
        assert_eq!(standing.says(), (1, 2, None));
        // An answer from before the announcement does not take the acceptance back.
        standing.told(Boot(12), Boot(13), &word(1, 0, &[]), DRIFT);
        assert_eq!((standing.sure(Boot(14)), per_s(&standing, 14)), (Sure::Between(1, 2), Some(20)));
        standing.told(Boot(20), Boot(21), &word(2, 0, &[]), DRIFT);
        assert_eq!((standing.sure(Boot(22)), per_s(&standing, 22)), (Sure::Fresh(2), Some(new)));
        // A late answer of a deposed leader winds nothing back.
        standing.told(Boot(21), Boot(23), &word(1, 2, &[]), DRIFT);
        assert_eq!(standing.sure(Boot(24)), Sure::Fresh(2));
    }
}

#[test]
fn a_limit_that_is_new_or_goes_counts_between_the_two() {
    let mut standing = Standing::default();
    standing.told(Boot(0), Boot(1), &word(1, 2, &[version(1, ""), version(2, &limit(5, ""))]), DRIFT);
    assert_eq!(per_s(&standing, 2), Some(5));
    let mut standing = Standing::default();
    standing.told(Boot(0), Boot(1), &word(1, 2, &[version(1, &limit(5, "")), version(2, "")]), DRIFT);
    assert_eq!(per_s(&standing, 2), Some(5));
    standing.told(Boot(5), Boot(6), &word(2, 0, &[]), DRIFT);
    assert_eq!(per_s(&standing, 7), Some(u32::MAX));
}

#[test]
fn what_may_never_be_two_is_refused_between_them_and_when_unsure() {
    let exact = |most| limit(most, "never_two = true");
    let mut standing = Standing::default();
    standing.told(Boot(0), Boot(1), &word(1, 0, &[version(1, &exact(50))]), DRIFT);
    assert_eq!((per_s(&standing, 2), per_s(&standing, 95)), (Some(50), None));
    standing.told(Boot(100), Boot(101), &word(1, 2, &[version(2, &exact(60))]), DRIFT);
    assert_eq!(per_s(&standing, 102), None);
    // The same in both: nothing of it changes.
    standing.told(Boot(103), Boot(104), &word(2, 3, &[version(3, &(exact(60) + "wait_ms = 9"))]), DRIFT);
    assert_eq!(per_s(&standing, 105), Some(60));
}

#[test]
fn a_document_says_what_those_do_who_no_longer_know() {
    for (manner, then) in [("keep", Some(50)), ("strictest", Some(0)), ("refuse", None)] {
        let text = limit(50, &format!("when_unsure = \"{manner}\""));
        let mut standing = Standing::default();
        standing.told(Boot(0), Boot(1), &word(1, 0, &[version(1, &text)]), DRIFT);
        assert_eq!((per_s(&standing, 2), per_s(&standing, 500)), (Some(50), then), "{manner}");
    }
}

#[test]
fn a_bar_counts_from_the_first_word_of_it_and_until_no_version_says_so() {
    let bar = version(2, "[[server]]\nbarred = \"x\"\n");
    let mut standing = Standing::default();
    standing.told(Boot(0), Boot(1), &word(1, 2, &[version(1, ""), bar]), DRIFT);
    assert!(standing.bars("x") && !standing.bars("y"));
    standing.told(Boot(5), Boot(6), &word(2, 3, &[version(3, "")]), DRIFT);
    assert!(standing.bars("x"), "the way back needs all");
    standing.told(Boot(7), Boot(8), &word(3, 0, &[]), DRIFT);
    assert!(!standing.bars("x"));
}

#[test]
fn a_version_that_cannot_be_read_is_refused_and_not_gone_by() {
    let mut standing = Standing::default();
    standing.told(Boot(0), Boot(1), &word(1, 0, &[version(1, &limit(50, ""))]), DRIFT);
    standing.told(Boot(5), Boot(6), &word(1, 2, &[version(2, "[[newer]]\n")]), DRIFT);
    let (force, accepted, refused) = standing.says();
    assert_eq!((force, accepted, refused.as_ref().map(|r| r.0)), (1, 1, Some(2)));
    assert_eq!(per_s(&standing, 7), Some(50));
    standing.told(Boot(8), Boot(9), &word(2, 0, &[]), DRIFT);
    assert_eq!(standing.sure(Boot(10)), Sure::Unsure(1), "it came into force all the same");
    let other = Version { digest: "0".into(), ..version(3, "") };
    standing.told(Boot(11), Boot(12), &word(2, 3, &[other]), DRIFT);
    assert!(standing.says().2.is_some_and(|(_, why)| why.contains("digest")));
}
