//! The interface for callers: what is refused, and how.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cyclamengauge_load::{
    harness::{Fleet, FleetOptions},
    model::Deployment,
};
use cyclamengauge_schema::v1;

/// Calls to a service of which one target breaks them off.
const CALLS: usize = 40;

fn run<F: Future<Output = anyhow::Result<()>>>(test: F) {
    actix_rt::System::new().block_on(test).unwrap();
}

async fn fleet() -> anyhow::Result<Fleet> {
    let options = FleetOptions {
        engines: 1,
        daemons: 1,
        deployment: Deployment::Atlas,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauge-load"));
    let fleet = Fleet::start(program, options).await?;
    let version = fleet.put_in_force(fleet.declaration()).await?;
    fleet.await_version(version).await?;
    Ok(fleet)
}

/// Sends bytes and returns the status line, the head and the body.
fn raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(path: &str, key: &str, more: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

const KEY: &str = "account-key-0";
const GOOD: &str = r#"{"model": "model", "prompt": "hello", "max_tokens": 3}"#;

async fn ask(fleet: &Fleet, request: Vec<u8>) -> anyhow::Result<String> {
    let address = fleet.daemons[0].address.clone();
    let answer = actix_rt::task::spawn_blocking(move || raw(&address, &request)).await?;
    Ok(answer)
}

fn assert_problem(answer: &str, status: u16, kind: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(answer.contains("application/problem+json"), "{answer}");
    assert!(
        answer.contains(&format!("urn:cyclamengauge:problem:{kind}\"")),
        "{answer}"
    );
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
}

#[test]
fn faulty_requests_get_a_clear_refusal_and_reach_no_target() {
    run(async {
        let fleet = fleet().await?;
        let path = "/v1/completions";
        let cases = [
            (post(path, "wrong", "", GOOD), 401, "wrong-key"),
            (post(path, KEY, "", "{"), 400, "bad-request"),
            (
                post(path, KEY, "", r#"{"model": "model"}"#),
                400,
                "bad-request",
            ),
            (
                post(path, KEY, "", r#"{"model": "x", "prompt": "y"}"#),
                404,
                "unknown-model",
            ),
            (
                post(path, KEY, "X-Deadline-Ms: soon\r\n", GOOD),
                400,
                "bad-deadline",
            ),
            (
                post(path, KEY, "X-Deadline-Ms: 1\r\n", GOOD),
                503,
                "deadline-unreachable",
            ),
            (
                post("/services/none/x", KEY, "", GOOD),
                404,
                "unknown-service",
            ),
            (post("/else", KEY, "", GOOD), 404, "not-found"),
        ];
        for (request, status, kind) in cases {
            let answer = ask(&fleet, request).await?;
            assert_problem(&answer, status, kind);
        }
        let huge = format!(
            "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 99999999\r\n\r\n"
        );
        assert_problem(
            &ask(&fleet, huge.into_bytes()).await?,
            413,
            "body-too-large",
        );
        assert_eq!(fleet.report(0).await?.running, 0);
        Ok(())
    });
}

#[test]
fn oversized_head_is_refused_with_bounded_memory() {
    run(async {
        let fleet = fleet().await?;
        let more = format!("X-Filler: {}\r\n", "x".repeat(400_000));
        let answer = ask(&fleet, post("/v1/completions", KEY, &more, GOOD)).await?;
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(refused, "{answer}");
        Ok(())
    });
}

#[test]
fn slow_head_is_cut_off() {
    run(async {
        let fleet = fleet().await?;
        let answer = ask(
            &fleet,
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n".to_vec(),
        )
        .await?;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        Ok(())
    });
}

#[test]
fn whole_and_streamed_answers_have_the_usual_shapes() {
    run(async {
        let fleet = fleet().await?;
        let whole = ask(&fleet, post("/v1/completions", KEY, "", GOOD)).await?;
        assert!(whole.contains("\"object\":\"text_completion\""), "{whole}");
        assert!(whole.contains("\"completion_tokens\":3"), "{whole}");
        let chat = r#"{"model": "model", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 2}"#;
        let answer = ask(&fleet, post("/v1/chat/completions", KEY, "", chat)).await?;
        assert!(answer.contains("\"role\":\"assistant\""), "{answer}");
        let stream = chat.replace("\"max_tokens\"", "\"stream\": true, \"max_tokens\"");
        let answer = ask(&fleet, post("/v1/chat/completions", KEY, "", &stream)).await?;
        assert!(
            answer.contains("\"object\":\"chat.completion.chunk\""),
            "{answer}"
        );
        assert!(answer.contains("data: [DONE]"), "{answer}");
        Ok(())
    });
}

/// The core judges the targets of plain services as it does engines.
#[test]
fn a_target_that_breaks_off_calls_gets_few_of_them() {
    run(async {
        let fleet = fleet().await?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let broken_off = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&broken_off);
        std::thread::spawn(move || {
            for connection in listener.incoming() {
                count.fetch_add(1, Ordering::Relaxed);
                drop(connection);
            }
        });
        let mut declaration = fleet.declaration();
        let targets = &mut declaration.services[0].targets;
        targets.push(v1::ServiceTarget {
            name: "breaks-off".to_owned(),
            address: address.to_string(),
            ..targets[0].clone()
        });
        let version = fleet.put_in_force(declaration).await?;
        fleet.await_version(version).await?;
        for _ in 0..CALLS {
            let call = post("/services/bookings/status", KEY, "", "{}");
            let answer = ask(&fleet, call).await?;
            assert!(!answer.starts_with("HTTP/1.1 5"), "{answer}");
        }
        // In turn it would have had half of them.
        let broken_off = broken_off.load(Ordering::Relaxed);
        assert!(broken_off <= CALLS / 4, "{broken_off} of {CALLS} calls");
        Ok(())
    });
}
