//! Handles a client's request, from its arrival to the answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use loftcove_clock as boot;
use loftcove_decision::routing::{notice, rate};
use loftcove_decision::{balancer, entity, poison};
use loftcove_gateway::{body, client};
use loftcove_intake as intake;
use loftcove_line::field;

use crate::entry::refusal::{Outcome, Refusal};
use crate::entry::{Entry, call, claim, dispatch, dispatcher, relay};
use crate::{admin, force, life};

/// Answers one request that arrived over `connection`. If it cannot be served, the client gets a
/// final response immediately.
pub async fn handle(
    entry: Arc<Entry>,
    connection: Arc<client::Progress>,
    request: http::Request<Incoming>,
) -> Result<http::Response<body::Flushed<relay::Body>>, Infallible> {
    let (request, mut open) = connection.receive(request);
    let (head, mut body) = request.into_parts();
    let (version, method) = (head.version, head.method.clone());
    let expects = head.headers.contains_key(http::header::EXPECT);
    let path = head.uri.path();
    if admin::is_path(path) {
        let answer = admin::answer(&entry.process, path).map(relay::Body::whole);
        return Ok(body::flushed(answer, (version, &method), &connection, open));
    }
    let id = uuid::Uuid::now_v7();
    // Over HTTP/2 a connection has many requests.
    let memory = entry.memory.try_hold(call::header_memory(&head.headers));
    let accepted = match memory {
        Some(_) => tokio::select! {
            biased;
            accepted = accept(&entry, id, head, &mut body) => accepted,
            () = entry.process.lifecycle.wait_until_stopped() => Err(Refusal::NotServing),
        },
        None => Err(Refusal::Memory),
    };
    open.complete();
    let served = match accepted {
        Ok(Accepted::Call(call, bundle, in_flight)) => {
            serve(&entry, *call, bundle, in_flight).await
        }
        Ok(Accepted::Models(response)) => Ok(response),
        Err(refusal) => {
            // A client that waits for an interim response sends nothing more.
            if !http_body::Body::is_end_stream(&body) && !expects {
                let settings = entry.process.settings.entry.as_ref();
                let limit = settings.map_or(0, |own| own.max_body);
                let discarding = connection.connection().begin();
                tokio::spawn(async move {
                    intake::body::discard(&mut body, limit).await;
                    drop(discarding);
                });
            }
            Err(refusal)
        }
    };
    let answer = match served {
        Ok(response) => response,
        Err(refusal) => {
            let outcome = refusal.outcome().as_str();
            entry.process.history.record(
                &id.to_string(),
                format!("choice=refuse outcome={outcome} reason={}", field::Quoted(&refusal)),
            );
            entry.process.metrics.count(outcome, "refused".to_owned());
            refusal.response(&id.to_string()).map(relay::Body::whole)
        }
    };
    Ok(body::flushed(answer, (version, &method), &connection, open))
}

/// A request that was read.
enum Accepted {
    /// A request that may be sent to backend servers.
    Call(Box<call::Call>, Arc<force::Bundle>, life::InFlight),
    /// The list of the models.
    Models(http::Response<relay::Body>),
}

/// Reads and validates the request.
async fn accept(
    entry: &Arc<Entry>,
    id: uuid::Uuid,
    head: http::request::Parts,
    body: &mut client::Body,
) -> Result<Accepted, Refusal> {
    let process = &entry.process;
    let in_flight = process.lifecycle.enter().ok_or(Refusal::NotServing)?;
    let bundle = process.gossip.force.bundle().ok_or(Refusal::NotServing)?;
    if head.uri.path() == MODELS_PATH {
        return list_models(&head.headers, &bundle).map(Accepted::Models);
    }
    let max_body = process.settings.entry.as_ref().map_or(usize::MAX, |own| own.max_body);
    let call = call::read(id, (head, body), &bundle, (&entry.memory, max_body)).await?;
    Ok(Accepted::Call(Box::new(call), bundle, in_flight))
}

/// Claims the request's key, and makes attempts until it is answered or rejected.
async fn serve(
    entry: &Arc<Entry>,
    call: call::Call,
    bundle: Arc<force::Bundle>,
    in_flight: life::InFlight,
) -> Result<http::Response<relay::Body>, Refusal> {
    let process = &entry.process;
    // The body may have arrived long after the head.
    if !process.lifecycle.allows_until(boot::Instant::now() + call.budget) {
        return Err(Refusal::NotServing);
    }
    let stopped = process.lifecycle.wait_until_stopped();
    tokio::pin!(stopped);
    let settled = process.ends.wait_until_settled(call.digest());
    tokio::select! {
        biased;
        _settled = tokio::time::timeout(call.budget, settled) => {}
        () = &mut stopped => return Err(Refusal::NotServing),
    }
    if let poison::Standing::Refused(ends) = process.ends.standing(call.digest()) {
        let digest = call.digest();
        log::info!("request ends servers request={} digest={digest} ends={ends}", call.id);
        return Err(Refusal::EndsServers);
    }
    let call = call::Call { suspect: process.ends.apart(call.digest()), ..call };
    // The time spent on the claim counts towards the deadline.
    let claim_start = boot::Instant::now();
    let claim = match call.key {
        Some(key) if !call.class.repeatable => Some(tokio::select! {
            biased;
            claim = claim::acquire(process, &call, key) => claim?,
            // Dropping the claim settles it as not run.
            () = &mut stopped => return Err(Refusal::NotServing),
        }),
        _ => None,
    };
    let budget = call.budget.checked_sub(claim_start.elapsed()).ok_or(Refusal::Deadline)?;
    let flow = Flow {
        entry: entry.clone(),
        call,
        bundle,
        claim,
        in_flight,
        due: boot::Instant::now() + budget,
    };
    flow.run(budget).await
}

/// Path at which the models are listed.
const MODELS_PATH: &str = "/v1/models";

/// Lists the models and their adapters.
fn list_models(
    headers: &http::HeaderMap,
    bundle: &force::Bundle,
) -> Result<http::Response<relay::Body>, Refusal> {
    call::authenticate(headers, &bundle.content)?;
    let names = bundle.content.models.iter();
    let names = names.flat_map(|model| std::iter::once(&model.name).chain(&model.adapters));
    let entry = |name| serde_json::json!({ "id": name, "object": "model", "owned_by": "loftcove" });
    let list: Vec<serde_json::Value> = names.map(entry).collect();
    let text = serde_json::json!({ "object": "list", "data": list }).to_string();
    let mut response = http::Response::new(relay::Body::whole(text.into()));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    let answered = http::HeaderValue::from_static(Outcome::Answered.as_str());
    response.headers_mut().insert(call::OUTCOME_HEADER, answered);
    Ok(response)
}

/// A validated request that may be sent to backend servers.
struct Flow {
    entry: Arc<Entry>,
    call: call::Call,
    bundle: Arc<force::Bundle>,
    claim: Option<claim::Claim>,
    in_flight: life::InFlight,
    /// Deadline of the request.
    due: boot::Instant,
}

impl Flow {
    /// Executes the balancer's actions for the request until an answer begins or the request is
    /// rejected.
    async fn run(mut self, budget: Duration) -> Result<http::Response<relay::Body>, Refusal> {
        let mut permit = self.entry.dispatcher.arrive(&dispatcher::Arrival {
            pool: self.call.pool.clone(),
            team: self.call.team.clone(),
            precedence: self.call.class.precedence,
            repeatable: self.call.class.repeatable,
            budget,
            prefix: self.call.prefix,
            suspect: self.call.suspect.then(|| self.call.digest()),
        });
        let process = self.entry.process.clone();
        let stopped = process.lifecycle.wait_until_stopped();
        tokio::pin!(stopped);
        loop {
            let action = tokio::select! {
                biased;
                // The dispatcher outlives its permits and always sends a next action.
                action = permit.next() => action.ok_or(Refusal::NotServing)?,
                () = &mut stopped => return Err(self.stop(permit.may_have_run())),
            };
            match action {
                balancer::Action::Refuse(refusal) => return Err(self.reject(refusal)),
                // Requests of this host are not resumable, so none is moved.
                balancer::Action::Move(_) => {}
                balancer::Action::Send(next) => {
                    let answer = tokio::select! {
                        biased;
                        answer = self.attempt(&mut permit, &next) => answer,
                        () = &mut stopped => return Err(self.stop(true)),
                    };
                    if let Some(answer) = answer {
                        return Ok(self.relay(permit, next.choice.server, *answer).await);
                    }
                }
            }
        }
    }

    /// Settles the claim of a request whose answer has not begun when the process is about to exit,
    /// and returns the response.
    fn stop(&mut self, may_have_run: bool) -> Refusal {
        let (outcome, refusal) = match may_have_run {
            true => (Outcome::Unknown, Refusal::Lost),
            false => (Outcome::NotRun, Refusal::NotServing),
        };
        if let Some(claim) = self.claim.take() {
            claim.settle(outcome);
        }
        refusal
    }

    /// Settles the claim of a request that the balancer rejected, and returns the response.
    fn reject(&mut self, refusal: balancer::Refusal) -> Refusal {
        let outcome = match refusal.outcome {
            balancer::Outcome::NotRun => Outcome::NotRun,
            balancer::Outcome::Unknown => Outcome::Unknown,
        };
        if let Some(claim) = self.claim.take() {
            claim.settle(outcome);
        }
        Refusal::Balancer(refusal)
    }

    /// Applies what an answer announces about its backend server resting or leaving.
    fn apply_notice(
        &self,
        server: entity::Server,
        target: &dispatcher::Target,
        notice: &notice::Notice,
    ) {
        if notice.rest == notice::Rest::Unreadable {
            log::warn!(
                "rest not understood request={} server={}",
                self.call.id,
                field::Text(&target.host)
            );
        }
        if let Some(notice::Change::Rests(time)) =
            self.entry.dispatcher.apply_notice(server, notice)
        {
            let (host, ms) = (&target.host, time.as_millis());
            log::info!(
                "server rests server={host} asked_ms={} ms={ms} request={}",
                notice.rest,
                self.call.id,
                host = field::Text(host)
            );
        }
    }

    /// Applies what an answer reports about its backend server's rate limit.
    fn apply_limit(
        &self,
        next: &balancer::Dispatch,
        target: &dispatcher::Target,
        notice: rate::Notice,
    ) {
        let (id, server) = (&self.call.id, &target.host);
        if notice == rate::Notice::Unreadable {
            log::warn!(
                "limit not understood request={id} server={server}",
                server = field::Text(server)
            );
        }
        match self.entry.dispatcher.apply_limit(next.choice.server, notice, next.at) {
            None => {}
            Some(rate::Change::Limited(limit, _)) => {
                log::info!(
                    "server limited server={server} per_second={limit} request={id}",
                    server = field::Text(server)
                );
            }
            Some(rate::Change::Lifted(time)) => {
                let ms = time.as_millis();
                log::info!(
                    "server limit lifted server={server} ms={ms} request={id}",
                    server = field::Text(server)
                );
            }
        }
    }

    /// Makes one attempt. Returns its answer if one has begun.
    async fn attempt(
        &mut self,
        permit: &mut dispatcher::Permit,
        next: &balancer::Dispatch,
    ) -> Option<Box<dispatch::Answer>> {
        let Some((target, incarnation)) = self.entry.dispatcher.target(next.choice.server) else {
            permit.end(balancer::End::NeverRan);
            return None;
        };
        self.log_selection(next, &target);
        let remaining = self.due.saturating_duration_since(boot::Instant::now());
        let process = self.entry.process.clone();
        let attempt = dispatch::Attempt {
            call: &self.call,
            number: next.attempt,
            target: &target,
            incarnation,
            remaining,
            expiry: process.clock.wall() + remaining,
        };
        if let Some(claim) = &mut self.claim {
            claim.mark_sent();
        }
        let sent_at = boot::Instant::now();
        match dispatch::send(&process, &attempt).await {
            dispatch::Response::Answer(answer) => {
                permit.begin(sent_at.elapsed());
                self.apply_notice(next.choice.server, &target, &answer.notice());
                self.apply_limit(next, &target, answer.limit());
                Some(answer)
            }
            dispatch::Response::Failure(failure) => {
                self.log_failure(next.attempt, &failure);
                if let Some(report) = failure.report {
                    self.entry.dispatcher.report(next.choice.server, &report);
                }
                let never_ran =
                    matches!(failure.end, balancer::End::Full | balancer::End::NeverRan);
                if let (Some(claim), true) = (&mut self.claim, never_ran) {
                    claim.mark_not_run();
                }
                permit.end(failure.end);
                None
            }
        }
    }

    /// Records which backend server was selected, from which candidates and why.
    fn log_selection(&self, next: &balancer::Dispatch, target: &dispatcher::Target) {
        let candidates: Vec<String> = next
            .considered
            .iter()
            .filter_map(|candidate| {
                let (target, _) = self.entry.dispatcher.target(candidate.server)?;
                Some(format!("{}:{:.2}", target.host, candidate.score))
            })
            .collect();
        self.entry.process.history.record(
            &self.call.id.to_string(),
            format!(
                "team={} class={} pool={} attempt={} generation={} candidates={} choice={} \
                 reason={}",
                field::Text(&self.call.team),
                field::Text(&self.call.class.name),
                field::Text(&self.call.pool),
                next.attempt,
                self.bundle.generation,
                field::Text(&candidates.join(",")),
                field::Text(&target.host),
                next.choice.reason
            ),
        );
    }

    /// Records how an attempt without an answer ended.
    fn log_failure(&self, attempt: u32, failure: &dispatch::Failure) {
        self.entry.process.history.record(
            &self.call.id.to_string(),
            format!(
                "attempt={attempt} ended={:?} cause={}",
                failure.end,
                field::Quoted(&failure.cause)
            ),
        );
    }

    /// Relays the answer to the client.
    async fn relay(
        self,
        permit: dispatcher::Permit,
        server: entity::Server,
        answer: dispatch::Answer,
    ) -> http::Response<relay::Body> {
        let target = self.entry.dispatcher.target(server);
        let host = target.map(|(target, _)| target.host).unwrap_or_default();
        let subject = dispatch::Subject::new(&self.call, host);
        let completion = relay::Completion {
            process: self.entry.process.clone(),
            dispatcher: self.entry.dispatcher.clone(),
            server,
            request: self.call.id.to_string(),
            subject,
            permit: Some(permit),
            claim: self.claim,
            _in_flight: self.in_flight,
        };
        relay::respond(answer, completion, (&self.call.method, self.due)).await
    }
}
