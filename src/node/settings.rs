//! Reloads the configuration while requests wait and sessions play.

use super::Node;
use crate::api::Micros;
use crate::broker::Input;
use crate::config::Config;
use crate::operate::settings::{MergedSettings, merge};
use crate::platform::links::Command;
use crate::platform::timings::Timings;
use crate::roster::SettingNames;
use crate::watch::judge::Role;

impl Node {
    /// Applies the settings and the front of a new configuration. Waiting requests and playing
    /// sessions go on as they were accepted. Returns the fields that take effect only after a restart.
    pub fn reload(&mut self, now: Micros, config: &Config, out: &mut Vec<Command>) -> Vec<&'static str> {
        let titles = self.whip.iter().flat_map(|whip| whip.titles().values().map(|t| (t.class, t.tenant)));
        let titles: Vec<(usize, usize)> = titles.collect();
        let merged = merge(
            (&self.settings, &self.names),
            (&config.settings, &config.names),
            |class| self.broker.uses_class(class) || titles.iter().any(|(c, _)| *c == class),
            |tenant| self.broker.uses_tenant(tenant) || titles.iter().any(|(_, t)| *t == tenant),
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
    /// titles stay as their files have them.
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
            }
            whip.reclass(merged.settings.classes.clone());
            whip.reload(setup);
        }
    }
}
