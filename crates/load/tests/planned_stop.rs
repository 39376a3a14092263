//! A planned stop of a daemon on the project's own interface.

#[allow(dead_code)]
mod faulty;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use faulty::{declare, faulty_declaration, fleet, report, run, start_faulty};
use nix::sys::signal::Signal;
use serde_json::json;

/// Sends bytes and returns what came until the connection was closed.
fn exchange(address: &str, request: &str) -> String {
    let mut response = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.read_to_end(&mut response);
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against requests in progress that get no answer when the shutdown timeout of a
/// planned stop is over, also those that may run once.
#[test]
fn requests_that_outlast_a_planned_stop_are_told_so() {
    run(async {
        let mut fleet = fleet(1, 1).await?;
        let address = start_faulty(report(&[], 0), "", "");
        let settings = std::fs::read_dir(fleet.dir())?.filter_map(Result::ok);
        for file in settings.filter(|file| file.path().extension().is_some_and(|e| e == "json")) {
            let text = std::fs::read_to_string(file.path())?;
            let text = text.replace("_timeout_ms\": 60000", "_timeout_ms\": 3000");
            std::fs::write(file.path(), text)?;
        }
        fleet.daemons[0].restart()?;
        let restarted = async || Ok(fleet.status(0).await?.version > 0);
        fleet.until("the restart", restarted).await?;
        let mut declaration = faulty_declaration(&fleet, &address);
        declaration.services[0].targets[0].address = silent();
        declaration.engines[0].drain = true;
        declare(&fleet, declaration).await?;
        let daemon = fleet.daemons[0].address.clone();
        let request = |path: &str, body: &str| {
            format!(
                "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}-1\r\n\
                 X-Deadline-Ms: 30000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
                cyclamengauge_load::harness::ACCOUNT_KEY,
                body.len()
            )
        };
        let completion = json!({"model": "model", "prompt": "word", "max_tokens": 5});
        let requests = [
            request("/services/bookings/bookings", "once"),
            request("/services/bookings/other", "repeatable"),
            request("/v1/completions", &completion.to_string()),
        ];
        let sent: Vec<_> = requests
            .into_iter()
            .map(|request| {
                let daemon = daemon.clone();
                thread::spawn(move || exchange(&daemon, &request))
            })
            .collect();
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        fleet.daemons[0].signal(Signal::SIGTERM)?;
        let code = fleet.daemons[0].ended(Duration::from_secs(10)).await;
        assert_eq!(code, Some(3), "{}", fleet.daemons[0].log());
        for sent in sent {
            let response = sent.join().unwrap();
            assert!(response.starts_with("HTTP/1.1 50"), "{response:?}");
            let is_true =
                response.contains("\"ran\":\"unknown\"") || response.contains("\"ran\":\"no\"");
            assert!(is_true && !response.contains(" 503 "), "{response}");
        }
        Ok(())
    });
}

/// Address of a target that accepts connections and says nothing.
fn silent() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let streams: Vec<TcpStream> = listener.incoming().map_while(Result::ok).collect();
        drop(streams);
    });
    address
}
