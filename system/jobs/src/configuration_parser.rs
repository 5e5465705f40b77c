//! Parses and validates the JSON configuration submitted by an operator.
//!
//! Unknown fields are ignored.
use crate::{
    configuration::{Configuration, Limits, Service},
    configuration_error::ConfigurationError,
    json_depth::is_too_deep,
    json_fields::{field_error, JsonFields},
    route::Route,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tinyjson::JsonValue;

const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_MAX_CONNECTIONS: u64 = 64;
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
const DEFAULT_STRETCH: f64 = 1.0;

impl Configuration {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let text = std::str::from_utf8(body).map_err(ConfigurationError::NotUtf8)?;
        if is_too_deep(text) {
            return Err(ConfigurationError::TooDeep);
        }
        let value: JsonValue = text.parse().map_err(ConfigurationError::NotJson)?;
        let fields = JsonFields::new(String::new(), &value)?;
        let version = fields.integer("version", 0)?;
        if version == 0 {
            return Err(field_error("version", "a whole number above 0"));
        }
        let services = parse_services(&fields)?;
        let routes = parse_routes(&fields, &services)?;
        let limits = parse_limits(&fields)?;
        Ok(Configuration {
            version,
            routes: routes.into_iter().collect(),
            services,
            limits,
        })
    }
}

fn parse_services(
    configuration: &JsonFields<'_>,
) -> Result<BTreeMap<String, Service>, ConfigurationError> {
    let mut services = BTreeMap::new();
    for fields in configuration.objects("services")? {
        let service = parse_service(&fields)?;
        let name = service.name.clone();
        if services.insert(name.clone(), service).is_some() {
            return Err(ConfigurationError::DuplicateName(name));
        }
    }
    Ok(services)
}

fn parse_service(fields: &JsonFields<'_>) -> Result<Service, ConfigurationError> {
    Ok(Service {
        name: fields.string("name")?,
        health_path: fields
            .string("healthPath")
            .unwrap_or_else(|_| DEFAULT_HEALTH_PATH.to_owned()),
        max_connections: fields.integer("maxConnections", DEFAULT_MAX_CONNECTIONS)?,
        rejects_excess_tasks: fields.boolean("guards")?,
    })
}

/// Matching criteria of a route: lower-case host and path prefix.
type RouteMatch = (String, String);

fn parse_routes(
    configuration: &JsonFields<'_>,
    services: &BTreeMap<String, Service>,
) -> Result<Vec<Arc<Route>>, ConfigurationError> {
    let mut routes = Vec::new();
    let mut names = BTreeSet::new();
    let mut name_by_match: BTreeMap<RouteMatch, String> = BTreeMap::new();
    for fields in configuration.objects("routes")? {
        let route = parse_route(&fields)?;
        if !services.contains_key(&route.service) {
            return Err(ConfigurationError::UnknownService {
                route: route.name,
                service: route.service,
            });
        }
        if !names.insert(route.name.clone()) {
            return Err(ConfigurationError::DuplicateName(route.name));
        }
        let route_match = (
            route.hostname.to_ascii_lowercase(),
            route.path_prefix.clone(),
        );
        if let Some(first) = name_by_match.insert(route_match, route.name.clone()) {
            return Err(ConfigurationError::DuplicateMatch {
                first,
                second: route.name,
            });
        }
        routes.push(Arc::new(route));
    }
    Ok(routes)
}

fn parse_route(fields: &JsonFields<'_>) -> Result<Route, ConfigurationError> {
    let timeout_ms = fields.integer("timeoutMs", 0)?;
    if timeout_ms == 0 {
        return Err(field_error(fields.field_path("timeoutMs"), "above 0"));
    }
    Ok(Route {
        name: fields.string("name")?,
        hostname: fields.string("hostname")?,
        path_prefix: fields.string("pathPrefix")?,
        timeout_ms,
        target_latency_ms: fields.integer("targetLatencyMs", 0)?,
        priority: fields.integer_u32("priority", 0)?,
        service: fields.string("service")?,
        max_attempts: fields.integer_u32("maxAttempts", DEFAULT_MAX_ATTEMPTS)?,
        stretch: fields.number("stretch", DEFAULT_STRETCH)?,
    })
}

fn parse_limits(configuration: &JsonFields<'_>) -> Result<Limits, ConfigurationError> {
    let Some(value) = configuration.value("limits") else {
        return Ok(Limits::default());
    };
    let fields = JsonFields::new("limits".to_owned(), value)?;
    let default = Limits::default();
    Ok(Limits {
        max_body_bytes: fields.integer("maxBodyBytes", default.max_body_bytes)?,
        max_header_bytes: fields.integer("maxHeaderBytes", default.max_header_bytes)?,
        idle_timeout_ms: fields.integer("idleTimeoutMs", default.idle_timeout_ms)?,
    })
}
