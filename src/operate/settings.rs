//! Reload of settings while requests are in progress: which fields apply at once, which wait for the next start,
//! and the tables of classes and tenants, whose entries stay unchanged while anything refers to them.

use std::collections::BTreeSet;

use crate::api::Settings;
use crate::roster::SettingNames;

/// Settings and their names after a reload.
#[derive(Clone, Debug)]
pub struct MergedSettings {
    /// The settings. Classes and tenants have the numbers of the tables.
    pub settings: Settings,
    /// The names of classes, tenants, zones and kinds.
    pub names: SettingNames,
    /// The number in the table for each class of the new file.
    pub class_numbers: Vec<usize>,
    /// The number in the table for each tenant of the new file.
    pub tenant_numbers: Vec<usize>,
    /// The fields that differ and take effect at the next start.
    pub deferred: Vec<&'static str>,
}

/// Assigns numbers in a table to new entries: an unchanged entry keeps its number, a changed or new one takes a
/// free number or is appended. A number is free if it was retired before this reload and nothing refers to it; one
/// that is retired only now may still be named by requests on their way. Returns the numbers and the retired ones,
/// to which no name leads from now on.
fn assign_numbers(
    old: usize,
    new: usize,
    same: impl Fn(usize, usize) -> bool,
    free: impl Fn(usize) -> bool,
) -> (Vec<usize>, BTreeSet<usize>) {
    let kept: Vec<Option<usize>> = (0..new).map(|n| (0..old).find(|o| same(*o, n))).collect();
    let mut taken: BTreeSet<usize> = kept.iter().flatten().copied().collect();
    let mut end = old;
    let mut assign = |kept: &Option<usize>| {
        if let Some(kept) = kept {
            return *kept;
        }
        let free = (0..old).find(|o| free(*o) && !taken.contains(o)).unwrap_or(end);
        end = end.max(free + 1);
        taken.insert(free);
        free
    };
    let numbers: Vec<usize> = kept.iter().map(&mut assign).collect();
    let retired = (0..end).filter(|n| !numbers.contains(n)).collect();
    (numbers, retired)
}

/// Returns the table with the new entries at their numbers.
fn update_table<T: Clone>(old: &[T], new: &[T], numbers: &[usize]) -> Vec<T> {
    let mut table = old.to_vec();
    for (n, entry) in numbers.iter().zip(new) {
        if *n < table.len() {
            table[*n] = entry.clone();
        } else {
            // Numbers beyond the end were assigned in order.
            table.push(entry.clone());
        }
    }
    table
}

/// Merges new settings into those in force. `class_in_use` and `tenant_in_use` return whether anything refers to
/// the class or tenant of a number.
pub fn merge(
    old: (&Settings, &SettingNames),
    new: (&Settings, &SettingNames),
    class_in_use: impl Fn(usize) -> bool,
    tenant_in_use: impl Fn(usize) -> bool,
) -> MergedSettings {
    let ((old_settings, old_names), (new_settings, new_names)) = (old, new);
    let mut settings = new_settings.clone();
    let mut deferred = Vec::new();
    // The state of the module, and what servers and clients were sent, depends on the shape of these fields.
    let fixed_shapes: [(&str, bool); 6] = [
        ("settings.FamilyInfo.LadderKb", old_settings.rung_kb.len() == new_settings.rung_kb.len()),
        ("settings.FamilyInfo.Places", old_settings.cells == new_settings.cells),
        ("settings.FamilyInfo.Racks", old_settings.racks == new_settings.racks),
        ("settings.Azs", old_names.zones == new_names.zones),
        ("settings.Kinds", old_names.kinds == new_names.kinds),
        ("settings.Discovery", old_settings.discovery == new_settings.discovery),
    ];
    deferred.extend(fixed_shapes.into_iter().filter(|(_, same)| !same).map(|(field, _)| field));
    if deferred.contains(&"settings.FamilyInfo.LadderKb") {
        (settings.rung_kb, settings.rung_worth) =
            (old_settings.rung_kb.clone(), old_settings.rung_worth.clone());
    }
    (settings.cells, settings.racks, settings.discovery) =
        (old_settings.cells, old_settings.racks, old_settings.discovery);
    // Limits change at the next start only.
    settings.idle_title_bytes = old_settings.idle_title_bytes;
    settings.kind_streams = if deferred.is_empty() {
        new_settings.kind_streams.clone()
    } else {
        old_settings.kind_streams.clone()
    };

    let same_class = |o: usize, n: usize| {
        old_names.classes.get(o) == new_names.classes.get(n)
            && old_settings.classes.get(o) == new_settings.classes.get(n)
    };
    let (class_numbers, retired_classes) =
        assign_numbers(old_settings.classes.len(), new_settings.classes.len(), same_class, |o| {
            old_names.retired_classes.contains(&o) && !class_in_use(o)
        });
    settings.classes = update_table(&old_settings.classes, &new_settings.classes, &class_numbers);
    // The share of a tenant may change while its requests are in progress, as it belongs to the tenant, not to them.
    let same_tenant = |o: usize, n: usize| old_names.tenants.get(o) == new_names.tenants.get(n);
    let (tenant_numbers, retired_tenants) =
        assign_numbers(old_settings.tenants.len(), new_settings.tenants.len(), same_tenant, |o| {
            old_names.retired_tenants.contains(&o) && !tenant_in_use(o)
        });
    settings.tenants = update_table(&old_settings.tenants, &new_settings.tenants, &tenant_numbers);
    let names = SettingNames {
        classes: update_table(&old_names.classes, &new_names.classes, &class_numbers),
        tenants: update_table(&old_names.tenants, &new_names.tenants, &tenant_numbers),
        zones: old_names.zones.clone(),
        kinds: old_names.kinds.clone(),
        retired_classes,
        retired_tenants,
        recently_changed: true,
    };
    MergedSettings { settings, names, class_numbers, tenant_numbers, deferred }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{Class, Idempotency, Micros, Tenant};

    fn settings_with(classes: &[(&str, Idempotency)], tenants: &[&str]) -> (Settings, SettingNames) {
        let mut settings = Settings::new(vec![1.0], vec![1.0]);
        let class = |(_, idempotency): &(&str, Idempotency)| Class::new(Micros(1), Micros(2), *idempotency);
        settings.classes = classes.iter().map(class).collect();
        settings.tenants = tenants.iter().map(|_| Tenant { quota_per_s: Some(1.0) }).collect();
        let names = SettingNames {
            classes: classes.iter().map(|(name, _)| (*name).to_owned()).collect(),
            tenants: tenants.iter().map(|t| (*t).to_owned()).collect(),
            ..SettingNames::default()
        };
        (settings, names)
    }

    fn merged(
        old: &(Settings, SettingNames),
        new: &(Settings, SettingNames),
        in_use: &[usize],
    ) -> MergedSettings {
        merge((&old.0, &old.1), (&new.0, &new.1), |n| in_use.contains(&n), |n| in_use.contains(&n))
    }

    /// Guards against requests whose idempotency changes after they were accepted, to a stricter or to a laxer one.
    #[test]
    fn keeps_the_entry_of_a_changed_or_removed_class_while_in_use() {
        let old = settings_with(&[("paid", Idempotency::Unsafe), ("clip", Idempotency::Safe)], &["home"]);
        let new = settings_with(
            &[("clip", Idempotency::Unsafe), ("paid", Idempotency::Unsafe), ("new", Idempotency::Safe)],
            &["lee", "home"],
        );
        let got = merged(&old, &new, &[0, 1]);
        assert_eq!(got.class_numbers, [2, 0, 3]);
        assert_eq!(got.settings.classes[1].idempotency, Idempotency::Safe, "requests are in progress");
        let number = |name: &str| got.names.class(name);
        assert_eq!((number("clip"), number("paid"), number("new")), (Some(2), Some(0), Some(3)));
        assert_eq!(got.tenant_numbers, [1, 0]);
        let gone = merged(
            &(got.settings, got.names),
            &settings_with(&[("new", Idempotency::Safe)], &["home"]),
            &[0],
        );
        assert_eq!(
            (gone.names.class("paid"), gone.names.class("new")),
            (Some(0), Some(3)),
            "requests may be on their way"
        );
        let names = SettingNames { recently_changed: false, ..gone.names };
        assert_eq!((names.class("paid"), names.class("new")), (None, Some(3)));
        assert_eq!(gone.settings.classes.len(), 4);
    }

    /// Guards against a table that grows with every reload.
    #[test]
    fn reuses_retired_entries_that_nothing_refers_to() {
        let mut now = settings_with(&[("paid", Idempotency::Unsafe)], &["home"]);
        for n in 0..1000 {
            let (a, b) = (format!("c{n}"), format!("t{n}"));
            let got = merged(
                &now,
                &settings_with(&[("paid", Idempotency::Unsafe), (&a, Idempotency::Safe)], &["home", &b]),
                &[0],
            );
            now = (got.settings, got.names);
        }
        assert!(now.0.classes.len() <= 3 && now.0.tenants.len() <= 3, "{:?}", now.1);
        assert_eq!((now.1.class("c999").is_some(), now.1.class("c997")), (true, None));
    }
}
