//! An operator's script beside the broker. It may refuse a request or lower its top rung, and it hears of
//! outcomes. It never picks servers and never sends again.

use std::fmt;

use rhai::packages::{Package, StandardPackage};
use rhai::{AST, Dynamic, Engine, Map, Scope};

use crate::api::{Micros, Request, Rung, SessionId};

/// What a script says to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may go on, up to this rung.
    Pass(Rung),
    /// It is refused; its client is to stay away so long.
    Refuse(Micros),
}

/// A script that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HookError(pub String);

impl fmt::Display for HookError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for HookError {}

/// A script that is loaded. After its first error it is left out.
pub struct Hook {
    engine: Engine,
    script: AST,
    on_request: bool,
    on_outcome: bool,
}

/// Longest text, list and map that a script may build.
const LARGEST: usize = 64 * 1024;

impl Hook {
    /// Compiles a script that may do so many operations in a call. It can load neither files nor modules.
    pub fn new(text: &str, operations: u64) -> Result<Hook, HookError> {
        let mut engine = Engine::new_raw();
        StandardPackage::new().register_into_engine(&mut engine);
        engine.disable_symbol("eval");
        engine.set_max_operations(operations.max(1));
        engine.set_max_call_levels(16);
        engine.set_max_string_size(LARGEST);
        engine.set_max_array_size(LARGEST / 16);
        engine.set_max_map_size(LARGEST / 16);
        engine.on_print(|_| {});
        engine.on_debug(|_, _, _| {});
        let script = engine.compile(text).map_err(|e| HookError(format!("can't be read: {e}")))?;
        let has = |name: &str| script.iter_functions().any(|f| f.name == name && f.params.len() == 1);
        let (on_request, on_outcome) = (has("on_request"), has("on_outcome"));
        if !on_request && !on_outcome {
            return Err(HookError("has neither on_request(request) nor on_outcome(outcome)".into()));
        }
        Ok(Hook { engine, script, on_request, on_outcome })
    }

    /// Whether anything of the script is still used.
    pub fn active(&self) -> bool {
        self.on_request || self.on_outcome
    }

    fn call(&mut self, name: &str, argument: Map) -> Result<Dynamic, HookError> {
        let mut scope = Scope::new();
        let result = self.engine.call_fn::<Dynamic>(&mut scope, &self.script, name, (argument,));
        result.map_err(|e| {
            // It is not asked again: the broker goes on without it.
            (self.on_request, self.on_outcome) = (false, false);
            HookError(e.to_string().replace('\n', " "))
        })
    }

    /// Asks the script about a request. On an error the request goes on as if there were no script.
    pub fn on_request(
        &mut self,
        request: &Request,
        class: &str,
        tenant: &str,
    ) -> Result<Decision, HookError> {
        if !self.on_request {
            return Ok(Decision::Pass(request.top));
        }
        let top = i64::try_from(request.top.0).unwrap_or(i64::MAX);
        let fields: [(&str, Dynamic); 6] = [
            ("class", class.into()),
            ("tenant", tenant.into()),
            ("title", (&*request.title).into()),
            ("viewer", (&*request.viewer).into()),
            ("top", top.into()),
            ("again", request.is_returning.into()),
        ];
        let said = self.call("on_request", fields.into_iter().map(|(k, v)| (k.into(), v)).collect())?;
        if said.is_unit() {
            return Ok(Decision::Pass(request.top));
        }
        let Some(map) = said.try_cast::<Map>() else { return self.misspoke("neither nothing nor a map") };
        if map.get("refuse").and_then(|r| r.as_bool().ok()) == Some(true) {
            let wait = map.get("wait_ms").and_then(|w| w.as_int().ok()).unwrap_or(0).max(0);
            return Ok(Decision::Refuse(Micros(wait.unsigned_abs().saturating_mul(1000))));
        }
        match map.get("top") {
            None => Ok(Decision::Pass(request.top)),
            Some(top) => match top.as_int().ok().and_then(|t| usize::try_from(t).ok()) {
                // It may be lowered only.
                Some(top) => Ok(Decision::Pass(request.top.min(Rung(top)))),
                None => self.misspoke("a top that is no rung"),
            },
        }
    }

    fn misspoke(&mut self, what: &str) -> Result<Decision, HookError> {
        (self.on_request, self.on_outcome) = (false, false);
        Err(HookError(format!("on_request gave {what}")))
    }

    /// Tells the script how a request or a session came out.
    pub fn on_outcome(&mut self, id: SessionId, outcome: &str) -> Result<(), HookError> {
        if !self.on_outcome {
            return Ok(());
        }
        let fields: [(&str, Dynamic); 2] =
            [("id", format!("{:016x}", id.0).into()), ("outcome", outcome.into())];
        self.call("on_outcome", fields.into_iter().map(|(k, v)| (k.into(), v)).collect()).map(|_| ())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Text;

    fn ask(text: &str) -> Result<Decision, HookError> {
        let request = Request::new(SessionId(1), Text::from("sofa"), Micros(0), 3, 4);
        Hook::new(text, 10_000)?.on_request(&request, "clip", "home")
    }

    #[test]
    fn a_script_may_refuse_or_lower_the_top_and_no_more() {
        assert_eq!(ask("fn on_request(r) { }"), Ok(Decision::Pass(Rung(4))));
        assert_eq!(ask("fn on_request(r) { #{top: 2} }"), Ok(Decision::Pass(Rung(2))));
        assert_eq!(ask("fn on_request(r) { #{top: 9} }"), Ok(Decision::Pass(Rung(4))));
        let refuse = "fn on_request(r) { if r.title == \"sofa\" { #{refuse: true, wait_ms: 250} } }";
        assert_eq!(ask(refuse), Ok(Decision::Refuse(Micros(250_000))));
    }

    #[test]
    fn a_script_that_fails_is_left_out_and_the_request_goes_on() {
        for text in [
            "fn on_request(r) { loop { } }",
            "fn on_request(r) { r.none.of_these }",
            "fn on_request(r) { 7 }",
            "fn on_request(r) { #{top: -1} }",
            "fn on_request(r) { eval(\"1\") }",
        ] {
            let request = Request::new(SessionId(1), Text::from("sofa"), Micros(0), 3, 4);
            let Ok(mut hook) = Hook::new(text, 10_000) else { continue };
            assert!(hook.on_request(&request, "", "").is_err(), "{text}");
            assert!(!hook.active());
            assert_eq!(hook.on_request(&request, "", ""), Ok(Decision::Pass(Rung(4))));
        }
    }

    #[test]
    fn scripts_without_a_hook_or_with_imports_are_turned_away() {
        assert!(Hook::new("let x = 1;", 10).is_err());
        assert!(Hook::new("import \"files\" as f; fn on_request(r) { }", 10).is_err());
        assert!(Hook::new("fn on_request(", 10).is_err());
    }
}
