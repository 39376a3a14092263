//! The platform's store.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use super::{http, sockets};

/// The platform's store: reads, feeds and transactions of rows without a part.
pub struct Store {
    pub address: SocketAddrV4,
    state: Arc<(Mutex<Rows>, Condvar)>,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64 and version of each row, by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
}

impl Store {
    pub fn start() -> Self {
        let (listener, address) = sockets::listen(Ipv4Addr::LOCALHOST);
        let state = Arc::<(Mutex<Rows>, Condvar)>::default();
        let served = Arc::clone(&state);
        sockets::serve(listener, move |stream| {
            let _ = serve_store(&served, stream);
        });
        Self { address, state }
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        put(&self.state, table, key, encode_base64(value.as_bytes()));
    }
}

fn put(state: &(Mutex<Rows>, Condvar), table: &str, key: &str, value: String) {
    let mut rows = state.0.lock().expect("lock");
    rows.version += 1;
    let version = rows.version;
    rows.rows
        .insert((table.to_owned(), key.to_owned()), (value, version));
    state.1.notify_all();
}

fn serve_store(state: &(Mutex<Rows>, Condvar), stream: TcpStream) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader)? {
        let body = http::read_body(&mut reader, &head)?;
        let target = head.first_line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .collect();
        let field = |name: &str| fields.get(name).copied().unwrap_or_default();
        let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
        let answer = match path {
            "/-/rows-get" => {
                let rows = state.0.lock().expect("lock");
                Some(list_rows(&rows, field("table"), field("from"), 0))
            }
            "/-/rows-feed" => {
                let until = Instant::now() + Duration::from_millis(number("wait_ms"));
                let since = number("since_revision");
                let mut rows = state.0.lock().expect("lock");
                loop {
                    let is_changed = rows.rows.iter().any(|((table, _), (_, version))| {
                        table == field("table") && *version > since
                    });
                    let left = until.saturating_duration_since(Instant::now());
                    if is_changed || left.is_zero() {
                        break;
                    }
                    rows = state.1.wait_timeout(rows, left).expect("lock").0;
                }
                Some(list_rows(&rows, field("table"), "", since))
            }
            "/-/rows-tx" => Some(run_transaction(state, &String::from_utf8_lossy(&body))),
            _ => None,
        };
        let (status, text) = answer.unwrap_or((404, "{}".to_owned()));
        write!(
            writer,
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        )?;
    }
    Ok(())
}

fn list_rows(rows: &Rows, table: &str, from: &str, since: u64) -> (u16, String) {
    let listed = rows
        .rows
        .iter()
        .filter(|((row_table, key), (_, version))| {
            row_table == table && key.as_str() >= from && *version > since
        })
        .map(|((table, key), (value, version))| {
            format!(
                r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","object_version":{version}}}"#
            )
        });
    let listed = listed.collect::<Vec<_>>().join(",");
    let version = rows.version;
    (
        200,
        format!(
            r#"{{"rows":[{listed}],"more_pages":false,"object_version":{version},"now_ms":{version}}}"#
        ),
    )
}

/// Runs a transaction of one row, which is all that the daemons send.
fn run_transaction(state: &(Mutex<Rows>, Condvar), body: &str) -> (u16, String) {
    let puts = body.split_once("\"puts\":").map_or("", |(_, puts)| puts);
    let (Some(table), Some(key), Some(value)) = (
        json_text(puts, "table"),
        json_text(puts, "key"),
        json_text(puts, "value"),
    ) else {
        return (400, "{}".to_owned());
    };
    let is_create = body.contains("\"object_version\":0");
    let row = (table.to_owned(), key.to_owned());
    if is_create && state.0.lock().expect("lock").rows.contains_key(&row) {
        return (
            412,
            r#"{"rows":[],"object_version":1,"now_ms":1}"#.to_owned(),
        );
    }
    put(state, table, key, value.to_owned());
    (200, r#"{"object_version":1,"now_ms":1}"#.to_owned())
}

fn json_text<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = json.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split_once('"')?.0)
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            text.push(match index <= chunk.len() {
                true => char::from(DIGITS[digit as usize]),
                false => '=',
            });
        }
    }
    text
}
