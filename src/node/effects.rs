//! What goes to the core, and what it decides, carried out.

use super::viewers::Reply;
use super::{Node, named};
use crate::api::*;
use crate::broker::{Description, Effect, Input};
use crate::hook::{Decision, HookError};
use crate::operate::figures::Outcome;
use crate::platform::links::Command;
use crate::platform::viewer;

impl Node {
    /// A request goes to the core, unless the operator's script refuses it.
    pub(super) fn ask(
        &mut self,
        now: Micros,
        mut request: Request,
        offer: Description,
        out: &mut Vec<Command>,
    ) {
        self.figures.record_request(request.id, named(&self.names.classes, request.class));
        if let Some(tracer) = &mut self.tracer {
            let most = self.settings.classes.get(request.class).map_or(Rung(0), |class| class.top);
            let class = (named(&self.names.classes, request.class), most);
            tracer.request_received(now, &request, class, named(&self.names.tenants, request.tenant));
        }
        if self.phase.rejects_requests(now) {
            // Nothing of it was sent on, and this process ends or drains: another one takes it.
            return self.carry_out(now, Effect::Refused(request.id, Micros(0)), out);
        }
        if let Err(wait) = self.let_through(now, &request) {
            return self.carry_out(now, Effect::Refused(request.id, wait), out);
        }
        if let Some(hook) = &mut self.hook {
            let (class, tenant) =
                (named(&self.names.classes, request.class), named(&self.names.tenants, request.tenant));
            let verdict = hook.on_request(&request, class, tenant);
            match self.unhook(verdict) {
                Some(Decision::Refuse(wait)) => {
                    return self.carry_out(now, Effect::Refused(request.id, wait), out);
                }
                Some(Decision::Pass(top)) => request.top = top,
                None => {}
            }
        }
        self.tell(now, Input::Request(request, offer), out);
    }

    /// An error of the script is logged, and the broker goes on without it.
    pub(super) fn unhook<T>(&mut self, result: Result<T, HookError>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.log.push(format!("hook off reason={error}"));
                self.hook = None;
                None
            }
        }
    }

    pub(super) fn observed(&mut self, effect: &Effect) {
        let Some(hook) = &mut self.hook else { return };
        let (id, outcome) = match effect {
            Effect::Established(id, _) => (*id, "plays"),
            Effect::Refused(id, _) => (*id, "refused"),
            Effect::Failed(id, _) => (*id, "failed"),
            Effect::Ended(id, _) => (*id, "ended"),
            Effect::Moved(id) => (*id, "moved"),
            _ => return,
        };
        let told = hook.on_outcome(id, outcome);
        self.unhook(told);
    }

    pub(super) fn tell(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        if let Input::ClientLeft(id) = &input {
            self.figures.record_withdrawal(*id);
        }
        if let Some(tracer) = &mut self.tracer {
            tracer.record_input(now, &input);
        }
        let mut effects = Vec::new();
        self.broker.handle(now, input, &mut effects);
        for effect in effects {
            self.carry_out(now, effect, out);
        }
    }

    pub(super) fn carry_out(&mut self, now: Micros, effect: Effect, out: &mut Vec<Command>) {
        self.observed(&effect);
        if let Some(tracer) = &mut self.tracer {
            tracer.record_effect(now, &effect);
        }
        match &effect {
            Effect::Refused(id, _) => {
                self.refusals += 1;
                self.figures.record_answer(*id, Outcome::Throttled);
            }
            Effect::Failed(id, _) => self.figures.record_answer(*id, Outcome::Faulted),
            Effect::SetUp(_) => self.attempts += 1,
            _ => {}
        }
        match effect {
            Effect::Established(id, answer) if self.owned_by_whip(id) => {
                self.figures.record_answer(id, Outcome::Fulfilled);
                let ice = self.pool.ice(id).to_vec();
                self.whip(now, out, |whip, _, wishes| whip.plays(now, id, answer, ice, wishes));
                self.whip(now, out, |whip, sure, wishes| whip.read_on(now, sure, wishes));
            }
            Effect::Refused(id, wait) if self.owned_by_whip(id) => {
                self.whip(now, out, |whip, _, wishes| whip.refused(id, wait, wishes));
                self.whip(now, out, |whip, sure, wishes| whip.read_on(now, sure, wishes));
            }
            Effect::Failed(id, why) if self.owned_by_whip(id) => {
                self.whip(now, out, |whip, _, wishes| whip.failed(now, id, why, wishes));
                self.whip(now, out, |whip, sure, wishes| whip.read_on(now, sure, wishes));
            }
            Effect::Ended(id, _) if self.owned_by_whip(id) => {
                self.whip(now, out, |whip, _, wishes| whip.over(now, id, false, wishes));
            }
            Effect::Moved(id) if self.owned_by_whip(id) => {
                self.whip(now, out, |whip, _, wishes| whip.over(now, id, true, wishes));
            }
            Effect::SetUp(set_up) => self.send(now, &set_up, out),
            Effect::Withdraw(id, server) => self.give_up(now, id, server, out),
            Effect::Release(id, _) if self.pool.holds(id) => self.pool.release(now, id, out),
            Effect::Rate(id, server, rung) => {
                if self.pool.holds(id) {
                    self.pool.rate(now, id, rung, out);
                } else {
                    self.links.rate(now, id, &server, rung, out);
                }
                if self.owned_by_whip(id) {
                    self.whip(now, out, |whip, _, wishes| whip.rated(id, rung, wishes));
                }
            }
            Effect::Release(id, server) => self.links.release(now, id, &server, out),
            Effect::Established(id, description) => {
                let home = self.answered(now, id);
                let line = std::str::from_utf8(&description).ok().map(|text| viewer::answer(id, text));
                match line.filter(|line| line.encode().is_ok()) {
                    Some(line) => {
                        self.figures.record_answer(id, Outcome::Fulfilled);
                        self.reply(now, home, id, &Reply::Plays(line), out);
                        if self.phase.has_yielded() {
                            self.pass(now, id, out);
                        }
                    }
                    None => {
                        self.figures.record_answer(id, Outcome::Faulted);
                        // What can't be passed on unchanged is not passed on.
                        self.reply(now, home, id, &Reply::Over(viewer::failed(id)), out);
                        self.forget(id);
                        self.tell(now, Input::ClientLeft(id), out);
                    }
                }
            }
            Effect::Refused(id, wait) => {
                let home = self.answered(now, id);
                self.forget(id);
                self.reply(now, home, id, &Reply::Over(viewer::refused(id, wait)), out);
            }
            Effect::Failed(id, _) => {
                let home = self.answered(now, id);
                self.forget(id);
                self.reply(now, home, id, &Reply::Over(viewer::failed(id)), out);
            }
            Effect::Ended(id, status) => {
                let home = self.homes.remove(&id);
                if let Some(line) = viewer::ended(id, status) {
                    self.say_anywhere(now, home, &line, out);
                }
            }
            Effect::Moved(id) => {
                let home = self.homes.remove(&id);
                self.say_anywhere(now, home, &viewer::moved(id), out);
            }
            Effect::Log(text) => self.log.push(text),
        }
    }
}
