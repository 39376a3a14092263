//! Execution of the dispatcher's actions.

use std::rc::Rc;

use cyclamengauge_core::{
    dispatch::{self, Action, Outcome, OutgoingAttempt},
    ids::{EngineId, RequestId},
};

use crate::{
    engines,
    node::{Node, ResponseEvent},
    telemetry,
};

impl Node {
    /// Passes an event to the dispatcher and executes the actions it returns.
    pub fn update_dispatcher<F>(self: &Rc<Self>, update: F)
    where
        F: FnOnce(&mut dispatch::Dispatcher, cyclamengauge_core::clock::Instant) -> Vec<Action>,
    {
        let now = self.clock.now();
        let actions = update(&mut self.dispatcher.borrow_mut(), now);
        self.execute_actions(actions);
        self.timer_changed.notify_waiters();
    }

    /// Executes actions in order. Calls to engines run in tasks of their own.
    pub fn execute_actions(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            self.execute_action(action);
        }
    }

    /// Runs the dispatcher's timers, each when it is due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let changed = self.timer_changed.notified();
            let next_tick = self.dispatcher.borrow().next_tick();
            match next_tick {
                None => changed.await,
                Some(at) => {
                    let sleep = actix_rt::time::sleep(self.clock.until(at));
                    tokio::select! {
                        () = changed => {}
                        () = sleep => self.update_dispatcher(|d, now| d.tick(now)),
                    }
                }
            }
        }
    }

    fn execute_action(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send(attempt) => self.send(attempt),
            Action::Cancel { attempt, engines } => {
                if let Some(task) = self.attempt_tasks.borrow_mut().remove(&attempt) {
                    task.abort();
                }
                for engine in engines {
                    actix_rt::spawn(engines::cancel_attempt(Rc::clone(self), attempt, engine));
                }
            }
            Action::Reserve {
                attempt,
                engine,
                memory,
            } => {
                let reservation = engines::reserve_memory(Rc::clone(self), attempt, engine, memory);
                actix_rt::spawn(reservation);
            }
            Action::Renew { attempt, engine } => {
                actix_rt::spawn(engines::renew_reservation(Rc::clone(self), attempt, engine));
            }
            Action::Release { attempt, engine } => {
                actix_rt::spawn(engines::release_reservation(
                    Rc::clone(self),
                    attempt,
                    engine,
                ));
            }
            Action::Probe(engine) => {
                actix_rt::spawn(engines::probe(Rc::clone(self), engine));
            }
            Action::Finish { request, outcome } => self.finish(request, outcome),
        }
    }

    fn send(self: &Rc<Self>, outgoing: OutgoingAttempt) {
        telemetry::log_placement(&outgoing);
        self.record_decision(outgoing.request, telemetry::describe_placement(&outgoing));
        let attempt = outgoing.attempt;
        let task = actix_rt::spawn(engines::run_attempt(Rc::clone(self), outgoing));
        let mut attempt_tasks = self.attempt_tasks.borrow_mut();
        attempt_tasks.retain(|_, task| !task.is_finished());
        attempt_tasks.insert(attempt, task.abort_handle());
    }

    fn finish(&self, request: RequestId, outcome: Outcome) {
        telemetry::record_outcome(request, &outcome);
        self.record_decision(request, telemetry::describe_outcome(&outcome));
        let Some(pending) = self.pending_requests.borrow_mut().remove(&request) else {
            return;
        };
        // The channel may be full of text that the client has not read yet. The
        // outcome is then read from `end` when the channel closes.
        *pending.end.borrow_mut() = Some(outcome.clone());
        let _ = pending.events.try_send(ResponseEvent::End(outcome));
    }

    fn record_decision(&self, request: RequestId, line: String) {
        let now = self.clock.now();
        self.decision_log.borrow_mut().record(request, now, line);
    }

    /// Base URL of an engine, `None` if the engine is not in the directory.
    pub fn engine_url(&self, engine: &EngineId) -> Option<String> {
        let directory = self.directory.borrow();
        directory.engines.get(engine).map(|entry| entry.url.clone())
    }
}
