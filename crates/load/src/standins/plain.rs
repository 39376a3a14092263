//! A plain service with calls that must not be repeated.

use std::{cell::RefCell, collections::BTreeMap, process::ExitCode, rc::Rc, time::Duration};

use actix_http::{Request, Response, body::BoxBody};
use bpaf::Bpaf;
use cyclamengauge_daemon::http;
use serde_json::json;

use crate::standins::server;

/// Options of the plain service stand-in
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(plain_options))]
pub struct PlainOptions {
    /// Address to listen on
    #[bpaf(long, argument("IP:PORT"))]
    pub listen: String,
    /// Time that a booking takes
    #[bpaf(long, argument("N"), fallback(5))]
    pub work_ms: u64,
}

#[derive(Default)]
struct State {
    work_ms: u64,
    /// How often each booking was run, by its body.
    runs: RefCell<BTreeMap<String, u64>>,
}

/// Runs the service until the process is ended.
pub fn run(options: &PlainOptions) -> ExitCode {
    let state = Rc::new(State {
        work_ms: options.work_ms,
        ..State::default()
    });
    server::serve(&options.listen, move |request| {
        handle(Rc::clone(&state), request)
    })
}

async fn handle(state: Rc<State>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    match (request.method().as_str(), path.as_str()) {
        ("POST", "/bookings") => {
            let body = server::body(&mut request).await;
            let text = String::from_utf8_lossy(&body).into_owned();
            let number = {
                let mut runs = state.runs.borrow_mut();
                *runs.entry(text).or_default() += 1;
                runs.len()
            };
            actix_rt::time::sleep(Duration::from_millis(state.work_ms)).await;
            http::json(201, json!({"booking": number}).to_string())
        }
        ("GET", "/status") => http::json(200, json!({"open": true}).to_string()),
        ("GET", "/runs") => {
            let runs = state.runs.borrow();
            http::json(200, serde_json::to_vec(&*runs).unwrap_or_default())
        }
        _ => http::text(404, "not found\n"),
    }
}
