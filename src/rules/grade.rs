//! What differs between two documents, by field, and how far both may be acted on at once.

use super::document::{Limit, Rules};

/// How far two versions of an item may be acted on at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Grade {
    /// Any mix will do.
    AnyMix,
    /// No two for longer than `skew_ms`.
    Bounded,
    /// Never two at once.
    Never,
}

/// Kinds of differences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A limit lets less through, or there was none.
    Tightened,
    /// A limit lets more through, or is gone.
    Loosened,
    /// A limit of which no two may be acted on at once has changed.
    Exact,
    /// What refused clients are told, or what a process does that is unsure.
    Manner,
    /// A server is barred.
    Barred,
    /// It no longer is.
    Allowed,
}

impl Grade {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Grade::AnyMix => "any mix",
            Grade::Bounded => "no two for longer than skew_ms",
            Grade::Never => "never two at once",
        }
    }
}

/// The table: each kind's grade, and the reason.
pub const TABLE: [(Kind, Grade, &str); 6] = [
    (
        Kind::Tightened,
        Grade::Bounded,
        "a tenant held to less here gets more there, for as long as that lasts",
    ),
    (
        Kind::Loosened,
        Grade::Bounded,
        "who waits for the next version goes by the stricter until it is in force",
    ),
    (Kind::Exact, Grade::Never, "the document says so: never_two"),
    (
        Kind::Manner,
        Grade::AnyMix,
        "clients of one front see one manner; nothing is let through or refused by it",
    ),
    (Kind::Barred, Grade::AnyMix, "the safe direction: it counts wherever it is heard, as a drain does"),
    (
        Kind::Allowed,
        Grade::Bounded,
        "the way back: no front sends there before all have heard that it may be",
    ),
];

impl Kind {
    /// Its grade, and the reason.
    pub fn grade(self) -> (Grade, &'static str) {
        let found = TABLE.iter().find(|(kind, ..)| *kind == self);
        found.map_or((Grade::Never, "not in the table"), |(_, grade, why)| (*grade, *why))
    }
}

/// A difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The field, such as `limit[lee-beds/*].most_per_s`.
    pub field: String,
    /// From what, to what.
    pub what: String,
    /// Its kind.
    pub kind: Kind,
}

fn change(field: String, from: impl ToString, to: impl ToString, kind: Kind) -> Change {
    Change { field, what: format!("{} to {}", from.to_string(), to.to_string()), kind }
}

/// All that differs, limits first, in the order of the documents.
pub fn diff(old: &Rules, new: &Rules) -> Vec<Change> {
    let mut found = Vec::new();
    let same = |all: &[Limit], limit: &Limit| all.iter().find(|l| l.of() == limit.of()).cloned();
    for limit in &new.limit {
        let before = same(&old.limit, limit);
        let exact = limit.never_two || before.as_ref().is_some_and(|b| b.never_two);
        let kind = |plain| if exact { Kind::Exact } else { plain };
        let Some(before) = before else {
            let field = format!("{}.most_per_s", limit.name());
            found.push(change(field, "no limit", limit.most_per_s, kind(Kind::Tightened)));
            continue;
        };
        if before.most_per_s != limit.most_per_s {
            let tighter = limit.most_per_s < before.most_per_s;
            let plain = if tighter { Kind::Tightened } else { Kind::Loosened };
            let field = format!("{}.most_per_s", limit.name());
            found.push(change(field, before.most_per_s, limit.most_per_s, kind(plain)));
        }
        if before.never_two != limit.never_two {
            let field = format!("{}.never_two", limit.name());
            found.push(change(field, before.never_two, limit.never_two, Kind::Exact));
        }
        let manner = |l: &Limit| (l.wait_ms, l.when_unsure, l.least_per_s);
        if manner(&before) != manner(limit) {
            let text = |l: &Limit| format!("{:?}", manner(l));
            found.push(change(format!("{} manner", limit.name()), text(&before), text(limit), Kind::Manner));
        }
    }
    for gone in old.limit.iter().filter(|l| same(&new.limit, l).is_none()) {
        let kind = if gone.never_two { Kind::Exact } else { Kind::Loosened };
        found.push(change(format!("{}.most_per_s", gone.name()), gone.most_per_s, "no limit", kind));
    }
    for server in new.server.iter().filter(|s| !old.bars(&s.barred)) {
        found.push(change(format!("server[{}]", server.barred), "allowed", "barred", Kind::Barred));
    }
    for server in old.server.iter().filter(|s| !new.bars(&s.barred)) {
        found.push(change(format!("server[{}]", server.barred), "barred", "allowed", Kind::Allowed));
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_kind_of_difference_is_named_by_field_and_graded() {
        let read = |text: &str| Rules::read("", text).unwrap();
        let old = read(
            "[[limit]]\ntenant = \"a\"\nmost_per_s = 50\n[[limit]]\ntenant = \"b\"\nmost_per_s = 5\n\
             [[limit]]\ntenant = \"c\"\nmost_per_s = 5\nnever_two = true\n[[server]]\nbarred = \"x\"\n",
        );
        let new = read(
            "[[limit]]\ntenant = \"a\"\nmost_per_s = 20\nwait_ms = 5\n[[limit]]\ntenant = \"c\"\nmost_per_s = 9\n\
             never_two = true\n[[limit]]\nclass = \"d\"\nmost_per_s = 1\n[[server]]\nbarred = \"y\"\n",
        );
        let found: Vec<_> = diff(&old, &new).into_iter().map(|c| (c.field, c.kind)).collect();
        assert_eq!(
            found,
            [
                ("limit[a/*].most_per_s".to_owned(), Kind::Tightened),
                ("limit[a/*] manner".to_owned(), Kind::Manner),
                ("limit[c/*].most_per_s".to_owned(), Kind::Exact),
                ("limit[*/d].most_per_s".to_owned(), Kind::Tightened),
                ("limit[b/*].most_per_s".to_owned(), Kind::Loosened),
                ("server[y]".to_owned(), Kind::Barred),
                ("server[x]".to_owned(), Kind::Allowed),
            ]
        );
        assert!(diff(&new, &new).is_empty());
        assert!(TABLE.iter().all(|(kind, grade, _)| kind.grade().0 == *grade));
    }
}
