//! Turns of connections that have more to read than one turn takes.

use std::{
    cell::RefCell,
    collections::VecDeque,
    future::poll_fn,
    net::IpAddr,
    rc::Rc,
    task::{Poll, Waker},
};

use super::flow::Flow;

/// Turns that are given before all other tasks of the thread get to run.
const TURNS_PER_ROUND: usize = 4;

/// Connections that wait for a turn. The addresses take turns, and so do the connections of
/// each address.
#[derive(Default)]
pub struct Turns {
    waiting: RefCell<VecDeque<(IpAddr, VecDeque<Rc<Flow>>)>>,
    waker: RefCell<Option<Waker>>,
}

impl Turns {
    /// Queues a connection for its next turn.
    pub(super) fn request(&self, flow: &Rc<Flow>) {
        let address = flow.client().ip();
        let mut waiting = self.waiting.borrow_mut();
        match waiting.iter_mut().find(|(ip, _)| *ip == address) {
            Some((_, flows)) => flows.push_back(Rc::clone(flow)),
            None => waiting.push_back((address, VecDeque::from([Rc::clone(flow)]))),
        }
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Gives turns until the future is dropped.
    pub async fn give(&self) {
        poll_fn(|cx| {
            for _ in 0..TURNS_PER_ROUND {
                let Some(flow) = self.next() else {
                    *self.waker.borrow_mut() = Some(cx.waker().clone());
                    return Poll::Pending;
                };
                flow.grant_turn();
            }
            cx.waker().wake_by_ref();
            Poll::<()>::Pending
        })
        .await;
    }

    fn next(&self) -> Option<Rc<Flow>> {
        let mut waiting = self.waiting.borrow_mut();
        let (address, mut flows) = waiting.pop_front()?;
        let flow = flows.pop_front();
        if !flows.is_empty() {
            waiting.push_back((address, flows));
        }
        flow
    }
}
