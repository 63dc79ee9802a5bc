//! Reloads the configuration while requests wait and sessions play.

use super::{Node, name_at};
use crate::api::Micros;
use crate::broker::Input;
use crate::config::Config;
use crate::operate::settings::{MergedSettings, merge};
use crate::platform::links::Command;
use crate::platform::timings::Timings;
use crate::roster::SettingNames;
use crate::watch::judge::Role;
use crate::whip::Title;

impl Node {
    /// Applies the settings and the front of a new configuration. Waiting requests and playing
    /// sessions go on as they were accepted. Returns the fields that take effect only after a restart.
    pub fn reload(&mut self, now: Micros, config: &Config, out: &mut Vec<Command>) -> Vec<&'static str> {
        let titles = self.whip.iter().flat_map(|whip| whip.titles().values().map(|t| (t.class, t.tenant)));
        let titles: Vec<(usize, usize)> = titles.collect();
        let merged = merge(
            (&self.settings, &self.names),
            (&config.settings, &config.names),
            |class| {
                let is_of_title = titles.iter().any(|(c, _)| *c == class);
                is_of_title || self.broker.uses_class(class) || self.hook.uses_class(class)
            },
            |tenant| {
                let is_of_title = titles.iter().any(|(_, t)| *t == tenant);
                is_of_title || self.broker.uses_tenant(tenant) || self.hook.uses_tenant(tenant)
            },
        );
        self.reload_front(config, &merged);
        let MergedSettings { settings, names, deferred, .. } = merged;
        self.timings = Timings::new(&settings, config.idle, config.connect_timeout);
        self.links.update_timings(self.timings);
        (self.names, self.settings, self.reloaded_at) = (names, settings.clone(), now);
        self.handle_input(now, Input::Settings(Box::new(settings)), out);
        deferred
    }

    /// Returns the names that the settings in use define.
    pub fn names(&self) -> &SettingNames {
        &self.names
    }

    /// Applies the front of a new configuration; waiting requests and playing sessions are unaffected. Watched
    /// titles stay as their files have them, with the classes and tenants that their names stand for now.
    fn reload_front(&mut self, config: &Config, merged: &MergedSettings) {
        let watch = config.watch.as_ref();
        if let (Some(whip), Some(new)) = (&mut self.whip, &config.whip) {
            let mut setup = new.setup.clone();
            for title in setup.titles.values_mut() {
                title.class = merged.class_numbers.get(title.class).copied().unwrap_or(title.class);
                title.tenant = merged.tenant_numbers.get(title.tenant).copied().unwrap_or(title.tenant);
            }
            if watch.is_some_and(|w| w.lists.iter().any(|f| f.role == Role::Titles)) {
                setup.titles = whip.titles().clone();
                setup.titles.values_mut().for_each(|title| renumber(title, &self.names, &merged.names));
            }
            whip.reclass(merged.settings.classes.clone());
            whip.reload(setup);
        }
    }
}

/// Gives a title the class and the tenant that their names stand for in the new settings. Where a name is not defined
/// any more, the title keeps the entry that it had, which stays as long as a title refers to it.
fn renumber(title: &mut Title, old: &SettingNames, new: &SettingNames) {
    title.class = new.defined_class(name_at(&old.classes, title.class)).unwrap_or(title.class);
    title.tenant = new.defined_tenant(name_at(&old.tenants, title.tenant)).unwrap_or(title.tenant);
}
