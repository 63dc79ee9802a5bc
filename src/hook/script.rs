//! A compiled script and its calls.

use std::rc::Rc;

use rhai::packages::{Package, StandardPackage};
use rhai::{AST, Dynamic, Engine, EvalAltResult, Map, Scope};

use super::captures::Captures;
use super::limits::CallMeter;
use super::{Call, CallLimits, Decision, HookError, Reply, RequestFacts, checked_text};
use crate::api::{Micros, Rung, SessionId};

/// The longest text, and the most bytes of all texts of one value.
const MAX_TEXT_BYTES: usize = 64 * 1024;
/// The most entries of a list or a map.
pub(super) const MAX_ENTRIES: usize = 4 * 1024;
/// The most nested calls.
const MAX_CALL_LEVELS: usize = 16;
/// The deepest nesting of expressions, outside of functions and in them.
const MAX_EXPRESSION_DEPTH: usize = 64;
const MAX_FUNCTION_EXPRESSION_DEPTH: usize = 32;
/// The longest text of a thrown value in the reason of an error.
const MAX_THROWN_TEXT_BYTES: usize = 1024;
/// The longest script; it bounds the time and the memory for compiling it.
const MAX_SCRIPT_BYTES: usize = 64 * 1024;
const ON_REQUEST: &str = "on_request";
const ON_OUTCOME: &str = "on_outcome";

/// A compiled script.
pub struct Script {
    engine: Engine,
    program: AST,
    meter: Rc<CallMeter>,
    captures: Rc<Captures>,
    has_on_request: bool,
    has_on_outcome: bool,
}

impl Script {
    /// Compiles a script. It can load neither files nor modules.
    pub fn new(text: &str, limits: CallLimits) -> Result<Script, HookError> {
        if text.len() > MAX_SCRIPT_BYTES {
            return Err(HookError(format!("longer than {} KiB", MAX_SCRIPT_BYTES / 1024)));
        }
        let meter = Rc::new(CallMeter::new(limits));
        let captures = Rc::new(Captures::default());
        let engine = engine(&limits, meter.clone(), &captures);
        let program = engine.compile(text).map_err(|e| HookError(format!("can't be read: {e}")))?;
        let has = |name: &str| program.iter_functions().any(|f| f.name == name && f.params.len() == 1);
        let (has_on_request, has_on_outcome) = (has(ON_REQUEST), has(ON_OUTCOME));
        if !has_on_request && !has_on_outcome {
            return Err(HookError("has neither on_request(request) nor on_outcome(outcome)".into()));
        }
        Ok(Script { engine, program, meter, captures, has_on_request, has_on_outcome })
    }

    /// Makes a call. A function that the script does not have lets every request pass. The stack of the thread must have
    /// [`CallLimits::stack_bytes`].
    pub fn call(&self, call: &Call) -> Reply {
        let reply = self.reply(call);
        self.captures.empty();
        reply
    }

    fn reply(&self, call: &Call) -> Reply {
        match call {
            Call::Request(facts) if self.has_on_request => self.on_request(facts).map(Some),
            Call::Request(facts) => Ok(Some(Decision::Pass(facts.top))),
            Call::Outcome(id, outcome) if self.has_on_outcome => self.on_outcome(*id, outcome).map(|()| None),
            Call::Outcome(..) => Ok(None),
        }
    }

    fn on_request(&self, facts: &RequestFacts) -> Result<Decision, HookError> {
        let top = i64::try_from(facts.top.0).unwrap_or(i64::MAX);
        let fields: [(&str, Dynamic); 6] = [
            ("class", facts.class.as_str().into()),
            ("tenant", facts.tenant.as_str().into()),
            ("title", (&*facts.title).into()),
            ("viewer", (&*facts.viewer).into()),
            ("top", top.into()),
            ("again", facts.is_returning.into()),
        ];
        decision(self.run(ON_REQUEST, &fields)?, facts.top)
    }

    fn on_outcome(&self, id: SessionId, outcome: &str) -> Result<(), HookError> {
        let fields: [(&str, Dynamic); 2] =
            [("id", format!("{:016x}", id.0).into()), ("outcome", outcome.into())];
        self.run(ON_OUTCOME, &fields).map(drop)
    }

    fn run(&self, function: &str, fields: &[(&str, Dynamic)]) -> Result<Dynamic, HookError> {
        let argument: Map = fields.iter().map(|(key, value)| ((*key).into(), value.clone())).collect();
        self.meter.begin();
        let result = self.engine.call_fn::<Dynamic>(&mut Scope::new(), &self.program, function, (argument,));
        result.map_err(|e| HookError(reason(&e)))
    }
}

/// Creates an engine whose calls end once they exceed a limit.
fn engine(limits: &CallLimits, meter: Rc<CallMeter>, captures: &Rc<Captures>) -> Engine {
    let mut engine = Engine::new_raw();
    StandardPackage::new().register_into_engine(&mut engine);
    checked_text::register(&mut engine, MAX_TEXT_BYTES);
    engine.disable_symbol("eval");
    // It nests values in a function pointer without a variable. Closures do not need it to capture.
    engine.disable_symbol("curry");
    captures.register(&mut engine);
    engine.set_max_operations(limits.operations.max(1));
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_FUNCTION_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAX_TEXT_BYTES);
    engine.set_max_array_size(MAX_ENTRIES);
    engine.set_max_map_size(MAX_ENTRIES);
    engine.on_progress(move |_| meter.exceeded().map(Dynamic::from));
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    engine
}

/// Returns the reason of an error on one line. A thrown value is rendered within limits, as it may be a closure whose
/// variables lead back to it.
fn reason(error: &EvalAltResult) -> String {
    match error.unwrap_inner() {
        EvalAltResult::ErrorTerminated(limit, _) => limit.to_string(),
        EvalAltResult::ErrorRuntime(thrown, position) => {
            let text = checked_text::value_text_within(thrown, MAX_THROWN_TEXT_BYTES);
            let text = text.unwrap_or_else(|| format!("a value of type {}", thrown.type_name()));
            format!("Runtime error: {text} ({position})").replace('\n', " ")
        }
        _ => error.to_string().replace('\n', " "),
    }
}

/// Reads what `on_request` returned. The top rung may be lowered only.
fn decision(returned: Dynamic, top: Rung) -> Result<Decision, HookError> {
    let invalid = |what: &str| Err(HookError(format!("on_request gave {what}")));
    if returned.is_unit() {
        return Ok(Decision::Pass(top));
    }
    let Some(map) = returned.try_cast::<Map>() else { return invalid("neither nothing nor a map") };
    if map.get("refuse").and_then(|refuse| refuse.as_bool().ok()) == Some(true) {
        let wait_ms = map.get("wait_ms").and_then(|wait| wait.as_int().ok()).unwrap_or(0).max(0);
        return Ok(Decision::Refuse(Micros(wait_ms.unsigned_abs().saturating_mul(1000))));
    }
    let Some(lowered) = map.get("top") else { return Ok(Decision::Pass(top)) };
    match lowered.as_int().ok().and_then(|rung| usize::try_from(rung).ok()) {
        Some(rung) => Ok(Decision::Pass(top.min(Rung(rung)))),
        None => invalid("a top that is no rung"),
    }
}

#[cfg(test)]
mod tests;
