//! A gateway is stopped while clients keep their connections to it. Three seconds and a little
//! later, streams are requested on these connections.
//!
//! usage: late-in-shutdown RECORD, with TROUBLE=0 without the signal.

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins_2::client::Client;
use review_standins_2::record::Record;
use review_standins_2::site::{headers, Site, SHORT_MS, STREAM_MS};
use review_standins_2::worker::Fault;

/// Events of a stream and the time between two of them. The sheet allows up to 69 events, and
/// pauses of up to 120 ms.
const EVENTS: u32 = 60;
const PAUSE: Duration = Duration::from_millis(90);
/// Grace of the deployment.
const GRACE: Duration = Duration::from_secs(8);
/// Last time after the signal at which a request is excused if its worker is still at work in the
/// last sixth of the grace.
const EXCUSED: f64 = 3.0;
/// When streams are requested, after the signal.
const LATE_MS: [u64; 6] = [3_010, 3_025, 3_040, 3_050, 3_060, 3_070];
/// When the heads of further requests are sent, and when the last byte of their bodies is.
const TORN_MS: [(u64, u64); 2] = [(2_500, 3_300), (2_900, 3_500)];
/// When the streams begin that run while the gateway is stopped, before the signal.
const EARLY: Duration = Duration::from_millis(500);

struct Outcome {
    id: String,
    /// Time from the signal until the last byte was sent, in seconds.
    sent: f64,
    /// Time from the signal until the answer or the connection ended, in seconds.
    ended: f64,
    status: Option<u16>,
    complete: bool,
}

const BODY: &str = "resumo";

/// Requests a stream and reads it to the end of the answer or of the connection. With `rest`, the
/// last byte of the body is sent at that time.
fn stream(
    client: &mut Client,
    id: &str,
    record: &Record,
    (signal, rest): (Instant, Option<Instant>),
) -> Outcome {
    let headers = headers(id, STREAM_MS);
    let sent = match rest {
        None => client.send("POST", "/aviso/1", &headers, BODY),
        Some(rest) => client.send_torn("POST", "/aviso/1", &headers, BODY, rest),
    };
    let at = Instant::now();
    let since = |time: Instant| match time.checked_duration_since(signal) {
        Some(after) => after.as_secs_f64(),
        None => -signal.duration_since(time).as_secs_f64(),
    };
    record.line(&format!("client sent {id} {:+.3} s from the signal: {sent:?}", since(at)));
    let answer = client.read();
    let ended = since(Instant::now());
    let (status, complete, events) = match &answer {
        Ok(answer) => (Some(answer.status), answer.complete, answer.body.matches("id: ").count()),
        Err(_) => (None, false, 0),
    };
    record.line(&format!(
        "client of {id} has status {status:?}, {events} events, complete={complete} {ended:+.3} s \
         from the signal"
    ));
    Outcome { id: id.to_owned(), sent: since(at), ended, status, complete }
}

fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let mut site = Site::start("late-in-shutdown", record, (EVENTS, PAUSE), Fault::Sound)?;
    let front = site.gateways[0].ports.front;
    // Each client uses its connection once before and keeps it.
    let mut kept = Vec::new();
    for number in 0..1 + LATE_MS.len() + TORN_MS.len() {
        let mut client = Client::connect(front)?;
        client.send("GET", "/tabua/1", &headers(&format!("before{number}"), SHORT_MS), "")?;
        let answer = client.read()?;
        if answer.status != 200 || !answer.complete {
            return Err(std::io::Error::other(format!("not served before: {answer:?}")));
        }
        kept.push(client);
    }
    std::thread::sleep(Duration::from_millis(500));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let signal = Instant::now() + EARLY;
    let mut early = kept.remove(0);
    let mut threads = Vec::new();
    let (at, done) = (record.clone(), outcomes.clone());
    threads.push(std::thread::spawn(move || {
        let outcome = stream(&mut early, "early", &at, (signal, None));
        done.lock().unwrap().push(outcome);
    }));
    std::thread::sleep(signal.saturating_duration_since(Instant::now()));
    if trouble {
        site.gateways[0].process.signal("TERM")?;
        record.line("SIGTERM sent to the gateway");
    }
    let after = |ms: u64| signal + Duration::from_millis(ms);
    let late = LATE_MS.iter().map(|ms| ("late", after(*ms), None));
    let torn = TORN_MS.iter().map(|(head, end)| ("torn", after(*head), Some(after(*end))));
    for (number, ((kind, due, rest), mut client)) in late.chain(torn).zip(kept).enumerate() {
        let (at, done) = (record.clone(), outcomes.clone());
        threads.push(std::thread::spawn(move || {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let outcome = stream(&mut client, &format!("{kind}{number}"), &at, (signal, rest));
            done.lock().unwrap().push(outcome);
        }));
    }
    if trouble {
        // The platform ends a process that still runs after the grace.
        while signal.elapsed() < GRACE && !site.gateways[0].process.has_ended() {
            std::thread::sleep(Duration::from_millis(10));
        }
        let end = if site.gateways[0].process.has_ended() { "ended" } else { "is killed" };
        record.line(&format!(
            "the gateway {end} {:+.3} s from the signal",
            signal.elapsed().as_secs_f64()
        ));
        site.gateways[0].process.kill();
    }
    for thread in threads {
        thread.join().map_err(|_| std::io::Error::other("a client failed"))?;
    }
    let outcomes = outcomes.lock().unwrap();
    let lost = outcomes.iter().filter(|outcome| {
        let deadline = outcome.sent + STREAM_MS as f64 / 1_000.0;
        // Whether a torn request counts as sent by its head or by its last byte is open, so that
        // these are recorded and not judged.
        let judged = outcome.id.starts_with("late");
        // A request that was sent within three seconds after the signal, and whose worker was still
        // at work at the end, is excused. An answer whose head came has been passed on.
        let cut = !outcome.complete && outcome.ended < deadline - 0.1;
        judged && cut && outcome.sent > EXCUSED
    });
    let lost: Vec<&Outcome> = lost.collect();
    for outcome in &lost {
        record.line(&format!(
            "LOST: {} was sent {:+.3} s from the signal, ended {:+.3} s without a complete answer, status {:?}",
            outcome.id, outcome.sent, outcome.ended, outcome.status
        ));
    }
    record.line(if lost.is_empty() { "the rule held" } else { "the rule was broken" });
    Ok(lost.is_empty())
}

fn main() -> ExitCode {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&path) else { return ExitCode::from(2) };
    match run(&record, trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
