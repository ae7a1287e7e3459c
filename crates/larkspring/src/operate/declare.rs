//! Parsing and validation of declarations in YAML files.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use larkspring_core::ids::VERSION_MARK;
use larkspring_proto::declared::{Adapter, Caller, Chunk, Endpoint, Service};
use quick_error::quick_error;

quick_error! {
    /// Errors in declarations, one line for each.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeclareError {
        /// A file or folder can't be read.
        Read(path: String, cause: String) { display("{path}: {cause}") }
        /// The declarations are invalid; one line for each error.
        Faults(lines: String) { display("{lines}") }
    }
}

const HASH_LEN: usize = 64;
const LEAST_URGENT: u32 = 9;

/// Reads all `.yaml` files of a folder as one declaration.
pub fn read_dir(dir: &Path) -> Result<Chunk, DeclareError> {
    let fail =
        |e: std::io::Error| DeclareError::Read(dir.display().to_string(), e.to_string());
    let mut paths = Vec::new();
    for item in std::fs::read_dir(dir).map_err(fail)? {
        let path = item.map_err(fail)?.path();
        if path.extension().is_some_and(|ext| ext == "yaml" || ext == "yml") {
            paths.push(path);
        }
    }
    paths.sort();
    read_files(&paths)
}

/// Reads files as one declaration.
pub fn read_files(paths: &[PathBuf]) -> Result<Chunk, DeclareError> {
    let mut texts = Vec::new();
    for path in paths {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| DeclareError::Read(name.clone(), e.to_string()))?;
        texts.push((name, text));
    }
    parse(&texts)
}

/// Parses and validates texts, each with its file name, as one declaration.
pub fn parse(texts: &[(String, String)]) -> Result<Chunk, DeclareError> {
    let mut check = Validator { texts, errors: String::new() };
    let mut all = Chunk::default();
    for (file, text) in texts {
        match serde_yaml_ng::from_str::<Chunk>(text) {
            Ok(chunk) => merge(&mut all, chunk),
            Err(e) => {
                let line = e.location().map_or(1, |l| l.line());
                let _ = writeln!(check.errors, "{file}:{line}: {e}");
            }
        }
    }
    if check.errors.is_empty() {
        check.all(&all);
    }
    match check.errors.is_empty() {
        true => Ok(all),
        false => Err(DeclareError::Faults(check.errors.trim_end().into())),
    }
}

fn merge(all: &mut Chunk, chunk: Chunk) {
    all.adapters.extend(chunk.adapters);
    all.callers.extend(chunk.callers);
    all.services.extend(chunk.services);
    all.endpoints.extend(chunk.endpoints);
}

/// Collects the errors of a declaration.
struct Validator<'a> {
    texts: &'a [(String, String)],
    errors: String,
}

impl<'a> Validator<'a> {
    fn all(&mut self, all: &Chunk) {
        self.unique("adapter", all.adapters.iter().map(|a| &*a.name));
        self.unique("caller", all.callers.iter().map(|c| &*c.name));
        self.unique("service", all.services.iter().map(|s| &*s.name));
        self.unique("endpoint", all.endpoints.iter().map(|e| &*e.name));
        all.adapters.iter().for_each(|a| self.adapter(a));
        all.callers.iter().for_each(|c| self.caller(c));
        all.services.iter().for_each(|s| self.service(s));
        let services: BTreeSet<_> = all.services.iter().map(|s| &*s.name).collect();
        all.endpoints.iter().for_each(|e| self.endpoint(e, &services));
        self.shared_keys(&all.callers);
    }

    fn unique<'n>(&mut self, kind: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            if name.is_empty() {
                self.error("", &format!("an {kind} has no name"));
            } else if !seen.insert(name) {
                self.error(name, &format!("{kind} `{name}` is declared twice"));
            }
        }
    }

    fn adapter(&mut self, adapter: &Adapter) {
        let name = &adapter.name;
        if name.contains(VERSION_MARK) {
            let text = format!("adapter `{name}` has `{VERSION_MARK}` in its name");
            self.error(name, &text);
        }
        if adapter.base.is_empty() {
            self.error(name, &format!("adapter `{name}` has no base model"));
        }
        self.unique("version", adapter.versions.iter().map(|v| &*v.name));
        let default = &adapter.default_version;
        let live = |v: &&larkspring_proto::declared::Version| !v.retired;
        if !adapter.versions.iter().filter(live).any(|v| v.name == *default) {
            let text = format!(
                "adapter `{name}`: default_version `{default}` is no live version"
            );
            self.error(name, &text);
        }
    }

    fn caller(&mut self, caller: &Caller) {
        let name = &caller.name;
        let hash = &caller.key_sha256;
        let hex = hash.bytes().all(|b| b.is_ascii_hexdigit());
        if hash.len() != HASH_LEN || !hex {
            let text = format!("caller `{name}`: key_sha256 is no SHA-256 in hex");
            self.error(name, &text);
        }
        if caller.priority > LEAST_URGENT {
            let text = format!("caller `{name}`: priority is over {LEAST_URGENT}");
            self.error(name, &text);
        }
    }

    fn service(&mut self, service: &Service) {
        for rule in &service.not_repeatable {
            let valid = rule.split_once(' ').is_some_and(|(_, p)| p.starts_with('/'));
            if !valid {
                let text = format!("`{rule}` is no call like `POST /path`");
                self.error(&service.name, &text);
            }
        }
    }

    fn endpoint(&mut self, endpoint: &Endpoint, services: &BTreeSet<&str>) {
        let name = &endpoint.name;
        if endpoint.agent.parse::<SocketAddr>().is_err() {
            let text = format!("endpoint `{name}`: agent is no address");
            self.error(name, &text);
        }
        if endpoint.base.is_empty() == endpoint.service.is_empty() {
            let text = format!("endpoint `{name}` needs one of base and service");
            self.error(name, &text);
        }
        let service = &*endpoint.service;
        if !service.is_empty() && !services.contains(service) {
            let text = format!("endpoint `{name}`: service `{service}` isn't declared");
            self.error(name, &text);
        }
    }

    fn shared_keys(&mut self, callers: &[Caller]) {
        let mut seen = BTreeMap::new();
        for caller in callers {
            let name = &caller.name;
            if let Some(other) = seen.insert(caller.key_sha256.to_lowercase(), name) {
                let text = format!("caller `{name}` has the key of caller `{other}`");
                self.error(name, &text);
            }
        }
    }

    /// Records an error at the line that declares `name`.
    fn error(&mut self, name: &str, what: &str) {
        let (file, line) = self.find(name);
        let _ = writeln!(self.errors, "{file}:{line}: {what}");
    }

    fn find(&self, name: &str) -> (&'a str, usize) {
        let declares = |line: &str| {
            let line = line.trim_start().trim_start_matches("- ").trim_end();
            let value = line.strip_prefix("name:").map(str::trim);
            value.is_some_and(|v| v.trim_matches(['"', '\'']) == name)
        };
        for (file, text) in self.texts {
            if let Some(at) = text.lines().position(declares) {
                return (file, at + 1);
            }
        }
        (self.texts.first().map_or("", |(file, _)| file), 1)
    }
}
