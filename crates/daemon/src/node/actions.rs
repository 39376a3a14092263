//! Carries out what the dispatcher decides.

use std::rc::Rc;

use cyclamengauge_core::{
    dispatch::{self, Action, Outcome, Sending},
    ids::{EngineId, RequestId},
};

use crate::{
    engines,
    node::{Node, ResponseEvent},
    telemetry,
};

impl Node {
    /// Lets the dispatcher decide and carries out its actions.
    pub fn update_dispatcher<F>(self: &Rc<Self>, decision: F)
    where
        F: FnOnce(&mut dispatch::Dispatcher, cyclamengauge_core::clock::Instant) -> Vec<Action>,
    {
        let now = self.clock.now();
        let actions = decision(&mut self.dispatcher.borrow_mut(), now);
        self.execute_actions(actions);
        self.timer_changed.notify_waiters();
    }

    /// Carries out actions.
    pub fn execute_actions(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            self.apply_one(action);
        }
    }

    /// Sleeps until the dispatcher has something due, and lets it decide.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let changed = self.timer_changed.notified();
            let next = self.dispatcher.borrow().next_tick();
            match next {
                None => changed.await,
                Some(at) => {
                    let sleep = actix_rt::time::sleep(self.clock.until(at));
                    tokio::select! {
                        () = changed => {}
                        () = sleep => self.update_dispatcher(|dispatcher, now| dispatcher.tick(now)),
                    }
                }
            }
        }
    }

    fn apply_one(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send(sending) => self.send(sending),
            Action::Cancel { attempt, engines } => {
                if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
                    task.abort();
                }
                for engine in engines {
                    actix_rt::spawn(engines::cancel(Rc::clone(self), attempt, engine));
                }
            }
            Action::Reserve {
                attempt,
                engine,
                memory,
            } => {
                let asking = engines::reserve(Rc::clone(self), attempt, engine, memory);
                actix_rt::spawn(asking);
            }
            Action::Renew { attempt, engine } => {
                actix_rt::spawn(engines::renew(Rc::clone(self), attempt, engine));
            }
            Action::Release { attempt, engine } => {
                actix_rt::spawn(engines::release(Rc::clone(self), attempt, engine));
            }
            Action::Probe(engine) => {
                actix_rt::spawn(engines::probe(Rc::clone(self), engine));
            }
            Action::Finish { request, outcome } => self.finish(request, outcome),
        }
    }

    fn send(self: &Rc<Self>, sending: Sending) {
        telemetry::log_placement(&sending);
        self.note(sending.request, telemetry::describe_placement(&sending));
        let attempt = sending.attempt;
        let task = actix_rt::spawn(engines::run_attempt(Rc::clone(self), sending));
        let mut attempts = self.attempts.borrow_mut();
        attempts.retain(|_, task| !task.is_finished());
        attempts.insert(attempt, task.abort_handle());
    }

    fn finish(&self, request: RequestId, outcome: Outcome) {
        telemetry::record_outcome(request, &outcome);
        self.note(request, telemetry::describe_outcome(&outcome));
        let Some(caller) = self.pending_requests.borrow_mut().remove(&request) else {
            return;
        };
        // The channel may be full of text that the caller has not taken yet;
        // the end then waits beside it and is found when the channel closes.
        *caller.end.borrow_mut() = Some(outcome.clone());
        let _ = caller.events.try_send(ResponseEvent::End(outcome));
    }

    fn note(&self, request: RequestId, line: String) {
        let now = self.clock.now();
        self.journal.borrow_mut().note(request, now, line);
    }

    /// Base URL of an engine.
    pub fn engine_url(&self, engine: &EngineId) -> Option<String> {
        let directory = self.directory.borrow();
        directory.engines.get(engine).map(|entry| entry.url.clone())
    }
}
