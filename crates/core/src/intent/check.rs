//! Validation of declarations.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use cyclamengauge_schema::v1;

crate::data_types! {
    /// An invalid value in a declaration or a settings file.
    pub struct Fault {
        /// Path of the field, such as `engines[2].slots`.
        pub path: String,
        /// The value given.
        pub given: String,
        /// Description of the allowed values, with their unit.
        pub allowed: String,
    }
}

impl Fault {
    /// Creates a fault for the field at `path`.
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

/// Returns all faults of a declaration: first those of each section in the order
/// models, engines, services, accounts and routing, then missing capacity.
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
    checker.check_models(declaration);
    checker.check_engines(declaration);
    checker.check_services(declaration);
    checker.check_accounts(declaration);
    checker.check_routing(declaration);
    checker.check_capacity(declaration);
    checker.faults
}

#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    fn add_fault(&mut self, path: String, given: impl fmt::Display, allowed: &str) {
        self.faults.push(Fault::new(path, given, allowed));
    }

    fn require(&mut self, is_valid: bool, path: String, given: impl fmt::Display, allowed: &str) {
        if !is_valid {
            self.add_fault(path, given, allowed);
        }
    }

    fn require_unique_names<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let path = format!("{list}[{i}].name");
            if name.is_empty() {
                self.add_fault(path, "an empty text", "a name");
            } else if !seen.insert(name) {
                self.add_fault(path, name, "a name not used before");
            }
        }
    }

    fn require_address(&mut self, path: String, text: &str) {
        let valid = text.parse::<SocketAddr>().is_ok();
        self.require(
            valid,
            path,
            quoted(text),
            "an IP number and port, as 10.0.0.1:8000",
        );
    }

    fn check_models(&mut self, d: &v1::Declaration) {
        self.require_unique_names("models", d.models.iter().map(|m| m.name.as_str()));
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

    fn check_engines(&mut self, d: &v1::Declaration) {
        let models: BTreeSet<&str> = d.models.iter().map(|m| m.name.as_str()).collect();
        self.require_unique_names("engines", d.engines.iter().map(|e| e.name.as_str()));
        for (i, engine) in d.engines.iter().enumerate() {
            let path_to = |field: &str| format!("engines[{i}].{field}");
            self.require_address(path_to("address"), &engine.address);
            let known = models.contains(engine.model.as_str());
            self.require(
                known,
                path_to("model"),
                quoted(&engine.model),
                "a declared model",
            );
            let memory_tokens = engine.memory_tokens;
            self.require(
                memory_tokens > 0,
                path_to("memory_tokens"),
                memory_tokens,
                "1 or more tokens",
            );
            self.require(
                engine.slots > 0,
                path_to("slots"),
                engine.slots,
                "1 or more requests",
            );
            let prefill = engine.prefill_tokens_per_s;
            self.require(
                prefill > 0,
                path_to("prefill_tokens_per_s"),
                prefill,
                "1 or more tokens/s",
            );
        }
    }

    fn check_services(&mut self, d: &v1::Declaration) {
        self.require_unique_names("services", d.services.iter().map(|s| s.name.as_str()));
        for (i, service) in d.services.iter().enumerate() {
            for (j, target) in service.targets.iter().enumerate() {
                self.require_address(
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

    fn check_accounts(&mut self, d: &v1::Declaration) {
        let models: BTreeSet<&str> = d.models.iter().map(|m| m.name.as_str()).collect();
        self.require_unique_names("accounts", d.accounts.iter().map(|a| a.name.as_str()));
        for (i, account) in d.accounts.iter().enumerate() {
            let path_to = |field: &str| format!("accounts[{i}].{field}");
            let is_positive = |value: f64| value > 0.0 && value.is_finite();
            self.require(
                is_positive(account.weight),
                path_to("weight"),
                account.weight,
                "above 0",
            );
            let rate = account.requests_per_s;
            self.require(
                is_positive(rate),
                path_to("requests_per_s"),
                rate,
                "above 0 requests/s",
            );
            let tokens = account.prompt_tokens_per_s;
            self.require(
                is_positive(tokens),
                path_to("prompt_tokens_per_s"),
                tokens,
                "above 0 tokens/s",
            );
            let max_concurrent = account.max_concurrent;
            self.require(
                max_concurrent > 0,
                path_to("max_concurrent"),
                max_concurrent,
                "1 or more requests",
            );
            for (j, key) in account.key_sha256.iter().enumerate() {
                self.require(
                    is_sha256(key),
                    path_to(&format!("key_sha256[{j}]")),
                    quoted(key),
                    "64 hex digits",
                );
            }
            for (j, model) in account.models.iter().enumerate() {
                let known = models.contains(model.as_str());
                self.require(
                    known,
                    path_to(&format!("models[{j}]")),
                    quoted(model),
                    "a declared model",
                );
            }
        }
    }

    fn check_routing(&mut self, d: &v1::Declaration) {
        let Some(routing) = &d.routing else {
            self.add_fault("routing".into(), "nothing", "a routing policy");
            return;
        };
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        let short_weight = routing.short_weight;
        self.require(
            is_share(short_weight),
            "routing.short_weight".into(),
            short_weight,
            "0 to 1",
        );
        let max_ejected_share = routing.max_ejected_share;
        self.require(
            is_share(max_ejected_share),
            "routing.max_ejected_share".into(),
            max_ejected_share,
            "0 to 1",
        );
        let bytes_per_token = routing.bytes_per_token;
        let path = "routing.bytes_per_token".into();
        self.require(
            bytes_per_token > 0.0 && bytes_per_token.is_finite(),
            path,
            bytes_per_token,
            "above 0 bytes",
        );
        let stall_timeout_ms = routing.stall_timeout_ms;
        let path = "routing.stall_timeout_ms".into();
        self.require(
            stall_timeout_ms >= 100,
            path,
            stall_timeout_ms,
            "100 or more ms",
        );
    }

    /// Checks that at least `min_engines` engines serve each model, and that one of
    /// them has `min_memory_tokens` of memory.
    fn check_capacity(&mut self, d: &v1::Declaration) {
        for (i, model) in d.models.iter().enumerate() {
            let serving = d
                .engines
                .iter()
                .filter(|e| is_declared_serving(e, &model.name));
            let (mut count, mut has_memory) = (0, false);
            for engine in serving {
                count += 1;
                has_memory |= engine.memory_tokens >= model.min_memory_tokens;
            }
            let min_engines = model.min_engines;
            let allowed = format!("{min_engines} or more engines that serve `{}`", model.name);
            self.require(
                count >= min_engines,
                format!("models[{i}].min_engines"),
                format!("{count} engines"),
                &allowed,
            );
            let path = format!("models[{i}].min_memory_tokens");
            let min_memory_tokens = model.min_memory_tokens;
            self.require(
                count == 0 || has_memory,
                path,
                format!("{min_memory_tokens} tokens"),
                "what the largest serving engine has",
            );
        }
    }
}

/// Whether the declaration has the engine serve `model`: not draining and not on
/// standby.
pub(crate) fn is_declared_serving(engine: &v1::Engine, model: &str) -> bool {
    engine.model == model && !engine.drain && engine.role() != v1::EngineRole::Standby
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn quoted(text: &str) -> String {
    format!("`{text}`")
}
