//! The `bundle` commands: check, propose, approve, roll forward and withdraw bundles.
//!
//! A bundle is *in force* while its signed envelope is the platform's record for the deployment.
//! The envelope's *generation* is one more than that of the envelope that it replaced.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use loftcove_bundle::{content, envelope, sign};
use loftcove_platform::key;
use loftcove_platform::store::{self, Store as _};

use crate::{Context, error};

/// Runs one `bundle` command. The settings are read only for commands that call the platform.
pub async fn run(
    context: impl Fn() -> Result<Context, error::Error>,
    arguments: &mut pico_args::Arguments,
) -> Result<(), error::Error> {
    match arguments.subcommand()?.as_deref() {
        Some("check") => check(&arguments.free_from_str::<PathBuf>()?),
        Some("propose") => propose(&context()?, &arguments.free_from_str::<PathBuf>()?).await,
        Some("approve") => approve(&context()?, &arguments.free_from_str::<String>()?).await,
        Some("roll-forward") => {
            roll_forward(&context()?, &arguments.free_from_str::<String>()?).await
        }
        Some("withdraw") => withdraw(&context()?).await,
        Some("status") => status(&context()?).await,
        Some("history") => history(&context()?).await,
        Some("diff") => {
            let old = arguments.free_from_str::<PathBuf>()?;
            diff(&old, &arguments.free_from_str::<PathBuf>()?)
        }
        other => Err(error::Error::Command(format!("bundle {}", other.unwrap_or_default()))),
    }
}

/// Reads and parses a bundle's text.
fn read_bundle(file: &Path) -> Result<(String, content::Content), error::Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| error::Error::File { file: file.to_owned(), source })?;
    let content = content::Content::parse(&text)?;
    Ok((text, content))
}

fn check(file: &Path) -> Result<(), error::Error> {
    let (text, content) = read_bundle(file)?;
    content.check_names()?;
    println!("{}: ok, digest {}", file.display(), sign::Digest::of(&text));
    Ok(())
}

/// Prints the lines that only one of two bundles has in its canonical text.
fn diff(old: &Path, new: &Path) -> Result<(), error::Error> {
    let lines = |content: &content::Content| -> Vec<String> {
        content.to_string().lines().map(str::to_owned).collect()
    };
    let (old, new) = (lines(&read_bundle(old)?.1), lines(&read_bundle(new)?.1));
    let (old_set, new_set): (BTreeSet<_>, BTreeSet<_>) =
        (old.iter().collect(), new.iter().collect());
    for line in old.iter().filter(|line| !new_set.contains(line)) {
        println!("- {line}");
    }
    for line in new.iter().filter(|line| !old_set.contains(line)) {
        println!("+ {line}");
    }
    Ok(())
}

/// Writes a value by compare-and-swap and returns whether this write took effect.
async fn write(
    context: &Context,
    name: &str,
    expected: store::Revision,
    value: Vec<u8>,
) -> Result<store::Outcome, error::Error> {
    let value: Bytes = value.into();
    store::swap_confirmed(&context.platform, name, expected, value)
        .await
        .map_err(error::Error::UnknownOutcome)
}

/// Reads a JSON record of the platform.
async fn load<T: serde::de::DeserializeOwned>(
    context: &Context,
    name: &str,
) -> Result<Option<(store::Revision, T)>, error::Error> {
    let Some(entry) = context.platform.get(name).await? else { return Ok(None) };
    let value = serde_json::from_slice(&entry.value)
        .map_err(|source| error::Error::InvalidRecord { key: name.to_owned(), source })?;
    Ok(Some((entry.revision, value)))
}

/// Reads those of several JSON records that are valid. The others are left out, named and counted
/// on the error output.
async fn load_readable<T: serde::de::DeserializeOwned>(
    context: &Context,
    names: &[String],
) -> Result<Vec<T>, error::Error> {
    let mut values = Vec::new();
    let mut left_out = 0;
    for name in names {
        match load(context, name).await {
            Ok(record) => values.extend(record.map(|(_, value)| value)),
            Err(error @ error::Error::InvalidRecord { .. }) => {
                eprintln!("loftcove: left out: {error}");
                left_out += 1;
            }
            Err(error) => return Err(error),
        }
    }
    if left_out > 0 {
        eprintln!("loftcove: {left_out} of {} records left out", names.len());
    }
    Ok(values)
}

async fn propose(context: &Context, file: &Path) -> Result<(), error::Error> {
    let (text, content) = read_bundle(file)?;
    content.check_names()?;
    if content.deployment != context.settings.deployment {
        return Err(error::Error::Deployment(content.deployment));
    }
    let digest = sign::Digest::of(&text);
    let proposer = context.signer()?.sign(sign::Step::Proposal, digest);
    let proposal = envelope::Proposal { text, proposer, approver: None };
    let name = key::proposal(&context.settings.deployment, &digest.to_string());
    // If the same text was proposed before, the write has no effect and the first proposer stays.
    write(context, &name, 0, serde_json::to_vec(&proposal)?).await?;
    println!("{digest}");
    Ok(())
}

async fn load_proposal(
    context: &Context,
    digest: &str,
) -> Result<(store::Revision, envelope::Proposal), error::Error> {
    let name = key::proposal(&context.settings.deployment, digest);
    load(context, &name).await?.ok_or_else(|| error::Error::NoProposal(digest.to_owned()))
}

async fn approve(context: &Context, digest: &str) -> Result<(), error::Error> {
    let digest = sign::Digest::parse(digest)?;
    let (revision, mut proposal) = load_proposal(context, &digest.to_string()).await?;
    let found = sign::Digest::of(&proposal.text);
    if found != digest {
        return Err(loftcove_bundle::error::Error::Digest { found, signed: digest }.into());
    }
    context.keyring()?.verify(sign::Step::Proposal, digest, &proposal.proposer)?;
    content::Content::parse(&proposal.text)?.check_names()?;
    let signer = context.signer()?;
    if proposal.proposer.operator == *signer.name() {
        let operator = signer.name().clone();
        return Err(loftcove_bundle::error::Error::SelfApproved { operator }.into());
    }
    if let Some(approver) = proposal.approver {
        let operator = approver.operator;
        return Err(error::Error::AlreadyApproved { digest: digest.to_string(), operator });
    }
    proposal.approver = Some(signer.sign(sign::Step::Approval, digest));
    let name = key::proposal(&context.settings.deployment, &digest.to_string());
    match write(context, &name, revision, serde_json::to_vec(&proposal)?).await? {
        store::Outcome::Won(_) | store::Outcome::Overtaken(_) => {
            println!("approved {digest}");
            Ok(())
        }
        store::Outcome::Conflict(_) => Err(error::Error::ProposalConflict),
    }
}

/// Returns the envelope in force with its revision.
async fn load_in_force(
    context: &Context,
) -> Result<Option<(store::Revision, envelope::Envelope)>, error::Error> {
    load(context, &key::in_force(&context.settings.deployment)).await
}

async fn roll_forward(context: &Context, digest: &str) -> Result<(), error::Error> {
    let (_, proposal) = load_proposal(context, digest).await?;
    let approver = proposal.approver.ok_or_else(|| error::Error::NotApproved(digest.to_owned()))?;
    let current = load_in_force(context).await?;
    put_in_force(context, current, proposal.text, proposal.proposer, approver).await
}

async fn withdraw(context: &Context) -> Result<(), error::Error> {
    let current = load_in_force(context).await?.ok_or(error::Error::NothingInForce)?;
    let generation = current.1.roll.generation;
    let previous_generation = generation.saturating_sub(1);
    let name = key::history_entry(&context.settings.deployment, previous_generation);
    let previous: Option<(store::Revision, envelope::Envelope)> = load(context, &name).await?;
    let (_, previous) = previous.ok_or(error::Error::NoPreviousGeneration(generation))?;
    put_in_force(context, Some(current), previous.text, previous.proposer, previous.approver).await
}

/// Puts a signed text in force as the next generation. Fails if the envelope in force is no longer
/// `current`.
async fn put_in_force(
    context: &Context,
    current: Option<(store::Revision, envelope::Envelope)>,
    text: String,
    proposer: sign::Mark,
    approver: sign::Mark,
) -> Result<(), error::Error> {
    let (revision, generation) = current
        .as_ref()
        .map_or((0, 0), |(revision, previous)| (*revision, previous.roll.generation));
    let digest = sign::Digest::of(&text);
    let nonce = format!("{:032x}", rand::random::<u128>());
    let roll = context.signer()?.roll(digest, generation + 1, nonce);
    let envelope = envelope::Envelope { text, proposer, approver, roll };
    envelope.open(&context.keyring()?)?;
    if let Some((_, previous)) = &current {
        // `withdraw` reads the previous envelope from the history, so it must be there before the
        // new envelope replaces it.
        archive(context, previous).await?;
    }
    let name = key::in_force(&context.settings.deployment);
    let applied = match write(context, &name, revision, serde_json::to_vec(&envelope)?).await? {
        store::Outcome::Won(_) | store::Outcome::Overtaken(_) => true,
        store::Outcome::Conflict(_) => was_in_force(context, &envelope).await?,
    };
    if !applied {
        return Err(conflict_error(context).await?);
    }
    println!("generation {} in force, digest {digest}", generation + 1);
    Ok(())
}

/// Returns whether the envelope was in force and has already been replaced. Before a client puts an
/// envelope in force, it archives the one to be replaced.
async fn was_in_force(
    context: &Context,
    envelope: &envelope::Envelope,
) -> Result<bool, error::Error> {
    let name = key::history_entry(&context.settings.deployment, envelope.roll.generation);
    let archived: Option<(store::Revision, envelope::Envelope)> = load(context, &name).await?;
    Ok(archived.is_some_and(|(_, archived)| archived == *envelope))
}

/// Writes an envelope to the history.
async fn archive(context: &Context, envelope: &envelope::Envelope) -> Result<(), error::Error> {
    let name = key::history_entry(&context.settings.deployment, envelope.roll.generation);
    // An entry that exists is equal: only one envelope is put in force per generation.
    write(context, &name, 0, serde_json::to_vec(envelope)?).await.map(drop)
}

/// Returns the error that names the envelope which was put in force first.
async fn conflict_error(context: &Context) -> Result<error::Error, error::Error> {
    let (_, winner) = load_in_force(context).await?.ok_or(error::Error::NothingInForce)?;
    let operator = winner.roll.mark.operator.clone();
    Ok(error::Error::Conflict { operator, generation: winner.roll.generation })
}

fn print_envelope(context: &Context, envelope: &envelope::Envelope) {
    let digest = envelope.digest();
    let roll = &envelope.roll;
    if context.json {
        let value = serde_json::json!({
            "generation": roll.generation,
            "digest": digest,
            "proposer": envelope.proposer.operator,
            "approver": envelope.approver.operator,
            "rolled_by": roll.mark.operator,
        });
        println!("{value}");
        return;
    }
    println!(
        "generation={} digest={digest} proposer={} approver={} rolled_by={}",
        roll.generation, envelope.proposer.operator, envelope.approver.operator, roll.mark.operator
    );
}

async fn status(context: &Context) -> Result<(), error::Error> {
    if let Some((_, envelope)) = load_in_force(context).await? {
        print_envelope(context, &envelope);
    }
    let names = context.platform.list(&key::proposals(&context.settings.deployment)).await?;
    for proposal in load_readable::<envelope::Proposal>(context, &names).await? {
        let digest = sign::Digest::of(&proposal.text);
        let proposer = &proposal.proposer.operator;
        let approver = proposal.approver.map(|mark| mark.operator);
        if context.json {
            let value = serde_json::json!({
                "proposal": digest, "proposer": proposer, "approver": approver,
            });
            println!("{value}");
        } else {
            let approver = approver.as_deref().unwrap_or("none");
            println!("proposal={digest} proposer={proposer} approver={approver}");
        }
    }
    Ok(())
}

async fn history(context: &Context) -> Result<(), error::Error> {
    let names = context.platform.list(&key::history(&context.settings.deployment)).await?;
    for envelope in load_readable::<envelope::Envelope>(context, &names).await? {
        print_envelope(context, &envelope);
    }
    if let Some((_, envelope)) = load_in_force(context).await? {
        print_envelope(context, &envelope);
    }
    Ok(())
}
