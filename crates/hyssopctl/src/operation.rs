//! Implementation of the subcommands.

use std::path::PathBuf;

use clap::ArgMatches;
use eyre::{Result, eyre};
use hyssopctl::{Client, Precondition, ResourceFile, Voter};
use hyssopdyke_wire::resource::{Domain, Kind, Resource, State, resource::Body};

use crate::command::wait_timeout;
use crate::output;

/// Writes the resources of a file. Each write requires that the resource has not changed since it
/// was read.
pub(crate) fn apply(client: &Client, matches: &ArgMatches) -> Result<()> {
    let path = matches.get_one::<PathBuf>("file").ok_or_else(|| eyre!("missing argument: file"))?;
    let declared = ResourceFile::open(path)?;
    if matches.get_flag("check") {
        println!("{}: {} resources are valid", path.display(), declared.resources.len());
        return Ok(());
    }
    let mut last = 0;
    for (kind, resource) in &declared.resources {
        let current = find_current(client, *kind, &resource.name)?;
        if current.as_ref().is_some_and(|current| is_unchanged(current, resource)) {
            println!("{} is unchanged", resource.name);
            continue;
        }
        let precondition = current
            .map_or(Precondition::Absent, |current| Precondition::Generation(current.generation));
        let key = Client::idempotency_key();
        let written = client.put(*kind, resource, precondition, &key)?;
        println!("{} is written in revision {}", written.name, written.revision);
        last = last.max(written.revision);
    }
    wait_if_requested(client, matches, last)
}

fn find_current(client: &Client, kind: Kind, name: &str) -> Result<Option<Resource>> {
    let listing = client.list(kind)?;
    Ok(listing.resources.into_iter().find(|resource| resource.name == name))
}

/// Returns whether the current resource equals the declared one, regardless of its epochs.
fn is_unchanged(current: &Resource, declared: &Resource) -> bool {
    match (&current.body, &declared.body) {
        (Some(Body::Service(current)), Some(Body::Service(declared))) => {
            let declared = hyssopdyke_wire::resource::Service {
                epoch: current.epoch,
                home_epoch: current.home_epoch,
                ..declared.clone()
            };
            *current == declared
        }
        (current, declared) => current == declared,
    }
}

fn wait_if_requested(client: &Client, matches: &ArgMatches, revision: u64) -> Result<()> {
    if matches.get_flag("wait") {
        let status = client.wait(revision, wait_timeout(matches))?;
        println!("revision {} is in force on {} daemons", revision, status.daemons.len());
    }
    Ok(())
}

fn kind(matches: &ArgMatches) -> Kind {
    match matches.get_one::<String>("kind").map(String::as_str) {
        Some("services") => Kind::Service,
        Some("domains") => Kind::Domain,
        Some("upstreams") => Kind::Upstream,
        Some("entries") => Kind::Entry,
        Some("routes") => Kind::Route,
        Some("declarations") => Kind::Declaration,
        _ => Kind::Unspecified,
    }
}

fn name(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("name").map_or("", String::as_str)
}

pub(crate) fn get(client: &Client, matches: &ArgMatches, is_json: bool) -> Result<()> {
    let kind = kind(matches);
    let resources = match matches.get_one::<String>("name") {
        Some(name) => vec![client.get(kind, name)?],
        None => client.list(kind)?.resources,
    };
    output::resources(&resources, is_json)
}

pub(crate) fn delete(client: &Client, matches: &ArgMatches) -> Result<()> {
    let key = Client::idempotency_key();
    let written = client.delete(kind(matches), name(matches), &key)?;
    println!("{}", output::removal(&written));
    wait_if_requested(client, matches, written.revision)
}

pub(crate) fn watch(client: &Client, matches: &ArgMatches, is_json: bool) -> Result<()> {
    let after = matches.get_one::<u64>("after").copied().unwrap_or_default();
    for page in client.watch(after)? {
        output::resources(&page?.resources, is_json)?;
    }
    Ok(())
}

pub(crate) fn wait(client: &Client, matches: &ArgMatches) -> Result<()> {
    let revision = match matches.get_one::<u64>("revision") {
        Some(revision) => *revision,
        None => client.status()?.revision,
    };
    let status = client.wait(revision, wait_timeout(matches))?;
    println!("revision {revision} is in force on {} daemons", status.daemons.len());
    Ok(())
}

pub(crate) fn set_draining(client: &Client, matches: &ArgMatches, is_draining: bool) -> Result<()> {
    let mut resource = client.get(Kind::Upstream, name(matches))?;
    if let Some(Body::Upstream(upstream)) = &mut resource.body {
        let state = if is_draining { State::Draining } else { State::Active };
        upstream.state = state as i32;
    }
    let precondition = Precondition::Generation(resource.generation);
    let key = Client::idempotency_key();
    let written = client.put(Kind::Upstream, &resource, precondition, &key)?;
    let state = if is_draining { "is draining" } else { "is active" };
    println!("{} {state} since revision {}", written.name, written.revision);
    wait_if_requested(client, matches, written.revision)
}

pub(crate) fn set_domain(client: &Client, matches: &ArgMatches, is_out: bool) -> Result<()> {
    let name = name(matches);
    // An undeclared domain is most likely a typing error, so the domain must exist.
    let current = client.get(Kind::Domain, name)?;
    let body = Some(Body::Domain(Domain { out: is_out }));
    let resource = Resource { body, ..current };
    let key = Client::idempotency_key();
    let written = client.put(Kind::Domain, &resource, Precondition::None, &key)?;
    let state = if is_out { "out" } else { "in" };
    println!("{name} is {state} since revision {}", written.revision);
    wait_if_requested(client, matches, written.revision)
}

pub(crate) fn members(client: &Client, matches: &ArgMatches, is_json: bool) -> Result<()> {
    match matches.subcommand() {
        Some(("add", matches)) => {
            let address = matches.get_one::<std::net::SocketAddr>("address");
            let address =
                address.ok_or_else(|| eyre!("missing argument: address"))?.to_string().into();
            client.add_voter(&Voter {
                name: name(matches).into(),
                address,
                identity: "".into(),
            })?;
            println!("{} will get a vote once it has replicated all log entries", name(matches));
            Ok(())
        }
        Some(("remove", matches)) => {
            client.remove_voter(name(matches))?;
            println!("{} has no vote any more", name(matches));
            Ok(())
        }
        _ => output::members(&client.members()?, is_json),
    }
}

pub(crate) fn status(client: &Client, is_json: bool) -> Result<()> {
    let status = client.status()?;
    if is_json {
        return output::json(&status);
    }
    let members = client.members()?;
    let domains = client.list(Kind::Domain)?.resources;
    let upstreams = client.list(Kind::Upstream)?.resources;
    for line in output::summary(&status, &members, &domains, &upstreams) {
        println!("{line}");
    }
    Ok(())
}
