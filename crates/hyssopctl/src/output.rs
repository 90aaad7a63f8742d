//! Output of the commands: tables and text, or JSON.

use eyre::Result;
use hyssopctl::Members;
use hyssopdyke_wire::resource::{Kind, Resource, State, Status, resource::Body};
use serde::Serialize;

/// Prints a value as a JSON document.
pub(crate) fn json<T: Serialize>(value: &T) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints resources, one per line.
pub(crate) fn resources(resources: &[Resource], is_json: bool) -> Result<()> {
    if is_json {
        return json(&resources);
    }
    for resource in resources {
        println!("{:<20} {:>8}  {}", resource.name, resource.revision, describe(resource));
    }
    Ok(())
}

fn describe(resource: &Resource) -> String {
    match &resource.body {
        Some(Body::Service(service)) => {
            let listeners = service.listeners.iter().map(|listener| {
                let (protocol, class) = (listener.protocol(), listener.class());
                let protocol = protocol.as_str_name().trim_start_matches("PROTOCOL_");
                let class = class.as_str_name().trim_start_matches("CLASS_");
                format!("{}:{}/{protocol}/{class}", listener.address, listener.port)
            });
            let listeners = listeners.collect::<Vec<_>>().join(", ").to_lowercase();
            let place = if service.retired != 0 { "retired" } else { listeners.as_str() };
            format!(
                "{place}, {} connections, {} slots, {} cold",
                service.connections, service.slots, service.cold_slots
            )
        }
        Some(Body::Domain(domain)) => if domain.out { "out" } else { "in" }.to_owned(),
        Some(Body::Upstream(upstream)) => {
            let state = if upstream.state() == State::Draining { "draining" } else { "active" };
            let address = if upstream.boot == 0 { "away" } else { &upstream.address };
            format!("{} in {}, {state}, {address}", upstream.service, upstream.domain)
        }
        Some(Body::Entry(entry)) => format!("in {}, {}", entry.domain, entry.address),
        Some(Body::Route(route)) => {
            let shares =
                route.splits.iter().map(|split| format!("{} {}", split.service, split.weight));
            let shares = shares.collect::<Vec<_>>().join(", ");
            if route.former.is_empty() {
                return shares;
            }
            format!("{shares}; formerly {}", route.former.join(", "))
        }
        Some(Body::Declaration(declaration)) => format!("version {}", declaration.version),
        Some(Body::Deleted(kind)) => {
            let kind = Kind::try_from(*kind).unwrap_or_default();
            format!("removed ({})", kind.as_str_name().trim_start_matches("KIND_").to_lowercase())
        }
        None => String::new(),
    }
}

/// Describes the outcome of a removal.
pub(crate) fn removal(written: &Resource) -> String {
    let Resource { name, revision, body, .. } = written;
    match body {
        Some(Body::Service(_)) => format!(
            "{name} is retired since revision {revision}, and removed once its flows have ended"
        ),
        _ => format!("{name} is removed in revision {revision}"),
    }
}

/// Prints the voting control VMs.
pub(crate) fn members(members: &Members, is_json: bool) -> Result<()> {
    if is_json {
        return json(members);
    }
    for voter in &members.voters {
        let is_leader = members.leader.as_deref() == Some(&*voter.name);
        println!(
            "{:<20} {:<22} {:<16} {}",
            voter.name,
            voter.address,
            voter.identity,
            if is_leader { "leads" } else { "" }
        );
    }
    Ok(())
}

/// Describes the state of the system in sentences, problems first.
pub(crate) fn summary(
    status: &Status,
    members: &Members,
    domains: &[Resource],
    upstreams: &[Resource],
) -> Vec<String> {
    let mut lines = Vec::new();
    for daemon in status.daemons.iter().filter(|daemon| daemon.revision < status.revision) {
        lines.push(format!(
            "{} is behind: it uses revision {} of {}.",
            daemon.name, daemon.revision, status.revision
        ));
    }
    for daemon in &status.daemons {
        if daemon.usage.is_some_and(|usage| usage.ejected) {
            lines.push(format!("{} is ejected: flows through its upstream fail.", daemon.name));
        }
    }
    for domain in domains {
        if matches!(&domain.body, Some(Body::Domain(body)) if body.out) {
            lines.push(format!("Failure domain {} is out.", domain.name));
        }
    }
    for upstream in upstreams {
        let Some(Body::Upstream(body)) = &upstream.body else { continue };
        if body.state() != State::Draining {
            continue;
        }
        let daemon = status.daemons.iter().find(|daemon| daemon.name == upstream.name);
        let remaining = daemon.and_then(|daemon| daemon.usage).map_or(0, |usage| usage.connections);
        lines.push(format!("{} is draining; {remaining} flows remain.", upstream.name));
    }
    if members.voters.len() == 1 {
        lines.push("Control has a single VM: if it is lost, the configuration is lost.".to_owned());
    }
    if status.in_force == status.revision {
        lines.push(format!(
            "Revision {} is in force on {} daemons.",
            status.revision,
            status.daemons.len()
        ));
    } else {
        lines.push(format!(
            "Revision {} is accepted; revision {} is in force.",
            status.revision, status.in_force
        ));
    }
    let leader = members.leader.as_deref().unwrap_or("nobody");
    lines.push(format!("{leader} leads {} control VMs.", members.voters.len()));
    lines
}

#[cfg(test)]
#[path = "output_tests.rs"]
mod tests;
