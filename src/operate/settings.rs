//! New settings under requests that are under way: what is taken at once, what waits for the next start, and the
//! table of classes, whose entries stay as they are while anything refers to them.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::api::Settings;
use crate::roster::SettingNames;

/// Settings with the names that go with them, as they are to be used from now on.
#[derive(Clone, Debug)]
pub struct Merged {
    /// The settings; classes and tenants under the numbers of the table.
    pub settings: Settings,
    /// The names.
    pub names: SettingNames,
    /// The table's number for each class of the new file.
    pub classes: Vec<usize>,
    /// The table's number for each tenant of the new file.
    pub tenants: Vec<usize>,
    /// Fields that differ and wait for the next start.
    pub waits: Vec<&'static str>,
}

/// Places for new entries in a table: an entry that is the same keeps its number, one that is free is taken again
/// (no name led to it before, and nothing refers to it: what goes only now may still be asked for by requests on
/// their way), the others go to the end. Gives the numbers, and the entries that no name leads to from now on.
fn places(
    old: usize,
    new: usize,
    same: impl Fn(usize, usize) -> bool,
    free: impl Fn(usize) -> bool,
) -> (Vec<usize>, BTreeSet<usize>) {
    let kept: Vec<Option<usize>> = (0..new).map(|n| (0..old).find(|o| same(*o, n))).collect();
    let mut taken: BTreeSet<usize> = kept.iter().flatten().copied().collect();
    let mut end = old;
    let mut place = |kept: &Option<usize>| {
        if let Some(kept) = kept {
            return *kept;
        }
        let free = (0..old).find(|o| free(*o) && !taken.contains(o)).unwrap_or(end);
        end = end.max(free + 1);
        taken.insert(free);
        free
    };
    let numbers: Vec<usize> = kept.iter().map(&mut place).collect();
    let retired = (0..end).filter(|n| !numbers.contains(n)).collect();
    (numbers, retired)
}

/// Puts entries at their places.
fn put<T: Clone>(old: &[T], new: &[T], numbers: &[usize]) -> Vec<T> {
    let mut table = old.to_vec();
    for (n, entry) in numbers.iter().zip(new) {
        if *n < table.len() {
            table[*n] = entry.clone();
        } else {
            // Numbers beyond the end are given in order.
            table.push(entry.clone());
        }
    }
    table
}

/// Joins new settings with those in use. `in_use` says whether anything refers to a class or a tenant.
pub fn merge(
    old: (&Settings, &SettingNames),
    new: (&Settings, &SettingNames),
    class_in_use: impl Fn(usize) -> bool,
    tenant_in_use: impl Fn(usize) -> bool,
) -> Merged {
    let ((had, named), (want, wanted)) = (old, new);
    let mut settings = want.clone();
    let mut waits = Vec::new();
    // The module's books, and what servers and fronts were told, are shaped by these.
    let shapes: [(&str, bool); 6] = [
        ("settings.FamilyInfo.LadderKb", had.rung_kb.len() == want.rung_kb.len()),
        ("settings.FamilyInfo.Places", had.cells == want.cells),
        ("settings.FamilyInfo.Racks", had.racks == want.racks),
        ("settings.Azs", named.zones == wanted.zones),
        ("settings.Kinds", named.kinds == wanted.kinds),
        ("settings.Discovery", had.discovery == want.discovery),
    ];
    waits.extend(shapes.into_iter().filter(|(_, same)| !same).map(|(field, _)| field));
    if waits.contains(&"settings.FamilyInfo.LadderKb") {
        (settings.rung_kb, settings.rung_worth) = (had.rung_kb.clone(), had.rung_worth.clone());
    }
    (settings.cells, settings.racks, settings.discovery) = (had.cells, had.racks, had.discovery);
    settings.kind_streams =
        if waits.is_empty() { want.kind_streams.clone() } else { had.kind_streams.clone() };

    let same_class = |o: usize, n: usize| {
        named.classes.get(o) == wanted.classes.get(n) && had.classes.get(o) == want.classes.get(n)
    };
    let (classes, retired_classes) = places(had.classes.len(), want.classes.len(), same_class, |o| {
        named.retired_classes.contains(&o) && !class_in_use(o)
    });
    settings.classes = put(&had.classes, &want.classes, &classes);
    // A tenant's share may change under its requests: it is not theirs but the tenant's.
    let same_tenant = |o: usize, n: usize| named.tenants.get(o) == wanted.tenants.get(n);
    let (tenants, retired_tenants) = places(had.tenants.len(), want.tenants.len(), same_tenant, |o| {
        named.retired_tenants.contains(&o) && !tenant_in_use(o)
    });
    settings.tenants = put(&had.tenants, &want.tenants, &tenants);
    let names = SettingNames {
        classes: put(&named.classes, &wanted.classes, &classes),
        tenants: put(&named.tenants, &wanted.tenants, &tenants),
        zones: named.zones.clone(),
        kinds: named.kinds.clone(),
        retired_classes,
        retired_tenants,
        recently_changed: true,
    };
    Merged { settings, names, classes, tenants, waits }
}

/// Keys that a class must have, as without them it would mean something else.
const OF_A_CLASS: [&str; 4] = ["Name", "Effect", "Slo", "Deadline"];
/// Keys that may come and go.
const OPTIONAL: [&str; 4] = ["console", "known", "board", "seed"];

/// The path of a key that the file in force has and a new one lacks: the platform writes whole files.
pub fn missing(old: &Value, new: &Value) -> Option<String> {
    let lacks = |old: &Value, new: &Value, path: &str| -> Option<String> {
        let old = old.as_object()?;
        let gone = |key: &&String| new.get(key.as_str()).is_none_or(Value::is_null);
        let key = old.iter().filter(|(_, v)| !v.is_null()).map(|(k, _)| k).find(gone)?;
        Some(format!("{path}{key}"))
    };
    let mut root = old.clone();
    if let Some(root) = root.as_object_mut() {
        OPTIONAL.iter().for_each(|key| drop(root.remove(*key)));
    }
    let (had, has) = (&old["settings"], &new["settings"]);
    let parts = ["Limits", "Rules", "FamilyInfo"];
    let of_class = || {
        let classes = has["RequestClasses"].as_array()?;
        let all_had =
            |key: &str| had["RequestClasses"].as_array().is_some_and(|c| c.iter().all(|c| !c[key].is_null()));
        classes.iter().enumerate().find_map(|(i, class)| {
            let key = OF_A_CLASS.iter().find(|key| class[**key].is_null() && all_had(key))?;
            Some(format!("settings.RequestClasses[{i}].{key}"))
        })
    };
    lacks(&root, new, "")
        .or_else(|| lacks(had, has, "settings."))
        .or_else(|| {
            parts.iter().find_map(|part| lacks(&had[*part], &has[*part], &format!("settings.{part}.")))
        })
        .or_else(of_class)
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;
    use crate::api::{Class, Idempotency, Micros, Tenant};

    fn of(classes: &[(&str, Idempotency)], tenants: &[&str]) -> (Settings, SettingNames) {
        let mut settings = Settings::new(vec![1.0], vec![1.0]);
        let class = |(_, effect): &(&str, Idempotency)| Class::new(Micros(1), Micros(2), *effect);
        settings.classes = classes.iter().map(class).collect();
        settings.tenants = tenants.iter().map(|_| Tenant { quota_per_s: Some(1.0) }).collect();
        let names = SettingNames {
            classes: classes.iter().map(|(name, _)| (*name).to_owned()).collect(),
            tenants: tenants.iter().map(|t| (*t).to_owned()).collect(),
            ..SettingNames::default()
        };
        (settings, names)
    }

    fn merged(old: &(Settings, SettingNames), new: &(Settings, SettingNames), in_use: &[usize]) -> Merged {
        merge((&old.0, &old.1), (&new.0, &new.1), |n| in_use.contains(&n), |n| in_use.contains(&n))
    }

    /// Guards against a stricter effect that holds for requests that were taken under the old one, and the other
    /// way round.
    #[test]
    fn a_class_that_changes_or_goes_keeps_its_entry_while_it_is_in_use() {
        let old = of(&[("paid", Idempotency::Unsafe), ("clip", Idempotency::Safe)], &["home"]);
        let new = of(
            &[("clip", Idempotency::Unsafe), ("paid", Idempotency::Unsafe), ("new", Idempotency::Safe)],
            &["lee", "home"],
        );
        let got = merged(&old, &new, &[0, 1]);
        assert_eq!(got.classes, [2, 0, 3]);
        assert_eq!(got.settings.classes[1].idempotency, Idempotency::Safe, "under way");
        let named = |name: &str| got.names.class(name);
        assert_eq!((named("clip"), named("paid"), named("new")), (Some(2), Some(0), Some(3)));
        assert_eq!(got.tenants, [1, 0]);
        let gone = merged(&(got.settings, got.names), &of(&[("new", Idempotency::Safe)], &["home"]), &[0]);
        assert_eq!((gone.names.class("paid"), gone.names.class("new")), (Some(0), Some(3)), "on their way");
        let names = SettingNames { recently_changed: false, ..gone.names };
        assert_eq!((names.class("paid"), names.class("new")), (None, Some(3)));
        assert_eq!(gone.settings.classes.len(), 4);
    }

    /// Guards against a table that grows with every file.
    #[test]
    fn entries_that_nothing_refers_to_are_taken_again() {
        let mut now = of(&[("paid", Idempotency::Unsafe)], &["home"]);
        for n in 0..1000 {
            let (a, b) = (format!("c{n}"), format!("t{n}"));
            let got = merged(
                &now,
                &of(&[("paid", Idempotency::Unsafe), (&a, Idempotency::Safe)], &["home", &b]),
                &[0],
            );
            now = (got.settings, got.names);
        }
        assert!(now.0.classes.len() <= 3 && now.0.tenants.len() <= 3, "{:?}", now.1);
        assert_eq!((now.1.class("c999").is_some(), now.1.class("c997")), (true, None));
    }

    #[test]
    fn a_file_that_lacks_a_key_of_the_one_in_force_is_not_whole() {
        let class = json!({"Name": "paid", "Effect": "read_like", "Slo": 1, "Deadline": 2});
        let old = json!({"name": "n", "listen": "x", "known": {}, "limits": {"sockets": 1},
            "settings": {"Fees": {}, "Limits": {"AttemptsCap": 4}, "RequestClasses": [class]}});
        assert_eq!(missing(&old, &old), None);
        let without = |path: &str, key: &str| {
            let mut new = old.clone();
            new.pointer_mut(path).unwrap().as_object_mut().unwrap().remove(key);
            missing(&old, &new)
        };
        for (path, key, told) in [
            ("", "limits", "limits"),
            ("", "settings", "settings"),
            ("/settings", "Fees", "settings.Fees"),
            ("/settings/Limits", "AttemptsCap", "settings.Limits.AttemptsCap"),
            ("/settings/RequestClasses/0", "Effect", "settings.RequestClasses[0].Effect"),
        ] {
            assert_eq!(without(path, key).as_deref(), Some(told));
        }
        assert_eq!(without("", "known"), None);
    }
}
