//! Requests as clients of the platform send them and backend servers get them.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;

use crate::system::{HOST, KEY};

/// A request as a client of the platform sends it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: String,
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
}

impl Request {
    /// A request with the team's key and a deadline of 3 s.
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

    /// A request that takes some 50 ms, of the lock-step group or of a plain service.
    pub fn short(ranks: bool) -> Request {
        match ranks {
            true => Request::new("/draft/").with("x-standin-events", "5"),
            false => Request::new("/alert/").with("x-standin-delay-ms", "50"),
        }
    }

    /// Sets a header.
    pub fn with(mut self, name: &str, value: &str) -> Request {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
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

    /// Sets how long the client waits.
    pub fn deadline(self, time: Duration) -> Request {
        self.with("x-deadline-ms", &time.as_millis().to_string())
    }

    /// The request as it stands on the wire.
    pub fn text(&self) -> String {
        let headers = self.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        let headers: String = headers.collect();
        let (method, path, body) = (self.method, &self.path, &self.body);
        let length = body.len();
        format!("{method} {path} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n{body}")
    }

    /// Leaves a header out.
    pub fn without(mut self, name: &str) -> Request {
        self.headers.retain(|(known, _)| known != name);
        self
    }
}

/// What the head of an answer tells its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Status.
    pub status: u16,
    /// Signature of the backend server, if there is one.
    pub signature: Option<String>,
    /// Id of the request that the answer names.
    pub request: Option<String>,
    /// Time after which the client should come back.
    pub retry_after: Option<Duration>,
}

impl Head {
    /// The head of a response.
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

/// A request as a backend server got it.
#[derive(Debug, Clone)]
pub struct Arrival(pub Value);

impl Arrival {
    /// Id of the request.
    pub fn id(&self) -> &str {
        self.0["headers"]["x-attempt-id"].as_str().unwrap_or_default()
    }

    /// Whether it came as it was sent to that path, with its team, without the
    /// key, and to the backend server that it was meant for.
    pub fn is_intact(&self, path: &str) -> bool {
        let headers = &self.0["headers"];
        self.0["path"] == path
            && self.0["body"] == "body"
            && headers["x-tenant"] == "clinica"
            && headers["x-expect-instance"] == self.0["server"]
            && headers.get("x-api-key").is_none()
    }
}
