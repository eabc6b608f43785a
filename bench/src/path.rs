//! Measures the cost of the path through entry host and agent, against direct calls to the same
//! backend server in the same run.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use loftcove_tests::{caller, cluster, process};

/// Number of calls of each kind.
const CALLS: usize = 3_000;
/// Number of concurrent streams.
const STREAMS: usize = 8;
/// Number of tokens of each stream.
const TOKENS: u64 = 2_000;
/// Time over which the processor time of idle processes is measured.
const IDLE: Duration = Duration::from_secs(10);
/// Number of open streams when memory is measured.
const OPEN_STREAMS: usize = 60;

/// Prints the measurement.
pub fn print() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("the runtime can be built");
    for workers in [1, 2] {
        println!("workers={workers}");
        runtime.block_on(measure(workers));
    }
}

fn plan(workers: usize) -> cluster::Plan {
    cluster::Plan {
        workers,
        zones: vec!["sala-braga"],
        entries: 1,
        ranks: 1,
        step_us: 1_000,
        slots: 256,
        ..cluster::Plan::default()
    }
}

async fn measure(workers: usize) {
    let cluster = cluster::Cluster::start(plan(workers)).await;
    let host = cluster.entries().remove(0);
    let through = cluster.caller(&host);
    let sms = cluster.agents(cluster::SERVICE).remove(0);
    let direct = cluster.server_caller(&sms);
    let path = format!("/services/{}/send", cluster::SERVICE);
    calls(&direct, "/send", 300).await;
    calls(&through, &path, 300).await;
    let direct_times = calls(&direct, "/send", CALLS).await;
    let before = usage(&cluster, &[&host, &sms]);
    let through_times = calls(&through, &path, CALLS).await;
    let after = usage(&cluster, &[&host, &sms]);
    let us = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile);
    println!("direct  p50={}us p95={}us", us(&direct_times, 0.5), us(&direct_times, 0.95));
    println!("through p50={}us p95={}us", us(&through_times, 0.5), us(&through_times, 0.95));
    println!("added   p50={}us", us(&through_times, 0.5).saturating_sub(us(&direct_times, 0.5)));
    for (name, index) in [("entry", 0), ("agent", 1)] {
        let cpu = after[index].cpu - before[index].cpu;
        println!("cpu per request {name}={}us", cpu.as_micros() / CALLS as u128);
    }
    idle(&cluster, &[&host, &sms]).await;
    tokens(&cluster, &host, &through).await;
    memory(&cluster, &host, &through).await;
}

/// Prints the processor time of idle processes.
async fn idle(cluster: &cluster::Cluster, hosts: &[&str]) {
    let before = usage(cluster, hosts);
    tokio::time::sleep(IDLE).await;
    let after = usage(cluster, hosts);
    for (name, index) in [("entry", 0), ("agent", 1)] {
        let cpu = (after[index].cpu - before[index].cpu).as_secs_f64() / IDLE.as_secs_f64();
        println!("cpu idle {name}={:.2}% of a core", cpu * 100.0);
    }
}

fn usage(cluster: &cluster::Cluster, hosts: &[&str]) -> Vec<process::Usage> {
    hosts.iter().map(|host| cluster.members[*host].process.usage()).collect()
}

/// Makes calls one after the other and returns their times in microseconds.
async fn calls(caller: &caller::Caller, path: &str, count: usize) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("three digits are allowed");
    for _ in 0..count {
        let began = Instant::now();
        let answer = caller.request("POST", path, &[], "{}").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        times.record(began.elapsed().as_micros() as u64).unwrap_or_default();
    }
    times
}

async fn tokens(cluster: &cluster::Cluster, host: &str, through: &caller::Caller) {
    let rank = cluster.agents(&cluster::group("sala-braga")).remove(0);
    let before = usage(cluster, &[host, &rank]);
    let began = Instant::now();
    let streams = (0..STREAMS).map(|_| {
        let caller = through.clone();
        tokio::spawn(async move { caller.chat(cluster::MODEL, true, TOKENS).await.tokens() })
    });
    let mut sum = 0;
    for stream in streams.collect::<Vec<_>>() {
        sum += stream.await.expect("the stream ends");
    }
    let elapsed = began.elapsed();
    let after = usage(cluster, &[host, &rank]);
    assert_eq!(sum, STREAMS * TOKENS as usize);
    println!("tokens={sum} rate={:.0}/s", sum as f64 / elapsed.as_secs_f64());
    for (name, index) in [("entry", 0), ("agent", 1)] {
        let cpu = (after[index].cpu - before[index].cpu).as_secs_f64() / sum as f64;
        println!("cpu per token {name}={:.1}us, at 4500/s {:.3} cores", cpu * 1e6, cpu * 4_500.0);
    }
}

async fn memory(cluster: &cluster::Cluster, host: &str, through: &caller::Caller) {
    let prompt = caller::prompt(cluster::MODEL, true, 1_000_000);
    let before = usage(cluster, &[host]).remove(0);
    let mut open = Vec::new();
    while open.len() < OPEN_STREAMS {
        let headers = [("loftcove-deadline-ms", "60000")];
        let answer = through.open("POST", "/v1/chat/completions", &headers, &prompt).await;
        open.extend(answer.filter(|answer| answer.status() == 200));
    }
    // The buffers of the streams fill, since the streams are not read.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = usage(cluster, &[host]).remove(0);
    let per_stream = (after.memory.saturating_sub(before.memory)) / OPEN_STREAMS as u64;
    println!("memory idle={} per unread stream={per_stream} bytes", before.memory);
}
