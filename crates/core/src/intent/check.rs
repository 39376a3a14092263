//! Faults of a declaration.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use cyclamengauge_schema::v1;

crate::data_types! {
    /// One fault of a file: where it is, what was given and what is allowed.
    pub struct Fault {
        /// Path of the field, such as `engines[2].slots`.
        pub path: String,
        /// The value given.
        pub given: String,
        /// The values allowed, with their unit.
        pub allowed: String,
    }
}

impl Fault {
    /// Creates a fault.
    pub fn new(path: impl Into<String>, given: impl fmt::Display, allowed: &str) -> Self {
        Self {
            path: path.into(),
            given: given.to_string(),
            allowed: allowed.to_owned(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: given {}, allowed {}",
            self.path, self.given, self.allowed
        )
    }
}

/// Finds all faults of a declaration, in the order of its fields.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::intent;
/// use cyclamengauge_schema::v1;
///
/// let declaration = v1::Declaration {
///     engines: vec![v1::Engine { name: "e1".into(), model: "meadow".into(), ..Default::default() }],
///     ..Default::default()
/// };
/// let faults = intent::check(&declaration);
/// assert!(faults.iter().any(|fault| fault.path == "engines[0].model"));
/// ```
pub fn check(declaration: &v1::Declaration) -> Vec<Fault> {
    let mut checker = Checker::default();
    checker.models(declaration);
    checker.engines(declaration);
    checker.services(declaration);
    checker.accounts(declaration);
    checker.routing(declaration);
    checker.capacity(declaration);
    checker.faults
}

#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    fn fault(&mut self, path: String, given: impl fmt::Display, allowed: &str) {
        self.faults.push(Fault::new(path, given, allowed));
    }

    fn require(&mut self, holds: bool, path: String, given: impl fmt::Display, allowed: &str) {
        if !holds {
            self.fault(path, given, allowed);
        }
    }

    fn unique<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let path = format!("{list}[{i}].name");
            if name.is_empty() {
                self.fault(path, "an empty text", "a name");
            } else if !seen.insert(name) {
                self.fault(path, name, "a name not used before");
            }
        }
    }

    fn address(&mut self, path: String, text: &str) {
        let valid = text.parse::<SocketAddr>().is_ok();
        self.require(
            valid,
            path,
            quoted(text),
            "an IP number and port, as 10.0.0.1:8000",
        );
    }

    fn models(&mut self, d: &v1::Declaration) {
        self.unique("models", d.models.iter().map(|m| m.name.as_str()));
        for (i, model) in d.models.iter().enumerate() {
            let path = format!("models[{i}].version");
            self.require(
                !model.version.is_empty(),
                path,
                "an empty text",
                "a version",
            );
        }
    }

    fn engines(&mut self, d: &v1::Declaration) {
        let models: BTreeSet<&str> = d.models.iter().map(|m| m.name.as_str()).collect();
        self.unique("engines", d.engines.iter().map(|e| e.name.as_str()));
        for (i, engine) in d.engines.iter().enumerate() {
            let at = |field: &str| format!("engines[{i}].{field}");
            self.address(at("address"), &engine.address);
            let known = models.contains(engine.model.as_str());
            self.require(
                known,
                at("model"),
                quoted(&engine.model),
                "a declared model",
            );
            let memory = engine.memory_tokens;
            self.require(memory > 0, at("memory_tokens"), memory, "1 or more tokens");
            self.require(
                engine.slots > 0,
                at("slots"),
                engine.slots,
                "1 or more requests",
            );
            let prefill = engine.prefill_tokens_per_s;
            self.require(
                prefill > 0,
                at("prefill_tokens_per_s"),
                prefill,
                "1 or more tokens/s",
            );
        }
    }

    fn services(&mut self, d: &v1::Declaration) {
        self.unique("services", d.services.iter().map(|s| s.name.as_str()));
        for (i, service) in d.services.iter().enumerate() {
            for (j, target) in service.targets.iter().enumerate() {
                self.address(
                    format!("services[{i}].targets[{j}].address"),
                    &target.address,
                );
            }
            for (j, route) in service.at_most_once.iter().enumerate() {
                let path = format!("services[{i}].at_most_once[{j}].path_prefix");
                let valid = route.path_prefix.starts_with('/');
                self.require(
                    valid,
                    path,
                    quoted(&route.path_prefix),
                    "a path that starts with /",
                );
            }
        }
    }

    fn accounts(&mut self, d: &v1::Declaration) {
        let models: BTreeSet<&str> = d.models.iter().map(|m| m.name.as_str()).collect();
        self.unique("accounts", d.accounts.iter().map(|a| a.name.as_str()));
        for (i, account) in d.accounts.iter().enumerate() {
            let at = |field: &str| format!("accounts[{i}].{field}");
            let positive = |value: f64| value > 0.0 && value.is_finite();
            self.require(
                positive(account.weight),
                at("weight"),
                account.weight,
                "above 0",
            );
            let rate = account.requests_per_s;
            self.require(
                positive(rate),
                at("requests_per_s"),
                rate,
                "above 0 requests/s",
            );
            let tokens = account.prompt_tokens_per_s;
            self.require(
                positive(tokens),
                at("prompt_tokens_per_s"),
                tokens,
                "above 0 tokens/s",
            );
            let most = account.max_concurrent;
            self.require(most > 0, at("max_concurrent"), most, "1 or more requests");
            for (j, key) in account.key_sha256.iter().enumerate() {
                self.require(
                    is_sha256(key),
                    at(&format!("key_sha256[{j}]")),
                    quoted(key),
                    "64 hex digits",
                );
            }
            for (j, model) in account.models.iter().enumerate() {
                let known = models.contains(model.as_str());
                self.require(
                    known,
                    at(&format!("models[{j}]")),
                    quoted(model),
                    "a declared model",
                );
            }
        }
    }

    fn routing(&mut self, d: &v1::Declaration) {
        let Some(routing) = &d.routing else {
            self.fault("routing".into(), "nothing", "a routing policy");
            return;
        };
        let share = |value: f64| (0.0..=1.0).contains(&value);
        let weight = routing.short_weight;
        self.require(
            share(weight),
            "routing.short_weight".into(),
            weight,
            "0 to 1",
        );
        let ejected = routing.max_ejected_share;
        self.require(
            share(ejected),
            "routing.max_ejected_share".into(),
            ejected,
            "0 to 1",
        );
        let bytes = routing.bytes_per_token;
        let path = "routing.bytes_per_token".into();
        self.require(
            bytes > 0.0 && bytes.is_finite(),
            path,
            bytes,
            "above 0 bytes",
        );
        let stall = routing.stall_timeout_ms;
        let path = "routing.stall_timeout_ms".into();
        self.require(stall >= 100, path, stall, "100 or more ms");
    }

    /// Each model keeps its floor of engines, on engines that it fits.
    fn capacity(&mut self, d: &v1::Declaration) {
        for (i, model) in d.models.iter().enumerate() {
            let serving = d.engines.iter().filter(|e| serves(e, &model.name));
            let (mut count, mut fits) = (0, false);
            for engine in serving {
                count += 1;
                fits |= engine.memory_tokens >= model.min_memory_tokens;
            }
            let floor = model.min_engines;
            let allowed = format!("{floor} or more engines that serve `{}`", model.name);
            self.require(
                count >= floor,
                format!("models[{i}].min_engines"),
                format!("{count} engines"),
                &allowed,
            );
            let path = format!("models[{i}].min_memory_tokens");
            let needed = model.min_memory_tokens;
            self.require(
                count == 0 || fits,
                path,
                format!("{needed} tokens"),
                "what the largest serving engine has",
            );
        }
    }
}

/// Whether a declared engine is to serve the model.
pub(crate) fn serves(engine: &v1::Engine, model: &str) -> bool {
    engine.model == model && !engine.drain && engine.role() != v1::EngineRole::Standby
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn quoted(text: &str) -> String {
    format!("`{text}`")
}
