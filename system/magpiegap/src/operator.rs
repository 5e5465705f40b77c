//! The operator's commands: against a coordinator, a proxy, or files.
use crate::{endpoint, error::ProgramError};
use magpiegap_jobs::Configuration;
use std::{net::SocketAddr, path::Path, time::Duration};

/// How long a coordinator or proxy may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Redirects that are followed.
const MOST_REDIRECTS: usize = 2;

/// A call to a coordinator or proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    /// The method.
    pub method: &'static str,
    /// Where to.
    pub at: Option<SocketAddr>,
    /// The path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Makes a call, and returns the body of its answer.
///
/// # Errors
/// When there is no answer, or none with success.
pub(crate) async fn call(call: Call) -> Result<String, ProgramError> {
    let client = endpoint::client();
    let failed = |what: String| ProgramError::Server(what);
    let address = call.at.ok_or_else(|| failed("no address".to_owned()))?;
    let mut url = format!("http://{address}{}", call.path);
    for _ in 0..=MOST_REDIRECTS {
        let method = reqwest::Method::from_bytes(call.method.as_bytes()).unwrap_or_default();
        let mut request = client
            .request(method, &url)
            .timeout(TIMEOUT)
            .body(call.body.clone());
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let response = request
            .send()
            .await
            .map_err(|error| failed(format!("{url}: {error}")))?;
        let status = response.status();
        let location = response
            .headers()
            .get("Location")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        if let Some(location) = location.filter(|_| status.as_u16() == 307) {
            url = location;
            continue;
        }
        let text = response
            .text()
            .await
            .map_err(|error| failed(format!("{url}: {error}")))?;
        if status.is_success() {
            return Ok(text);
        }
        return Err(failed(
            format!("{url}: {} {text}", status.as_u16())
                .trim()
                .to_owned(),
        ));
    }
    Err(failed(format!("{url}: sent on too often")))
}

/// The fields of a query that are given, encoded.
pub(crate) fn query(fields: &[(&str, &Option<String>)]) -> String {
    let given = fields
        .iter()
        .filter_map(|(name, value)| Some((*name, value.as_deref()?)));
    let encode = |value: &str| {
        rocket::http::RawStr::new(value)
            .percent_encode()
            .to_string()
    };
    let pairs: Vec<String> = given
        .map(|(name, value)| format!("{name}={}", encode(value)))
        .collect();
    pairs.join("&")
}

/// Reads a file.
///
/// # Errors
/// When it can't be read.
pub(crate) fn read_file(file: &Path) -> Result<Vec<u8>, ProgramError> {
    std::fs::read(file)
        .map_err(|source| ProgramError::Server(format!("{}: {source}", file.display())))
}

/// Checks a configuration, and says what it holds.
///
/// # Errors
/// When it is invalid.
pub fn check_configuration(file: &Path) -> Result<String, ProgramError> {
    let configuration = Configuration::parse(&read_file(file)?)
        .map_err(|error| ProgramError::Server(format!("{}: {error}", file.display())))?;
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    Ok(format!(
        "version {}: {routes} routes, {services} services",
        configuration.version
    ))
}
