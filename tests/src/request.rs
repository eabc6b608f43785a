//! Requests as clients send them and as backend servers receive them.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;

use crate::system::{HOST, KEY};

/// A request as a client sends it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id of the request.
    pub id: String,
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
}

impl Request {
    /// Creates a POST request with a unique id, the team's key and a deadline of 3 s.
    pub fn new(path: &str) -> Request {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let id = format!("req{:08x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let request = Request {
            id: id.clone(),
            method: "POST",
            path: path.to_owned(),
            headers: Vec::new(),
            body: "body".to_owned(),
        };
        request
            .with("host", HOST)
            .with("x-attempt-id", &id)
            .with("x-api-key", KEY)
            .with("x-deadline-ms", "3000")
    }

    /// Creates a request that takes about 50 ms, for the lock-step group or a plain service.
    pub fn short(ranks: bool) -> Request {
        match ranks {
            true => Request::new("/draft/").with("x-standin-events", "5"),
            false => Request::new("/alert/").with("x-standin-delay-ms", "50"),
        }
    }

    /// Sets a header and replaces an earlier value.
    pub fn with(mut self, name: &str, value: &str) -> Request {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the method.
    pub fn method(mut self, method: &'static str) -> Request {
        self.method = method;
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: &str) -> Request {
        body.clone_into(&mut self.body);
        self
    }

    /// Sets the team's key.
    pub fn key(self, key: &str) -> Request {
        self.with("x-api-key", key)
    }

    /// Sets the deadline.
    pub fn deadline(self, time: Duration) -> Request {
        self.with("x-deadline-ms", &time.as_millis().to_string())
    }

    /// Returns the HTTP/1.1 message of the request.
    pub fn text(&self) -> String {
        let headers = self.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        let headers: String = headers.collect();
        let (method, path, body) = (self.method, &self.path, &self.body);
        let length = body.len();
        format!("{method} {path} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n{body}")
    }

    /// Removes a header.
    pub fn without(mut self, name: &str) -> Request {
        self.headers.retain(|(known, _)| known != name);
        self
    }
}

/// Status and headers of a response that matter to its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Signature of the backend server, if there is one.
    pub signature: Option<String>,
    /// Id of the request that the response answers.
    pub request: Option<String>,
    /// Time after which the client may retry.
    pub retry_after: Option<Duration>,
}

impl Head {
    /// Reads the head of a response.
    pub fn of<B>(response: &http::Response<B>) -> Head {
        let text = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Head {
            status: response.status().as_u16(),
            signature: text("x-server-stamp"),
            request: text("x-attempt-id"),
            retry_after: text("retry-after")
                .and_then(|text| Duration::try_from_secs_f64(text.parse().ok()?).ok()),
        }
    }
}

/// A request as a backend server received it.
#[derive(Debug, Clone)]
pub struct Arrival(pub Value);

impl Arrival {
    /// Returns the id of the request.
    pub fn id(&self) -> &str {
        self.0["headers"]["x-attempt-id"].as_str().unwrap_or_default()
    }

    /// Returns whether the request arrived unchanged at the path and at the backend server that
    /// it was meant for, with its team and without the key.
    pub fn is_intact(&self, path: &str) -> bool {
        let headers = &self.0["headers"];
        self.0["path"] == path
            && self.0["body"] == "body"
            && headers["x-tenant"] == "clinica"
            && headers["x-expect-instance"] == self.0["server"]
            && headers.get("x-api-key").is_none()
    }
}
