//! What a caller asks, read from HTTP and checked against the bundle.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use loftcove_bundle::content;
use loftcove_decision::{home, poison};
use serde::Deserialize;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;
use xxhash_rust::xxh3;

use crate::entry::refusal::Refusal;
use crate::force;

/// Header with the request class.
pub const CLASS_HEADER: &str = "loftcove-class";
/// Header with the time that is left for the answer, milliseconds.
pub const DEADLINE_HEADER: &str = "loftcove-deadline-ms";
/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header or trailer with the outcome.
pub const OUTCOME_HEADER: &str = "loftcove-outcome";
/// Header with the request's id.
pub const REQUEST_ID_HEADER: &str = "loftcove-request-id";

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Beginning of the paths of plain services.
const SERVICE_PREFIX: &str = "/services/";
/// Headers of one request at the most, bytes.
const MAX_HEADERS: usize = 16 * 1024;
/// How much of a body over the limit is read and dropped before the answer, as
/// a multiple of the limit, and for how long.
const DISCARD_FACTOR: usize = 8;
/// See [`DISCARD_FACTOR`].
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Bytes of a prompt that decide which prefix cache it suits.
const PREFIX_BYTES: usize = 256;

/// A request, checked.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its id.
    pub id: uuid::Uuid,
    /// Model or service that answers it.
    pub pool: Arc<str>,
    /// Team that sent it.
    pub team: Arc<str>,
    /// Its class.
    pub class: content::Class,
    /// Time that is left for the answer.
    pub budget: Duration,
    /// Whether it may have ended a backend server, as far as was known when it came.
    pub suspect: bool,
    /// Its idempotency key.
    pub key: Option<home::key::Key>,
    /// Hash of the prompt's beginning; zero for a service.
    pub prefix: u64,
    /// Method towards the backend server.
    pub method: http::Method,
    /// Path and query towards the backend server.
    pub path: String,
    /// Headers towards the backend server.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The part of a chat request that decides.
#[derive(Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
}

/// Reads a request whole and checks it.
///
/// # Errors
///
/// The first [`Refusal`]; nothing was sent anywhere.
pub async fn read(
    id: uuid::Uuid,
    request: http::Request<hyper::body::Incoming>,
    bundle: &force::Bundle,
    max_body: usize,
) -> Result<Call, Refusal> {
    let (parts, body) = request.into_parts();
    check_headers(&parts.headers)?;
    let team = authenticate(&parts.headers, &bundle.content)?;
    let content = &bundle.content;
    let (target, path) = target(&parts)?;
    let body = collect(body, max_body).await?;
    let (pool, default_class, prefix) = match target {
        Target::Chat => {
            let chat: Chat =
                serde_json::from_slice(&body).map_err(|error| Refusal::Json(error.to_string()))?;
            let model = content.model(&chat.model).ok_or(Refusal::Model(chat.model.clone()))?;
            (&model.name, &model.class, prefix(&chat))
        }
        Target::Service(name) => {
            let service = content.service(&name).ok_or(Refusal::Service(name))?;
            (&service.name, &service.class, 0)
        }
    };
    let class = class(&parts.headers, content, default_class)?;
    let budget = budget(&parts.headers, &class)?;
    let key = text(&parts.headers, KEY_HEADER)?.map(home::key::Key::parse).transpose()?;
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
        headers: forwarded(&parts.headers),
        body,
    })
}

enum Target {
    Chat,
    Service(String),
}

fn target(parts: &http::request::Parts) -> Result<(Target, String), Refusal> {
    let path = parts.uri.path();
    if path == CHAT_PATH {
        let post = parts.method == http::Method::POST;
        return if post { Ok((Target::Chat, path.to_owned())) } else { Err(Refusal::Method) };
    }
    let rest = path.strip_prefix(SERVICE_PREFIX).ok_or(Refusal::Path)?;
    let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
    let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((Target::Service(name.to_owned()), format!("/{tail}{query}")))
}

fn check_headers(headers: &http::HeaderMap) -> Result<(), Refusal> {
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size > MAX_HEADERS { Err(Refusal::Headers(MAX_HEADERS)) } else { Ok(()) }
}

async fn collect(mut body: hyper::body::Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Truncated)?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > limit {
            let rest = discard(&mut body, limit * DISCARD_FACTOR);
            // Whoever sends more, or slower, is answered all the same.
            tokio::time::timeout(DISCARD_TIME, rest).await.unwrap_or_default();
            return Err(Refusal::TooLarge(limit));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}

/// Reads on and keeps nothing: a connection that is closed while the caller
/// still sends can lose the answer on its way.
async fn discard(body: &mut hyper::body::Incoming, most: usize) {
    let mut left = most;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        left = left.saturating_sub(size);
        if left == 0 {
            return;
        }
    }
}

/// The team whose token the request bears. Every team is compared with, in
/// constant time, so that the time tells nothing.
pub fn authenticate(
    headers: &http::HeaderMap,
    content: &content::Content,
) -> Result<Arc<str>, Refusal> {
    let bearer = text(headers, "authorization")?.and_then(|text| text.strip_prefix("Bearer "));
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

fn text<'a>(headers: &'a http::HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| Refusal::Header(name))
}

fn class(
    headers: &http::HeaderMap,
    content: &content::Content,
    default: &Arc<str>,
) -> Result<content::Class, Refusal> {
    let name = text(headers, CLASS_HEADER)?.unwrap_or(default);
    content.class(name).cloned().ok_or(Refusal::Class(name.to_owned()))
}

fn budget(headers: &http::HeaderMap, class: &content::Class) -> Result<Duration, Refusal> {
    let longest = u64::from(class.deadline_ms);
    let given = text(headers, DEADLINE_HEADER)?;
    let millis: u64 = match given {
        Some(text) => text.parse().map_err(|_| Refusal::Header(DEADLINE_HEADER))?,
        None => longest,
    };
    if millis == 0 {
        return Err(Refusal::Deadline);
    }
    Ok(Duration::from_millis(millis.min(longest)))
}

/// Hash of the beginning of the first message, where system prompts stand.
fn prefix(chat: &Chat) -> u64 {
    let Some(first) = chat.messages.first() else { return 0 };
    let text = first.content.to_string();
    let end = text.len().min(PREFIX_BYTES);
    xxh3::xxh3_64(&text.as_bytes()[..end])
}

/// Headers that go on to the backend server: neither credentials, which are
/// between the caller and this process, nor those that belong to a connection.
fn forwarded(headers: &http::HeaderMap) -> http::HeaderMap {
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
    /// What it is, whichever try of its caller.
    pub fn digest(&self) -> poison::Digest {
        let parts = [self.method.as_str(), &self.pool, &self.path, &self.team].map(str::as_bytes);
        poison::Digest::of(&[parts[0], parts[1], parts[2], parts[3], &self.body])
    }

    /// Hash of what is asked, to tell one key's requests apart.
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
