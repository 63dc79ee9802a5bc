//! Passes inputs to the core and carries out the effects that it returns.

use super::viewers::FinalAnswer;
use super::{Node, name_at};
use crate::api::*;
use crate::broker::{Description, Effect, Input};
use crate::hook::WaitingRequest;
use crate::operate::figures::Outcome;
use crate::platform::links::Command;
use crate::platform::viewer;

impl Node {
    /// Passes a request to the core, unless this process turns it away or the rules or the operator's script
    /// refuse it.
    pub(super) fn submit_request(
        &mut self,
        now: Micros,
        request: Request,
        offer: Description,
        out: &mut Vec<Command>,
    ) {
        self.metrics.record_request(request.id, name_at(&self.names.classes, request.class));
        if let Some(tracer) = &mut self.tracer {
            let most = self.settings.classes.get(request.class).map_or(Rung(0), |class| class.top);
            let class = (name_at(&self.names.classes, request.class), most);
            tracer.request_received(now, &request, class, name_at(&self.names.tenants, request.tenant));
        }
        if self.phase.rejects_requests(now) {
            // Nothing was sent to a server, and this process ends or drains: another process can take the
            // request.
            return self.apply_effect(now, Effect::Refused(request.id, Micros(0)), out);
        }
        if let Err(wait) = self.check_rate_limit(now, &request) {
            return self.apply_effect(now, Effect::Refused(request.id, wait), out);
        }
        self.ask_script(now, WaitingRequest { request, offer }, out);
    }

    /// Reports the outcome of a request to the operator's script.
    fn report_outcome(&mut self, now: Micros, effect: &Effect) {
        let (id, outcome) = match effect {
            Effect::Established(id, _) => (*id, "plays"),
            Effect::Refused(id, _) => (*id, "refused"),
            Effect::Failed(id, _) => (*id, "failed"),
            Effect::Ended(id, _) => (*id, "ended"),
            Effect::Moved(id) => (*id, "moved"),
            _ => return,
        };
        self.hook.report_outcome(now, id, outcome);
    }

    /// Passes an input to the core and carries out the effects.
    pub(super) fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        if let Input::ClientLeft(id) = &input {
            self.metrics.record_withdrawal(*id);
        }
        if let Some(tracer) = &mut self.tracer {
            tracer.record_input(now, &input);
        }
        if self.concerns_waiting_request(&input) {
            return;
        }
        let mut effects = Vec::new();
        self.broker.handle(now, input, &mut effects);
        for effect in effects {
            self.apply_effect(now, effect, out);
        }
    }

    /// Whether an input concerns a request that waits for the script, of which the core does not know yet: its client
    /// has withdrawn it, or names a session under its id.
    fn concerns_waiting_request(&mut self, input: &Input) -> bool {
        match input {
            Input::ClientLeft(id) => self.hook.withdraw(*id),
            Input::ExistingSession(request, _) | Input::NamedSession(request, _) => {
                self.hook.contains(request.id)
            }
            _ => false,
        }
    }

    /// Whether a request or a session is known, in the core or on its way there.
    pub(super) fn has_session(&self, id: SessionId) -> bool {
        self.broker.has_session(id) || self.hook.contains(id)
    }

    /// Carries out one effect of the core.
    pub(super) fn apply_effect(&mut self, now: Micros, effect: Effect, out: &mut Vec<Command>) {
        self.report_outcome(now, &effect);
        if let Some(tracer) = &mut self.tracer {
            tracer.record_effect(now, &effect);
        }
        match &effect {
            Effect::Refused(id, _) => {
                self.refusals += 1;
                self.metrics.record_answer(*id, Outcome::Throttled);
            }
            Effect::Failed(id, _) => self.metrics.record_answer(*id, Outcome::Faulted),
            Effect::SetUp(_) => self.attempts += 1,
            _ => {}
        }
        match effect {
            Effect::Established(id, answer) if self.is_whip_session(id) => {
                self.metrics.record_answer(id, Outcome::Fulfilled);
                let ice = self.pool.ice_links(id).to_vec();
                self.with_whip(now, out, |whip, _, actions| whip.plays(now, id, answer, ice, actions));
                self.with_whip(now, out, |whip, nothing_ran, actions| {
                    whip.read_on(now, nothing_ran, actions)
                });
            }
            Effect::Refused(id, wait) if self.is_whip_session(id) => {
                self.with_whip(now, out, |whip, _, actions| whip.refused(id, wait, actions));
                self.with_whip(now, out, |whip, nothing_ran, actions| {
                    whip.read_on(now, nothing_ran, actions)
                });
            }
            Effect::Failed(id, why) if self.is_whip_session(id) => {
                self.with_whip(now, out, |whip, _, actions| whip.failed(now, id, why, actions));
                self.with_whip(now, out, |whip, nothing_ran, actions| {
                    whip.read_on(now, nothing_ran, actions)
                });
            }
            Effect::Ended(id, _) if self.is_whip_session(id) => {
                self.with_whip(now, out, |whip, _, actions| whip.over(now, id, false, actions));
            }
            Effect::Moved(id) if self.is_whip_session(id) => {
                self.with_whip(now, out, |whip, _, actions| whip.over(now, id, true, actions));
            }
            Effect::SetUp(set_up) => self.send_set_up(now, &set_up, out),
            Effect::Withdraw(id, server) => self.give_up_attempt(now, id, server, out),
            Effect::Release(id, _) if self.pool.holds(id) => self.pool.release(now, id, out),
            Effect::Rate(id, server, rung) => {
                if self.pool.holds(id) {
                    self.pool.change_rung(now, id, rung, out);
                } else {
                    self.links.rate(now, id, &server, rung, out);
                }
                if self.is_whip_session(id) {
                    self.with_whip(now, out, |whip, _, actions| whip.rated(id, rung, actions));
                }
            }
            Effect::Release(id, server) => self.links.release(now, id, &server, out),
            Effect::Established(id, description) => {
                let client_conn = self.settle_request(now, id);
                let line = std::str::from_utf8(&description).ok().map(|text| viewer::answer(id, text));
                match line.filter(|line| line.encode().is_ok()) {
                    Some(line) => {
                        self.metrics.record_answer(id, Outcome::Fulfilled);
                        self.send_final_answer(now, client_conn, id, &FinalAnswer::Established(line), out);
                        if self.phase.has_yielded() {
                            self.hand_over_session(now, id, out);
                        }
                    }
                    None => {
                        self.metrics.record_answer(id, Outcome::Faulted);
                        // A description that can't be passed on unchanged is not passed on.
                        self.send_final_answer(
                            now,
                            client_conn,
                            id,
                            &FinalAnswer::NotServed(viewer::failed(id)),
                            out,
                        );
                        self.forget_session(id);
                        self.handle_input(now, Input::ClientLeft(id), out);
                    }
                }
            }
            Effect::Refused(id, wait) => {
                let client_conn = self.settle_request(now, id);
                self.forget_session(id);
                self.send_final_answer(
                    now,
                    client_conn,
                    id,
                    &FinalAnswer::NotServed(viewer::refused(id, wait)),
                    out,
                );
            }
            Effect::Failed(id, _) => {
                let client_conn = self.settle_request(now, id);
                self.forget_session(id);
                self.send_final_answer(
                    now,
                    client_conn,
                    id,
                    &FinalAnswer::NotServed(viewer::failed(id)),
                    out,
                );
            }
            Effect::Ended(id, status) => {
                let client_conn = self.session_conns.remove(id);
                if let Some(line) = viewer::ended(id, status) {
                    self.send_session_end(now, client_conn, &line, out);
                }
            }
            Effect::Moved(id) => {
                let client_conn = self.session_conns.remove(id);
                self.send_session_end(now, client_conn, &viewer::moved(id), out);
            }
            Effect::Log(text) => self.log.push(text),
        }
    }
}
