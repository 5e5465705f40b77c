//! The operator's configuration: read by hand, and checked whole.
use crate::{route::Route, route_table::RouteTable};
use minicbor::{Decode, Encode};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tinyjson::JsonValue;

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The bytes are no JSON text.
    #[error("not readable as JSON: {0}")]
    Unreadable(String),
    /// A field is missing or of the wrong kind.
    #[error("{field}: must be {must}")]
    Field {
        /// Where.
        field: String,
        /// What it must be.
        must: &'static str,
    },
    /// A route names a service that isn't there.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes are at the same place.
    #[error("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// Two routes or services have the same name.
    #[error("{0}: the name comes twice")]
    SameName(String),
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Service {
    /// Its name.
    #[n(0)]
    pub name: String,
    /// Where its workers answer for their health.
    #[n(1)]
    pub health_path: String,
    /// Most connections to one worker.
    #[n(2)]
    pub max_connections: u64,
    /// Its workers turn down what does not fit.
    #[n(3)]
    pub guards: bool,
}

/// Limits on clients' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Limits {
    /// Longest body, in bytes.
    #[n(0)]
    pub max_body_bytes: u64,
    /// Longest head, in bytes.
    #[n(1)]
    pub max_header_bytes: u64,
    /// Longest time without a request on an open connection, in milliseconds.
    #[n(2)]
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body_bytes: 262_144,
            max_header_bytes: 16_384,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A valid configuration. Copies of it, and other versions made from it, share the routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: RouteTable,
    /// Its services, by name.
    pub services: BTreeMap<String, Service>,
    /// Its limits.
    pub limits: Limits,
}

type Object = HashMap<String, JsonValue>;

fn field_error(field: impl Into<String>, must: &'static str) -> ConfigurationError {
    ConfigurationError::Field {
        field: field.into(),
        must,
    }
}

/// Reads the fields of one object; `path` names it in errors.
struct Fields<'a> {
    path: String,
    object: &'a Object,
}

impl<'a> Fields<'a> {
    fn new(path: String, value: &'a JsonValue) -> Result<Fields<'a>, ConfigurationError> {
        match value.get::<Object>() {
            Some(object) => Ok(Fields { path, object }),
            None => Err(field_error(path, "an object")),
        }
    }

    fn name(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    fn text(&self, field: &str) -> Result<String, ConfigurationError> {
        let text = self
            .object
            .get(field)
            .and_then(|value| value.get::<String>());
        text.cloned()
            .ok_or_else(|| field_error(self.name(field), "a text"))
    }

    /// A whole number of at least zero; a missing one is `missing`.
    fn number(&self, field: &str, missing: u64) -> Result<u64, ConfigurationError> {
        const MOST: f64 = 9_007_199_254_740_992.0;
        match self.object.get(field) {
            None | Some(JsonValue::Null) => Ok(missing),
            Some(JsonValue::Number(number))
                if (0.0..=MOST).contains(number) && number.fract() == 0.0 =>
            {
                Ok(*number as u64)
            }
            Some(_) => Err(field_error(
                self.name(field),
                "a whole number of at least 0",
            )),
        }
    }

    fn small(&self, field: &str, missing: u32) -> Result<u32, ConfigurationError> {
        let number = self.number(field, u64::from(missing))?;
        u32::try_from(number).map_err(|_| field_error(self.name(field), "a smaller number"))
    }

    fn fraction(&self, field: &str, missing: f64) -> Result<f64, ConfigurationError> {
        match self.object.get(field) {
            None | Some(JsonValue::Null) => Ok(missing),
            Some(JsonValue::Number(number)) if number.is_finite() && *number >= 0.0 => Ok(*number),
            Some(_) => Err(field_error(self.name(field), "a number of at least 0")),
        }
    }

    fn flag(&self, field: &str) -> Result<bool, ConfigurationError> {
        match self.object.get(field) {
            None | Some(JsonValue::Null) => Ok(false),
            Some(JsonValue::Boolean(flag)) => Ok(*flag),
            Some(_) => Err(field_error(self.name(field), "true or false")),
        }
    }

    fn list(&self, field: &str) -> Result<Vec<Fields<'a>>, ConfigurationError> {
        let list = self
            .object
            .get(field)
            .and_then(|value| value.get::<Vec<JsonValue>>());
        let list = list.ok_or_else(|| field_error(self.name(field), "a list"))?;
        let read = |(i, value)| Fields::new(format!("{}[{i}]", self.name(field)), value);
        list.iter().enumerate().map(read).collect()
    }
}

impl Configuration {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    /// The first fault found.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let text =
            std::str::from_utf8(body).map_err(|e| ConfigurationError::Unreadable(e.to_string()))?;
        let value: JsonValue = text
            .parse()
            .map_err(|e: tinyjson::JsonParseError| ConfigurationError::Unreadable(e.to_string()))?;
        let fields = Fields::new(String::new(), &value)?;
        let version = fields.number("version", 0)?;
        if version == 0 {
            return Err(field_error("version", "a whole number above 0"));
        }
        let services = read_services(&fields)?;
        let routes = read_routes(&fields, &services)?;
        let limits = read_limits(&fields)?;
        Ok(Configuration {
            version,
            routes: routes.into_iter().collect(),
            services,
            limits,
        })
    }

    /// The route of a host and path: the longest prefix counts.
    pub fn route(&self, hostname: &str, path: &str) -> Option<&Route> {
        self.routes.find(hostname, path)
    }
}

fn read_services(fields: &Fields<'_>) -> Result<BTreeMap<String, Service>, ConfigurationError> {
    let mut services = BTreeMap::new();
    for service in fields.list("services")? {
        let name = service.text("name")?;
        let entry = Service {
            name: name.clone(),
            health_path: service
                .text("healthPath")
                .unwrap_or_else(|_| "/health".to_owned()),
            max_connections: service.number("maxConnections", 64)?,
            guards: service.flag("guards")?,
        };
        if services.insert(name.clone(), entry).is_some() {
            return Err(ConfigurationError::SameName(name));
        }
    }
    Ok(services)
}

fn read_routes(
    fields: &Fields<'_>,
    services: &BTreeMap<String, Service>,
) -> Result<Vec<Arc<Route>>, ConfigurationError> {
    let mut routes = Vec::new();
    let mut names = BTreeSet::new();
    let mut places: BTreeMap<(String, String), String> = BTreeMap::new();
    for fields in fields.list("routes")? {
        let route = read_route(&fields)?;
        if !services.contains_key(&route.service) {
            return Err(ConfigurationError::UnknownService {
                route: route.name,
                service: route.service,
            });
        }
        if !names.insert(route.name.clone()) {
            return Err(ConfigurationError::SameName(route.name));
        }
        let place = (
            route.hostname.to_ascii_lowercase(),
            route.path_prefix.clone(),
        );
        if let Some(first) = places.insert(place, route.name.clone()) {
            return Err(ConfigurationError::SamePlace {
                first,
                second: route.name,
            });
        }
        routes.push(Arc::new(route));
    }
    Ok(routes)
}

fn read_route(fields: &Fields<'_>) -> Result<Route, ConfigurationError> {
    let timeout_ms = fields.number("timeoutMs", 0)?;
    if timeout_ms == 0 {
        return Err(field_error(fields.name("timeoutMs"), "above 0"));
    }
    Ok(Route {
        name: fields.text("name")?,
        hostname: fields.text("hostname")?,
        path_prefix: fields.text("pathPrefix")?,
        timeout_ms,
        target_latency_ms: fields.number("targetLatencyMs", 0)?,
        priority: fields.small("priority", 0)?,
        service: fields.text("service")?,
        max_attempts: fields.small("maxAttempts", 1)?,
        stretch: fields.fraction("stretch", 1.0)?,
    })
}

fn read_limits(fields: &Fields<'_>) -> Result<Limits, ConfigurationError> {
    let Some(value) = fields.object.get("limits") else {
        return Ok(Limits::default());
    };
    let fields = Fields::new("limits".to_owned(), value)?;
    let usual = Limits::default();
    Ok(Limits {
        max_body_bytes: fields.number("maxBodyBytes", usual.max_body_bytes)?,
        max_header_bytes: fields.number("maxHeaderBytes", usual.max_header_bytes)?,
        idle_timeout_ms: fields.number("idleTimeoutMs", usual.idle_timeout_ms)?,
    })
}
