//! Reads an operator's file.

use std::path::Path;

use serde_json::json;

use super::sections::{OPERATIONS, read_eureka, read_quorum, watched, whip};
use super::{Config, HookConfig, Read, ScriptCheck};
use crate::hook::{CallLimits, Script};
use crate::records::{Bounds, Finding, Findings, OperatorFile, Source};
use crate::watch::judge;

impl Config {
    /// Reads an operator's file. Paths in it start from its folder. All that is wrong is told, not only the first.
    pub fn operator(path: &Path, check: ScriptCheck) -> Read<Config> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| Finding::whole(&name, format!("can't be read: {e}")))?;
        let base = path.parent().unwrap_or(Path::new(""));
        Config::read_operator_text(&name, &text, base, check)
    }

    /// Reads the text of an operator's file.
    pub fn operator_text(name: &str, text: &str, base: &Path) -> Read<Config> {
        Config::read_operator_text(name, text, base, ScriptCheck::Compile)
    }

    fn read_operator_text(name: &str, text: &str, base: &Path, check: ScriptCheck) -> Read<Config> {
        let source = Source::new(name, text);
        let file: OperatorFile = source.read()?;
        // A finding of a part that was read on its own gets its line.
        let placed = |findings: Findings| -> Findings {
            let fields = findings.0.into_iter().map(|f| (f.field, f.reason));
            Findings(source.findings(fields))
        };
        let limits = file.limits.clone().unwrap_or_default();
        let value = json!({
            "name": file.name, "seed": file.seed, "settings": file.settings, "board": file.board.map(|a| a.0), "console": file.console.map(|a| a.0),
            "limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb},
        });
        let settings = Config::read(&value).map_err(placed);
        let mut config = match settings {
            Ok(config) => config,
            // Lists can't be checked without the settings, the rest can.
            Err(mut findings) => {
                if let Err(more) = file.check(&source, &Bounds::default()) {
                    let known = |f: &Finding| findings.0.iter().any(|have| have.field == f.field);
                    let of_lists =
                        |f: &Finding| f.field.starts_with("server[") || f.field.starts_with("title[");
                    let more: Vec<Finding> =
                        more.0.into_iter().filter(|f| !known(f) && !of_lists(f)).collect();
                    findings.0.extend(more);
                }
                return Err(findings);
            }
        };
        file.check(&source, &config.bounds)?;
        config.raw = serde_json::to_value(&file).map_err(|e| Finding::whole(name, e.to_string()))?;
        config.listen = file.platform.as_ref().map(|p| p.listen.0);
        config.servers = file.server.iter().map(|s| judge::listed(s, None, &config.names)).collect();
        config.whip = file.whip.as_ref().map(|record| whip(record, &file, &config.names));
        let eureka = file.eureka.as_ref().map(|record| read_eureka(record, &config)).transpose();
        config.eureka = eureka.map_err(placed)?;
        let watch = file.watch.as_ref().map(|record| watched(record, file.hook.as_ref(), base)).transpose();
        config.watch = watch.map_err(placed)?;
        config.quorum = file.quorum.as_ref().map(|record| read_quorum(record, &config.name, base));
        if let (Some(hook), None) = (&file.hook, &config.watch) {
            let refused = |e: String| placed(Finding::setting("hook.script", e).into());
            let script = std::fs::read_to_string(base.join(&hook.script))
                .map_err(|e| refused(format!("{}: can't be read: {e}", hook.script)))?;
            let operations = hook.operations.unwrap_or(OPERATIONS);
            if check == ScriptCheck::Compile {
                let limits = CallLimits::new(operations, config.memory);
                Script::new(&script, limits).map_err(|e| refused(e.to_string()))?;
            }
            config.hook = Some(HookConfig { text: script, operations });
        }
        Ok(config)
    }
}
