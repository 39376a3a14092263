//! Stand-ins for the platform, its store, its clients and its engines, and helpers that
//! start the project's daemon as a process. Standard library only.
//!
//! The store and the engines behave as the users' pages say; a case changes single answers.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Exit codes of a case.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const COULD_NOT_RUN: i32 = 2;

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The record of a run: a line for each event, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|err| could_not_run(&format!("{err}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:9.3} s  {text}");
    }
}

/// Ids of the running daemons, so that each way out of a case ends them.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Number of SIGKILL.
const SIGKILL: i32 = 9;

/// Ends all daemons that the case started, and the case.
pub fn exit(code: i32) -> ! {
    for id in lock(&RUNNING).drain(..) {
        // SAFETY: `kill` takes two numbers; the process is a child that was not waited for.
        unsafe { kill(id as i32, SIGKILL) };
    }
    std::process::exit(code)
}

pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    exit(COULD_NOT_RUN)
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A request whose head and body were read.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    pub method: String,
    pub target: String,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while line
        .last()
        .is_some_and(|byte| *byte == b'\n' || *byte == b'\r')
    {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        if size == 0 {
            while !read_line(reader)?
                .ok_or(io::ErrorKind::UnexpectedEof)?
                .is_empty()
            {}
            return Ok(body);
        }
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    }
}

/// Reads a request; none at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<HttpRequest>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").map(|n| n.parse());
    let body = match length {
        Some(Ok(length)) => {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            body
        }
        _ if headers.contains_key("transfer-encoding") => read_chunks(reader)?,
        _ => Vec::new(),
    };
    Ok(Some(HttpRequest {
        method,
        target,
        headers,
        body,
    }))
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

pub fn listen(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).unwrap_or_else(|err| could_not_run(&format!("listen: {err}")))
}

// ---------------------------------------------------------------- JSON and base64

/// A JSON value; numbers stay text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = JsonParser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(pairs) => pairs.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) | Self::Number(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

struct JsonParser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonParser<'_> {
    fn skip_space(&mut self) {
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| byte.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut pairs = Vec::new();
                while !self.take(b'}') {
                    self.skip_space();
                    let key = self.string()?;
                    self.take(b':');
                    pairs.push((key, self.value()?));
                    self.take(b',');
                }
                Some(Json::Table(pairs))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !self.take(b']') {
                    list.push(self.value()?);
                    self.take(b',');
                }
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| !b",]} \n\r\t".contains(byte))
                {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(match word {
                    "null" => Json::Null,
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    number => Json::Number(number.to_owned()),
                })
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                other => text.push(other),
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let index = (bits >> (18 - 6 * position) & 63) as usize;
            text.push(match position <= group.len() {
                true => char::from(ALPHABET[index]),
                false => '=',
            });
        }
    }
    text
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    /// Base64; none if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct StoreState {
    rows: Vec<Row>,
    version: u64,
}

/// The platform's store, as far as the daemon uses it.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    start: Instant,
}

/// An address of the store; a case may cut it off.
pub struct StoreDoor {
    pub address: SocketAddr,
    /// Whether the store does not answer calls that come here. Channels stay open.
    silent: Arc<Mutex<bool>>,
}

impl StoreDoor {
    pub fn set_silent(&self, silent: bool) {
        *lock(&self.silent) = silent;
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        })
    }

    /// Opens an address of the store, for one or more machines.
    pub fn door(self: &Arc<Self>) -> StoreDoor {
        let listener = listen(Ipv4Addr::LOCALHOST);
        let door = StoreDoor {
            address: listener.local_addr().unwrap(),
            silent: Arc::default(),
        };
        let (store, silent) = (Arc::clone(self), Arc::clone(&door.silent));
        serve(listener, move |stream| {
            let _ = store.serve_connection(stream, &silent);
        });
        door
    }

    /// Writes a row; the return is the confirmation.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut state = lock(&self.state);
        self.write(&mut state, table, key, Some(base64(value.as_bytes())));
        state.version
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = lock(&self.state);
        self.write(&mut state, table, key, None);
    }

    fn write(&self, state: &mut StoreState, table: &str, key: &str, value: Option<String>) {
        state.version += 1;
        let version = state.version;
        state
            .rows
            .retain(|row| row.table != table || row.key != key);
        state.rows.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            version,
        });
        self.changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream, silent: &Mutex<bool>) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader)? {
            if *lock(silent) {
                // A call without an answer; the channel delivers nothing further.
                while reader.read(&mut [0; 1024])? > 0 {}
                return Ok(());
            }
            let (status, body) = self.answer(&request);
            if *lock(silent) {
                while reader.read(&mut [0; 1024])? > 0 {}
                return Ok(());
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &HttpRequest) -> (u16, String) {
        match request.path() {
            "/-/rows-get" => self.rows_get(request),
            "/-/rows-feed" => self.rows_feed(request),
            "/-/rows-tx" => self.rows_tx(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn encode_rows(&self, state: &StoreState, rows: &[&Row]) -> String {
        let rows: Vec<String> = rows
            .iter()
            .map(|row| {
                let content = match &row.value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"tombstone\":true".to_owned(),
                };
                format!(
                    "{{\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\",{content},\
                     \"object_version\":{}}}",
                    row.table, row.key, row.version
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"more_pages\":false,\"object_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.version,
            self.now_ms()
        )
    }

    fn rows_get(&self, request: &HttpRequest) -> (u16, String) {
        let state = lock(&self.state);
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let rows = state
            .rows
            .iter()
            .filter(|row| row.table == table && row.value.is_some() && row.key.as_str() >= from);
        let mut rows: Vec<&Row> = rows.collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        (200, self.encode_rows(&state, &rows))
    }

    fn rows_feed(&self, request: &HttpRequest) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let since = number("since_revision").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            let rows = state.rows.iter();
            let mut rows: Vec<&Row> = rows
                .filter(|row| row.table == table && row.version > since)
                .collect();
            rows.sort_by_key(|row| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.encode_rows(&state, &rows));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn rows_tx(&self, request: &HttpRequest) -> (u16, String) {
        let body = String::from_utf8_lossy(&request.body);
        let Some(call) = Json::parse(&body) else {
            return (400, "{}".to_owned());
        };
        let name = |entry: &Json, field: &str| {
            entry
                .get(field)
                .map(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let mut state = lock(&self.state);
        let expected = call.get("expected_revision").map_or(&[][..], Json::list);
        for entry in expected {
            let (table, key) = (name(entry, "table"), name(entry, "key"));
            let version = state
                .rows
                .iter()
                .find(|row| row.table == table && row.key == key && row.value.is_some())
                .map_or(0, |row| row.version);
            if version.to_string() != name(entry, "object_version") {
                return (412, self.encode_rows(&state, &[]));
            }
        }
        for entry in call.get("puts").map_or(&[][..], Json::list) {
            let (table, key) = (name(entry, "table"), name(entry, "key"));
            if table == "op" || table == "servers" {
                return (403, "{}".to_owned());
            }
            self.write(&mut state, &table, &key, Some(name(entry, "value")));
        }
        let now_ms = self.now_ms();
        (
            200,
            format!(
                "{{\"object_version\":{},\"now_ms\":{now_ms}}}",
                state.version
            ),
        )
    }
}

// ---------------------------------------------------------------- operator

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Key of the client account `lab`.
pub const KEY: &str = "k1abcdefghijklmnopqr";

/// The operator's first config: an engine pool with a resumable stream, and an application
/// with an at-most-once route and a repeatable one. The figures are those of the sheet of
/// atlas-returns.
pub fn config(version: u64) -> String {
    let engine = "{\"slots\":16,\"kv_capacity_tokens\":450000,\"kv_token_bytes\":327680,\
        \"link_mbps\":400000.0,\"stride\":46,\"models\":[{\"name\":\"m\"}],\"step_ms\":0.925,\
        \"per_seq_ms\":0.00483,\"context_per_k\":0.00254,\"read_per_s\":256000.0,\
        \"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\
        \"loads_at_once\":8,\"delays\":[],\"usual\":{\"prompt\":13239,\"answer\":1540},\
        \"hop_ms\":0.1}";
    format!(
        "{{\"version\":{version},\"routes\":[\
        {{\"name\":\"intake\",\"host\":\"{HOST}\",\"prefix\":\"/intake/\",\"kind\":\"stream\",\
        \"timeout_ms\":10000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"reader\",\
        \"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\
        \"gap_target_ms\":200}},\
        {{\"name\":\"archive\",\"host\":\"{HOST}\",\"prefix\":\"/archive/\",\"kind\":\"stream\",\
        \"timeout_ms\":15000,\"target_latency_ms\":3000,\"priority\":1,\"service\":\"reader\",\
        \"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\
        \"gap_target_ms\":800}},\
        {{\"name\":\"book\",\"host\":\"{HOST}\",\"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\
        \"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"desk\",\
        \"max_attempts\":1,\"public\":false}},\
        {{\"name\":\"status\",\"host\":\"{HOST}\",\"prefix\":\"/status/\",\"kind\":\"idempotent\",\
        \"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"desk\",\
        \"max_attempts\":2,\"public\":false}}],\
        \"services\":[{{\"name\":\"reader\",\"health_path\":\"/health\",\"max_connections\":424,\
        \"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}},\
        {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":100,\
        \"protocol\":\"h1\",\"tls\":false}}],\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
        \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
        \"tenants\":[{{\"name\":\"lab\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// An engine's entry in the list.
pub fn entry(service: &str, address: SocketAddr, slots: u32, state: &str, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"casa-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"sequence\":{sequence},\"born\":1764900000000}}"
    )
}

// ---------------------------------------------------------------- daemons

/// A process of the project, started with the command of the deploy file.
pub struct Daemon {
    pub name: String,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Root of the repository: the cases run with it as their working directory.
const PROGRAM: &str = "target/release/cyclamengauged";

impl Daemon {
    /// Starts a daemon at an own loopback address with the settings of a small deployment.
    pub fn start(directory: &Path, number: u8, zone: &str, store: SocketAddr) -> Self {
        let ip = Ipv4Addr::new(127, 0, 0, 10 + number);
        let listeners: Vec<TcpListener> = (0..4).map(|_| listen(ip)).collect();
        let mut ports: Vec<u16> = listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap().port())
            .collect();
        drop(listeners);
        ports.sort_unstable();
        let name = format!("front-{zone}-{number}");
        let address = |port| SocketAddr::new(IpAddr::V4(ip), port);
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"daemon\"\nmachine_class = \"front\"\n\
             serves = [\"front\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"casa\"\n\
             internal_ports = [{}, {}]\nseeds = []\nbootstrap = true\nin_tolerance = false\n\
             discovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1200\n\
             [zones]\n{zone} = \"casa\"\n\
             [listen]\nfront = \"{}\"\nready = \"{}\"\n\
             [limits]\ncpu_share = 0.38\ncores = 1\nmemory_mb = {MEMORY_MB}\nmax_fds = 6150\n\
             link_mbps = 1500.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrollback_slack_ms = 250\nstretch_max_ms = 5000\n\
             strict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nretry_budget_extra = 102\nrecover_s = 12\npass_ms = 120\n\
             retry_after_s = 0\nstall_ms = 1500\nhold_max_ms = 20000\nfree_ms = 4000\n\
             idle_max_ms = 9000\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\ntx_ms = 3.0\npart_writes_s = 300\nrow_bytes = 65536\n\
             across = true\nhistory_s = 20\n",
            ports[0],
            ports[1],
            address(ports[2]),
            address(ports[3]),
        );
        let path = directory.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap_or_else(|err| could_not_run(&format!("{err}")));
        let mut daemon = Self {
            log: path.with_extension("log"),
            clients: address(ports[2]),
            ready: address(ports[3]),
            name,
            settings: path,
            child: None,
        };
        daemon.restart();
        daemon
    }

    /// Starts the process.
    pub fn restart(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|err| could_not_run(&format!("{err}")));
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CYCLAMENGAUGE_BOOT", &self.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|err| could_not_run(&format!("{PROGRAM}: {err}")));
        lock(&RUNNING).push(child.id());
        self.child = Some(child);
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            lock(&RUNNING).retain(|id| *id != child.id());
        }
    }

    /// Asks the daemon whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let asked =
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        let mut reader = BufReader::new(stream);
        asked.is_ok()
            && read_line(&mut reader)
                .is_ok_and(|line| line.is_some_and(|line| line.split(' ').nth(1) == Some("200")))
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                could_not_run(&format!("{} is not ready after 15 s", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Processor time that the process has used, in seconds.
    pub fn processor_s(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        let ticks: f64 = fields
            .skip(11)
            .take(2)
            .filter_map(|n| n.parse::<f64>().ok())
            .sum();
        ticks / 100.0
    }

    /// Resident memory in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }
}

/// Memory of a small machine in the settings, in MB.
pub const MEMORY_MB: u64 = 390;

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- clients

/// What a client got for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A complete response.
    Whole {
        status: u16,
        headers: HashMap<String, String>,
        body: Vec<u8>,
    },
    /// The channel ended after the head, before the end of the body.
    Partial { status: u16, body: Vec<u8> },
    /// The channel ended without a response.
    Closed(String),
    /// Nothing came in time.
    TimedOut,
    /// A head with this interim status came, and no final answer in time.
    OnlyInterim(u16),
    /// The channel could not be opened or written to.
    NotSent(String),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Self::Whole { status, .. } | Self::Partial { status, .. } => *status,
            Self::OnlyInterim(status) => *status,
            _ => 0,
        }
    }

    pub fn short(&self) -> String {
        match self {
            Self::Whole { status, body, .. } => format!("{status}, whole, {} B", body.len()),
            Self::Partial { status, body } => {
                format!("{status}, broken off after {} B", body.len())
            }
            Self::Closed(why) => format!("channel closed without an answer ({why})"),
            Self::TimedOut => "no answer in time".to_owned(),
            Self::OnlyInterim(status) => format!("status {status}, no final answer in time"),
            Self::NotSent(why) => format!("not sent ({why})"),
        }
    }
}

/// A client's channel, kept for many requests.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends one request and reads its answer, for `limit` at most.
    pub fn call(&mut self, head: &str, body: &[u8], limit: Duration) -> Answer {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        if let Err(err) = self.stream.write_all(&bytes) {
            return Answer::NotSent(err.to_string());
        }
        let _ = self.stream.set_read_timeout(Some(limit));
        let late = |err: &io::Error| {
            matches!(
                err.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            )
        };
        let mut interim = 0;
        let (status, headers) = loop {
            let status: u16 = match read_line(&mut self.reader) {
                Ok(Some(line)) => line
                    .split(' ')
                    .nth(1)
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0),
                Ok(None) => return Answer::Closed("end".to_owned()),
                Err(err) if late(&err) && interim > 0 => return Answer::OnlyInterim(interim),
                Err(err) if late(&err) => return Answer::TimedOut,
                Err(err) => return Answer::Closed(err.kind().to_string()),
            };
            let headers = match read_headers(&mut self.reader) {
                Ok(headers) => headers,
                Err(err) => return Answer::Closed(err.kind().to_string()),
            };
            if !(100..200).contains(&status) {
                break (status, headers);
            }
            interim = status;
        };
        let length = headers.get("content-length").and_then(|n| n.parse().ok());
        let mut body = Vec::new();
        let read = match length {
            Some(length) => {
                body.resize(length, 0);
                self.reader.read_exact(&mut body)
            }
            None => read_chunks_into(&mut self.reader, &mut body),
        };
        match read {
            Ok(()) => Answer::Whole {
                status,
                headers,
                body,
            },
            Err(err) if late(&err) => Answer::TimedOut,
            Err(_) => Answer::Partial { status, body },
        }
    }
}

fn read_chunks_into(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Head of a client's request.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    length: usize,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}\
         Content-Length: {length}\r\n\r\n"
    )
}

/// A sound engine's complete answer.
pub fn sound_answer(status: u16, id: &str, engine: &str, more: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nX-Request-Id: {id}\r\nX-Response-Stamp: {engine}.{id}\r\n\
         X-Server-Load: 1,0,6\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Folder of a case and a new temporary folder.
pub fn folders() -> (PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1);
    let case = arguments
        .next()
        .unwrap_or_else(|| could_not_run("first argument: folder of the case"));
    let temporary = arguments
        .next()
        .unwrap_or_else(|| could_not_run("second argument: temporary folder"));
    (PathBuf::from(case), PathBuf::from(temporary))
}
