//! Requests on their way through the operator's script.

use super::{Node, name_at};
use crate::api::{Micros, Request};
use crate::broker::{Effect, Input};
use crate::hook::{
    Admission, Call, CallNumber, Decision, HookError, HookStats, Reply, RequestFacts, WaitingRequest,
};
use crate::platform::links::Command;

impl Node {
    /// Asks the script about a request, or passes the request to the core if there is none or it is busy.
    pub(super) fn ask_script(&mut self, now: Micros, waiting: WaitingRequest, out: &mut Vec<Command>) {
        let facts = self.request_facts(&waiting.request);
        if let Admission::GoesOn(waiting) = self.hook.ask(now, waiting, facts) {
            self.pass_to_core(now, waiting, out);
        }
    }

    /// Puts a script in use whose thread runs. Requests that wait for the one before are asked about again.
    pub fn script_loaded(&mut self, now: Micros, out: &mut Vec<Command>) {
        for waiting in self.hook.script_loaded(now) {
            self.ask_script(now, waiting, out);
        }
    }

    /// Handles a reply of the script.
    pub fn script_replied(&mut self, now: Micros, number: CallNumber, reply: Reply, out: &mut Vec<Command>) {
        match self.hook.replied(now, number, reply) {
            Ok(None) => {}
            Ok(Some((mut waiting, decision))) => match decision {
                Decision::Refuse(wait) => {
                    self.apply_effect(now, Effect::Refused(waiting.request.id, wait), out);
                }
                Decision::Pass(top) => {
                    waiting.request.top = top;
                    self.pass_to_core(now, waiting, out);
                }
            },
            Err(error) => self.turn_script_off(now, &error, out),
        }
    }

    /// Returns the calls of the script since the last call of this function.
    pub fn take_script_calls(&mut self) -> Vec<(CallNumber, Call)> {
        self.hook.take_calls()
    }

    /// Passes on the requests that have waited for the script for too long.
    pub(super) fn expire_script_calls(&mut self, now: Micros, out: &mut Vec<Command>) {
        match self.hook.expire(now) {
            Ok(overdue) => overdue.into_iter().for_each(|waiting| self.pass_to_core(now, waiting, out)),
            Err(error) => self.turn_script_off(now, &error, out),
        }
    }

    /// Passes on all requests that wait for the script, as the process ends or yields.
    pub(super) fn release_from_script(&mut self, now: Micros, out: &mut Vec<Command>) {
        for waiting in self.hook.release_all() {
            self.pass_to_core(now, waiting, out);
        }
    }

    /// Returns the counts of the script.
    pub(super) fn hook_stats(&self) -> HookStats {
        self.hook.stats()
    }

    /// Logs an error of the script and goes on without it.
    fn turn_script_off(&mut self, now: Micros, error: &HookError, out: &mut Vec<Command>) {
        self.log.push(format!("hook off reason={error}"));
        for waiting in self.hook.turn_off() {
            self.pass_to_core(now, waiting, out);
        }
    }

    fn pass_to_core(&mut self, now: Micros, waiting: WaitingRequest, out: &mut Vec<Command>) {
        self.handle_input(now, Input::Request(waiting.request, waiting.offer), out);
    }

    fn request_facts(&self, request: &Request) -> RequestFacts {
        RequestFacts {
            class: name_at(&self.names.classes, request.class).to_owned(),
            tenant: name_at(&self.names.tenants, request.tenant).to_owned(),
            title: request.title.clone(),
            viewer: request.viewer.clone(),
            top: request.top,
            is_returning: request.is_returning,
        }
    }
}
