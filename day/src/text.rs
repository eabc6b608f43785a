//! Prints a day as text.

use std::collections::BTreeMap;
use std::fmt;

use crate::demand::Tally;
use crate::ends;
use crate::summary::{Day, Row, quantile};

/// Displays a day: counts by second and zone and by reason, outages, suspects, rests and drivers.
pub struct Text<'a>(pub &'a Day);

/// Maximum number of drivers' lines that are printed.
const MAX_DRIVERS: usize = 40;

impl fmt::Display for Text<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let day = self.0;
        writeln!(f, "{} lines, {} not parsed", day.lines, day.unparsed)?;
        seconds(f, day)?;
        reasons(f, day)?;
        tallies(f, "urgency", &day.demand.urgencies)?;
        tallies(f, "team", &day.demand.teams)?;
        outages(f, day)?;
        let requests = ("requests that ended servers", "requests");
        suspects(f, requests, &day.suspects)?;
        if day.parts != ends::Summary::default() {
            suspects(f, ("parts of prompts that ended servers", "parts"), &day.parts)?;
        }
        rests(f, day)?;
        drivers(f, day)
    }
}

fn seconds(f: &mut fmt::Formatter<'_>, day: &Day) -> fmt::Result {
    writeln!(
        f,
        "\n{:>6} {:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}  top refusal",
        "second",
        "zone",
        "answered",
        "not-run",
        "unknown",
        "broken",
        "attempts",
        "first p50",
        "pause p90"
    )?;
    for ((second, zone), row) in &day.rows {
        let ms = |values: &[u64], part| {
            quantile(values, part).map_or_else(|| "-".to_owned(), |ms| ms.to_string())
        };
        writeln!(
            f,
            "{second:>6} {zone:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}  {}",
            row.count_of("answered"),
            row.count_of("not-run") + row.count_of("refused"),
            row.count_of("unknown"),
            row.count_of("broken-off"),
            row.attempts,
            ms(&row.first_ms, 0.5),
            ms(&row.pause_ms, 0.9),
            top_refusal(row)
        )?;
    }
    Ok(())
}

/// Returns the most frequent reason of refusals in a row, with its count.
fn top_refusal(row: &Row) -> String {
    let refused = row.outcomes.iter().filter(|(name, _)| !name.starts_with("answered/"));
    let top = refused.max_by_key(|(_, count)| **count);
    top.map_or_else(String::new, |(name, count)| format!("{name} {count}"))
}

fn reasons(f: &mut fmt::Formatter<'_>, day: &Day) -> fmt::Result {
    let mut all = Row::default();
    day.rows.values().for_each(|row| all.merge(row));
    table(f, "final answers", &all.outcomes)?;
    table(f, "failed attempts", &all.failed)?;
    table(f, "lost dependencies", &day.lost)
}

fn table(f: &mut fmt::Formatter<'_>, title: &str, counts: &BTreeMap<String, u64>) -> fmt::Result {
    let mut sorted: Vec<(&String, &u64)> = counts.iter().collect();
    sorted.sort_by(|a, b| b.1.cmp(a.1).then(a.0.cmp(b.0)));
    writeln!(f, "\n{title}")?;
    sorted.iter().try_for_each(|(name, count)| writeln!(f, "{count:>8} {name}"))
}

/// Prints final answers by urgency or by team, if any line names them.
fn tallies(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    tallies: &BTreeMap<String, Tally>,
) -> fmt::Result {
    if tallies.is_empty() {
        return Ok(());
    }
    writeln!(f, "\n{title:<16} {:>8} {:>8} {:>8} {:>8}", "served", "rejected", "late", "other")?;
    tallies.iter().try_for_each(|(name, tally)| {
        writeln!(
            f,
            "{name:<16} {:>8} {:>8} {:>8} {:>8}",
            tally.served, tally.rejected, tally.late, tally.other
        )
    })
}

fn outages(f: &mut fmt::Formatter<'_>, day: &Day) -> fmt::Result {
    writeln!(f, "\noutages of groups")?;
    for outage in &day.outages {
        let grounds: Vec<String> =
            outage.grounds.iter().map(|(ground, hosts)| format!("{ground} {hosts}")).collect();
        let up = outage.up.map_or_else(
            || "no host logged it up".to_owned(),
            |(first, last)| format!("up from {first:.2} to {last:.2}"),
        );
        writeln!(
            f,
            "  {}: down from {:.2} to {:.2} at {} hosts ({}), {up}, {} still down",
            outage.group,
            outage.down.0,
            outage.down.1,
            outage.hosts,
            grounds.join(", "),
            outage.still_down
        )?;
    }
    Ok(())
}

fn suspects(
    f: &mut fmt::Formatter<'_>,
    (title, subject): (&str, &str),
    (refused, others): &ends::Summary,
) -> fmt::Result {
    writeln!(f, "\n{title}; {others} other {subject} were on servers that ended")?;
    for (digest, suspect) in refused {
        let servers: Vec<&str> = suspect.servers.iter().map(String::as_str).collect();
        let refused = suspect.refused.map_or_else(
            || "no host logged it as refused".to_owned(),
            |(first, last)| format!("refused from {first:.2} to {last:.2}"),
        );
        writeln!(
            f,
            "  {digest}: {} servers ({}) from {:.2}, {refused} at {} hosts, {} refusals",
            servers.len(),
            servers.join(", "),
            suspect.since,
            suspect.hosts.len(),
            suspect.refusals
        )?;
    }
    Ok(())
}

fn rests(f: &mut fmt::Formatter<'_>, day: &Day) -> fmt::Result {
    if day.rests.is_empty() {
        return Ok(());
    }
    writeln!(f, "\nservers that requested rest or are leaving")?;
    for (server, record) in &day.rests {
        write!(f, "  {server}:")?;
        if let Some((first, last)) = record.asked {
            let (rests, hosts, ms) = (record.rests, record.hosts.len(), record.max_ms);
            write!(
                f,
                " {rests} rests from {first:.2} to {last:.2} at {hosts} hosts, at most {ms} ms"
            )?;
        }
        if let Some(at) = record.leaves_at {
            write!(f, " leaves from {at:.2}")?;
        }
        writeln!(f)?;
    }
    Ok(())
}

fn drivers(f: &mut fmt::Formatter<'_>, day: &Day) -> fmt::Result {
    writeln!(f, "\ndrivers; {} map changes", day.changes)?;
    for event in day.drivers.iter().take(MAX_DRIVERS) {
        writeln!(f, "  {:.2} {} {}", event.at, event.host, event.text)?;
    }
    let left_out = day.drivers.len().saturating_sub(MAX_DRIVERS);
    if left_out > 0 {
        writeln!(f, "  and {left_out} more")?;
    }
    Ok(())
}
