//! Reads a client's request from HTTP and validates it against the bundle in force.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use loftcove_bundle::content;
use loftcove_decision::{home, poison};
use loftcove_gateway::client;
use loftcove_intake::{body, memory};
use serde::{Deserialize, de};
use serde_json::value::RawValue;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;
use xxhash_rust::xxh3;

use crate::entry::refusal::Refusal;
use crate::force;

/// Request header with the name of the request class.
pub const CLASS_HEADER: &str = "loftcove-class";
/// Request header with the time until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "loftcove-deadline-ms";
/// Request header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Response header or trailer with the outcome.
pub const OUTCOME_HEADER: &str = "loftcove-outcome";
/// Response header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "loftcove-request-id";

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of plain services.
const SERVICE_PREFIX: &str = "/services/";
/// Maximum total size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Number of times that the process holds a body: as it arrived, and in the message to an agent.
const COPIES: usize = 2;
/// Length of the beginning of a prompt that selects a prefix cache, in bytes.
const PREFIX_BYTES: usize = 256;

/// A validated request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id that this entry host gave the request.
    pub id: uuid::Uuid,
    /// Pool of backend servers, named after the requested model or service.
    pub pool: Arc<str>,
    /// Team that the client belongs to.
    pub team: Arc<str>,
    /// Request class.
    pub class: content::Class,
    /// Time until the deadline.
    pub budget: Duration,
    /// Whether the request was suspected of having ended a backend server when it arrived.
    pub suspect: bool,
    /// Idempotency key, if the client gave one.
    pub key: Option<home::key::Key>,
    /// Hash of the beginning of the prompt; zero for a service.
    pub prefix: u64,
    /// Method of the request to the backend server.
    pub method: http::Method,
    /// Path and query of the request to the backend server.
    pub path: String,
    /// Headers of the request to the backend server.
    pub headers: http::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Fields of a chat request that routing depends on. All values that it does not need are skipped,
/// because they may take many times the size of their text.
#[derive(Deserialize)]
struct Chat<'a> {
    model: String,
    #[serde(borrow, default)]
    messages: Messages<'a>,
}

/// The first message, if there is one.
#[derive(Default)]
struct Messages<'a>(Option<Message<'a>>);

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: Option<&'a RawValue>,
}

impl<'de: 'a, 'a> Deserialize<'de> for Messages<'a> {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Messages<'a>, D::Error> {
        struct Visitor;

        impl<'de> de::Visitor<'de> for Visitor {
            type Value = Messages<'de>;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a list of messages")
            }

            fn visit_seq<A: de::SeqAccess<'de>>(
                self,
                mut list: A,
            ) -> Result<Messages<'de>, A::Error> {
                let first = list.next_element()?;
                while list.next_element::<de::IgnoredAny>()?.is_some() {}
                Ok(Messages(first))
            }
        }

        deserializer.deserialize_seq(Visitor)
    }
}

/// Memory of a header beside its name and value, in bytes.
const HEADER_OVERHEAD: usize = 128;

/// Returns the memory that the headers of a request take, in bytes.
pub fn header_memory(headers: &http::HeaderMap) -> usize {
    let size = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_OVERHEAD
    };
    headers.iter().map(size).sum()
}

/// Reads the complete request and validates it.
///
/// # Errors
///
/// Returns the first [`Refusal`] found. Nothing has been sent to any other process then.
pub async fn read(
    id: uuid::Uuid,
    (parts, body): (http::request::Parts, &mut client::Body),
    bundle: &force::Bundle,
    (account, max_body): (&memory::Account, usize),
) -> Result<Call, Refusal> {
    check_headers(&parts.headers)?;
    let team = authenticate(&parts.headers, &bundle.content)?;
    let content = &bundle.content;
    let (target, path) = target(&parts)?;
    let time = time_for_body(&parts.headers, content)?;
    let limit = body::Limit { bytes: max_body, time, copies: COPIES };
    let body = tokio::time::timeout(time, body::collect(body, account, limit)).await;
    let body = body.map_err(|_| Refusal::Deadline)?.map_err(|error| match error {
        body::Error::TooLarge => Refusal::TooLarge(max_body),
        body::Error::Truncated => Refusal::Truncated,
        body::Error::Full(_) => Refusal::Memory,
    })?;
    let (pool, default_class, prefix) = match target {
        Target::Chat => {
            let chat: Chat<'_> =
                serde_json::from_slice(&body).map_err(|error| Refusal::Json(error.to_string()))?;
            let model = content.model(&chat.model).ok_or(Refusal::Model(chat.model.clone()))?;
            (&model.name, &model.class, hash_prefix(&chat))
        }
        Target::Service(name) => {
            let service = content.service(&name).ok_or(Refusal::Service(name))?;
            (&service.name, &service.class, 0)
        }
    };
    let class = select_class(&parts.headers, content, default_class)?;
    let budget = budget(&parts.headers, &class)?;
    let key = header_text(&parts.headers, KEY_HEADER)?.map(home::key::Key::parse).transpose()?;
    Ok(Call {
        suspect: false,
        id,
        pool: pool.clone(),
        team,
        class,
        budget,
        key,
        prefix,
        method: parts.method,
        path,
        headers: forwarded_headers(&parts.headers),
        body,
    })
}

/// Kind of request, as its path gives it.
enum Target {
    Chat,
    Service(String),
}

/// Returns the target, and the path and query to send to the backend server. The service's name is
/// percent-decoded, so that a name with `/`, given as `%2F`, differs from a path below another
/// service. The rest of the path and the query are passed on as they are.
fn target(parts: &http::request::Parts) -> Result<(Target, String), Refusal> {
    let path = parts.uri.path();
    if path == CHAT_PATH {
        let post = parts.method == http::Method::POST;
        return if post { Ok((Target::Chat, path.to_owned())) } else { Err(Refusal::Method) };
    }
    let rest = path.strip_prefix(SERVICE_PREFIX).ok_or(Refusal::Path)?;
    let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
    let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let decoded = percent_encoding::percent_decode_str(name).decode_utf8();
    // No service has a name that is not UTF-8.
    let decoded = decoded.map_err(|_| Refusal::Service(name.to_owned()))?;
    Ok((Target::Service(decoded.into_owned()), format!("/{tail}{query}")))
}

fn check_headers(headers: &http::HeaderMap) -> Result<(), Refusal> {
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size > MAX_HEADER_BYTES { Err(Refusal::Headers(MAX_HEADER_BYTES)) } else { Ok(()) }
}

/// Returns the time within which a body must arrive: the deadline that the client gives, limited by
/// the longest one of all classes, because a chat request's class is known only from its body.
fn time_for_body(
    headers: &http::HeaderMap,
    content: &content::Content,
) -> Result<Duration, Refusal> {
    let longest = content.classes.iter().max_by_key(|class| class.deadline_ms);
    longest.map_or(Err(Refusal::NotServing), |class| budget(headers, class))
}

/// Returns the team that the request's bearer token belongs to. The token is compared with those of
/// all teams, each in constant time, so that the duration reveals nothing about the tokens.
pub fn authenticate(
    headers: &http::HeaderMap,
    content: &content::Content,
) -> Result<Arc<str>, Refusal> {
    let bearer =
        header_text(headers, "authorization")?.and_then(|text| text.strip_prefix("Bearer "));
    let hash = hex::encode(sha2::Sha256::digest(bearer.ok_or(Refusal::Token)?.as_bytes()));
    let mut found = None;
    for team in &content.teams {
        let stored = team.token_sha256.to_ascii_lowercase();
        if bool::from(stored.as_bytes().ct_eq(hash.as_bytes())) {
            found = Some(team.name.clone());
        }
    }
    found.ok_or(Refusal::Token)
}

/// Returns the value of a header as text, or `None` if the header is missing.
fn header_text<'a>(
    headers: &'a http::HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| Refusal::Header(name))
}

/// Returns the class that the client asks for, or else the default.
fn select_class(
    headers: &http::HeaderMap,
    content: &content::Content,
    default: &Arc<str>,
) -> Result<content::Class, Refusal> {
    let name = header_text(headers, CLASS_HEADER)?.unwrap_or(default);
    content.class(name).cloned().ok_or(Refusal::Class(name.to_owned()))
}

/// Returns the time until the deadline, limited by the class.
fn budget(headers: &http::HeaderMap, class: &content::Class) -> Result<Duration, Refusal> {
    let max_ms = u64::from(class.deadline_ms);
    let requested = header_text(headers, DEADLINE_HEADER)?;
    let millis: u64 = match requested {
        Some(text) => text.parse().map_err(|_| Refusal::Header(DEADLINE_HEADER))?,
        None => max_ms,
    };
    if millis == 0 {
        return Err(Refusal::Deadline);
    }
    Ok(Duration::from_millis(millis.min(max_ms)))
}

/// Hashes the beginning of the first message, which contains the system prompt.
fn hash_prefix(chat: &Chat<'_>) -> u64 {
    let Some(first) = &chat.messages.0 else { return 0 };
    let text = first.content.map_or("null", RawValue::get);
    let end = text.len().min(PREFIX_BYTES);
    xxh3::xxh3_64(&text.as_bytes()[..end])
}

/// Returns the headers to forward to the backend server. Credentials are not forwarded, as they are
/// only meant for this process, nor are headers that concern the client's connection.
fn forwarded_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    const DROPPED: [&str; 9] = [
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let kept = headers.iter().filter(|(name, _)| !DROPPED.contains(&name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

impl Call {
    /// Hashes the request into its identity, which is the same for all retries by its client.
    pub fn digest(&self) -> poison::Digest {
        let parts = [self.method.as_str(), &self.pool, &self.path, &self.team].map(str::as_bytes);
        poison::Digest::of(&[parts[0], parts[1], parts[2], parts[3], &self.body])
    }

    /// Hashes the content of the request. Different hashes under one idempotency key show that the
    /// client has reused the key for another request.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        let parts = [self.team.as_bytes(), self.pool.as_bytes(), self.path.as_bytes(), &self.body];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.digest()
    }
}
