//! The `slopes` task: resource usage of each role at several sizes, which shows nonlinear growth.
//!
//! Bytes are read from the kernel's counters of the loopback interface, and processor time and
//! memory from its counters of the process.

use std::net::Ipv4Addr;
use std::path::Path;
use std::process::Command as Program;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, ensure};
use hyssopctl::{Client, Precondition};
use hyssopdyke::connection::{self, Cache, Directory, Flow, Protocol, Table};
use hyssopdyke::version::{Cursor, Replica, Source, Store, View};
use hyssopdyke_wire::datagram::{
    Accepted, Datagram, Forward, Load, Offer, Owner, Ping, Pong, Record, Report, Reported,
    datagram::Body as Message,
};
use hyssopdyke_wire::resource::{
    self, Class, Entry, Kind, Listener, Resource, Service, State, Upstream, resource::Body,
};
use hyssopdyke_wire::{Key, Purpose};
use standin::{Cluster, Layout, ServiceLayout, Usage};

use crate::{fake, quickstart};

/// Duration of a measurement without changes of configuration.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Number of changes of configuration in one measurement.
const CHANGES: u32 = 40;

/// Time limit for the registration of all daemons.
const REGISTRATION_TIMEOUT: Duration = Duration::from_mins(1);

pub(crate) fn command() -> Command {
    Command::new("slopes")
        .about("Measure the resource usage of sessions, state and flows")
        .arg(
            Arg::new("sessions")
                .long("sessions")
                .default_value("100,400,1600")
                .value_delimiter(',')
                .value_parser(value_parser!(u64)),
        )
        .subcommand(
            Command::new("probe")
                .hide(true)
                .arg(Arg::new("kind").required(true))
                .arg(Arg::new("count").required(true).value_parser(value_parser!(u64))),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    if let Some(("probe", matches)) = matches.subcommand() {
        let kind = matches.get_one::<String>("kind").map_or("", String::as_str);
        return probe(kind, *matches.get_one::<u64>("count").unwrap_or(&0));
    }
    print_message_sizes();
    measure_state()?;
    measure_services()?;
    println!(
        "\ncontrol with sessions (1 control VM; 2 entries and 1 agent besides the fake daemons)"
    );
    println!(
        "{:>8} {:>9} {:>10} {:>12} {:>12} {:>12} {:>12} {:>10} {:>9}",
        "sessions",
        "MB",
        "cpu/s",
        "us/renewal",
        "B/s/session",
        "us/chg/sess",
        "B/chg/sess",
        "in force",
        "rejoin"
    );
    for count in matches.get_many::<u64>("sessions").unwrap_or_default() {
        measure_sessions(*count)?;
    }
    Ok(())
}

// Messages

/// Prints the size of each message in the lifetime of a flow: sealed, in bytes, without IP and UDP
/// headers.
fn print_message_sizes() {
    let key = Key::derive(Cluster::passphrase(), Purpose::Datagram);
    let flow: hyssopdyke_wire::datagram::Flow = flow(1).into();
    let flow = Some(flow);
    let packet = bytes::Bytes::from(vec![0; 60]);
    let record = Record { flow: flow.clone(), isn: u32::MAX, owner: u64::MAX, unconfirmed: true };
    let report =
        Report { sequence: 99_999, epoch: 99_999, opened: vec![record], ..Report::default() };
    let forward = Forward {
        packet: packet.clone(),
        hops: 2,
        entry_address: u32::MAX,
        entry_port: 5556,
        ..Forward::default()
    };
    let load = Some(Load { weight: 50_000, room: 5, ..Load::default() });
    let messages = [
        ("forward of a 60-byte packet", Message::Forward(forward)),
        ("offer of a 60-byte packet", Message::Offer(Offer { packet, ..Offer::default() })),
        ("accepted", Message::Accepted(Accepted { flow: flow.clone(), confirmed: false })),
        ("owner", Message::Owner(Owner { flow, vm: u64::MAX, waiting: false, confirmed: true })),
        ("report of one flow", Message::Report(report)),
        ("reported", Message::Reported(Reported { sequence: 99_999 })),
        ("ping with load", Message::Ping(Ping { nonce: u64::MAX, load })),
        ("pong", Message::Pong(Pong { nonce: u64::MAX, active: true })),
    ];
    println!("{:<34} {:>9}", "message", "bytes");
    for (name, body) in messages {
        let mut buffer = bytes::BytesMut::new();
        key.seal(&Datagram { revision: 99_999, body: Some(body) }, &mut buffer);
        println!("{name:<34} {:>9}", buffer.len());
    }
    println!();
}

// State and flows, each measured in a separate process

fn measure_state() -> Result<()> {
    let own = std::env::current_exe()?;
    println!("{:<34} {:>9} {:>9} {:>11} {:>12}", "in memory", "count", "MB", "bytes each", "ms");
    let cases: [(&str, &str, &[u64]); 4] = [
        ("view", "copy and view of upstreams", &[500, 2000, 5900, 11_800]),
        ("cache", "entry: cached flows", &[50_000, 200_000, 400_000]),
        ("table", "agent: owned flows", &[500, 2000, 20_000]),
        ("directory", "agent: flows on record", &[500, 2000, 20_000]),
    ];
    for (kind, name, counts) in cases {
        for count in counts {
            let output =
                Program::new(&own).args(["slopes", "probe", kind, &count.to_string()]).output()?;
            ensure!(output.status.success(), "probe of {kind} failed: {}", output.status);
            let text = String::from_utf8(output.stdout)?;
            let mut words = text.split_whitespace().map(str::parse::<f64>);
            let (Some(Ok(bytes)), Some(Ok(micros))) = (words.next(), words.next()) else {
                eyre::bail!("probe of {kind} printed {text:?} instead of bytes and microseconds");
            };
            let bytes_each = bytes / *count as f64;
            println!(
                "{name:<34} {count:>9} {:>9.2} {bytes_each:>11.0} {:>12.2}",
                bytes / 1e6,
                micros / 1e3
            );
        }
    }
    Ok(())
}

/// Prints the memory in bytes that `count` items occupy, and the time to create them in
/// microseconds.
fn probe(kind: &str, count: u64) -> Result<()> {
    let before = Usage::read(std::process::id())?.memory;
    let start = Instant::now();
    // The items must not be dropped before the memory is read.
    let kept: Box<dyn std::any::Any> = match kind {
        "view" => Box::new(view(count)?),
        "cache" => {
            let mut cache = Cache::new(count as usize * 2);
            (0..count).for_each(|flow| cache.insert(flow.wrapping_mul(0x9e37_79b9), 7));
            Box::new(cache)
        }
        "table" => {
            let mut table = Table::new();
            (0..count).for_each(|n| {
                table.insert(flow(n), connection::State::new(1, start, connection::Class::Request));
            });
            Box::new(table)
        }
        "directory" => {
            let mut directory = Directory::new();
            (0..count).for_each(|n| {
                directory.record_owner(flow(n), 1, 2);
            });
            Box::new(directory)
        }
        other => eyre::bail!("unknown probe {other}"),
    };
    let micros = start.elapsed().as_micros();
    println!("{} {micros}", Usage::read(std::process::id())?.memory - before);
    drop(kept);
    Ok(())
}

fn flow(number: u64) -> Flow {
    let caller = Ipv4Addr::from(0x0a00_0000 + (number / 60_000) as u32);
    Flow {
        protocol: Protocol::Tcp,
        caller: (caller, 1000 + (number % 60_000) as u16).into(),
        service: (Ipv4Addr::new(10, 1, 0, 1), 80).into(),
    }
}

/// Returns a daemon's replica and its view, with eleven upstreams per service and one entry per ten
/// upstreams.
fn view(upstreams: u64) -> Result<(Replica, View)> {
    let mut store = Store::new();
    let mut revision = 0;
    let mut put = |name: String, body: Body| {
        revision += 1;
        store.put(Resource { name, revision, generation: revision, body: Some(body) });
    };
    for service in 0..upstreams.div_ceil(11) {
        put(format!("service-{service}"), Body::Service(declared_service(service)));
    }
    for upstream in 0..upstreams {
        let body = Upstream {
            domain: format!("domain-{}", upstream % 7),
            service: format!("service-{}", upstream / 11),
            address: format!("10.{}.{}.7:5556", upstream / 250, upstream % 250),
            boot: upstream + 1,
            incarnation: 1,
            state: State::Active as i32,
            bounded_homes: true,
            away: false,
        };
        put(format!("upstream-{upstream}"), Body::Upstream(body));
    }
    for entry in 0..upstreams / 10 {
        let address = format!("10.200.{}.{}:5556", entry / 250, entry % 250);
        let domain = format!("domain-{}", entry % 7);
        put(
            format!("entry-{entry}"),
            Body::Entry(Entry { domain, address, boot: 9, incarnation: 1 }),
        );
    }
    let mut replica = Replica::new();
    replica.apply(Source::Control, store.changes_since(Cursor::at(0), usize::MAX))?;
    drop(store);
    let view = View::new(replica.store());
    Ok((replica, view))
}

fn declared_service(number: u64) -> Service {
    let listener = Listener {
        address: format!("10.250.{}.{}", number / 250, number % 250),
        port: 80,
        protocol: resource::Protocol::Tcp as i32,
        class: Class::Request as i32,
    };
    let listeners = vec![listener];
    Service { listeners, connections: 2000, slots: 5, cold_slots: 1, ..Service::default() }
}

// Real agents of one service without traffic

fn measure_services() -> Result<()> {
    println!("\nreal daemons without traffic (1 control VM, 2 entries, one service)");
    println!(
        "{:>8} {:>12} {:>12} {:>12} {:>14}",
        "agents", "agent cpu", "agent MB", "entry MB", "B/s/daemon"
    );
    let binary = quickstart::build()?.join("hyssopdyked");
    for agents in [3, 6, 11] {
        let folder = quickstart::run_folder("slopes")?;
        let services = vec![ServiceLayout::new("dispatch", agents)];
        let mut cluster =
            Cluster::start(&binary, &folder, Layout { services, ..Layout::default() })?;
        std::thread::sleep(Duration::from_secs(1));
        let agent = cluster.process("dispatch-1")?.id();
        let entry = cluster.process("entry-1")?.id();
        let (before, bytes) = (Usage::read(agent)?, loopback_bytes()?);
        std::thread::sleep(IDLE_TIME);
        let after = Usage::read(agent)?;
        let bytes = (loopback_bytes()? - bytes) as f64 / IDLE_TIME.as_secs_f64();
        println!(
            "{agents:>8} {:>11.2}% {:>12.1} {:>12.1} {:>14.0}",
            after.cpu.saturating_sub(before.cpu).as_secs_f64() / IDLE_TIME.as_secs_f64() * 100.0,
            after.memory as f64 / 1e6,
            Usage::read(entry)?.memory as f64 / 1e6,
            bytes / (agents as f64 + 2.0),
        );
    }
    Ok(())
}

// Control with many sessions

fn measure_sessions(count: u64) -> Result<()> {
    let binary = quickstart::build()?.join("hyssopdyked");
    let folder = quickstart::run_folder("slopes")?;
    let services = vec![ServiceLayout::new("dispatch", 1)];
    let mut cluster = Cluster::start(&binary, &folder, Layout { services, ..Layout::default() })?;
    let control = cluster.process("control-1")?.id();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let counters = Arc::new(fake::Counters::default());
    for index in 0..count {
        let (name, role) = fake::entry(index);
        let address = cluster.session_address(0);
        runtime.spawn(fake::run(address, name, role, Arc::clone(&counters)));
    }
    wait_until_registered(&cluster, count)?;

    let (before, bytes, start) = (Usage::read(control)?, loopback_bytes()?, Instant::now());
    std::thread::sleep(IDLE_TIME);
    let idle_cpu = Usage::read(control)?.cpu.saturating_sub(before.cpu).as_secs_f64()
        / start.elapsed().as_secs_f64();
    let idle_bytes = (loopback_bytes()? - bytes) as f64 / start.elapsed().as_secs_f64();

    let (before, bytes, start) = (Usage::read(control)?, loopback_bytes()?, Instant::now());
    let slowest = measure_changes(cluster.client())?;
    let time = start.elapsed().as_secs_f64();
    let sessions = count as f64 + 3.0;
    let used = Usage::read(control)?.cpu.saturating_sub(before.cpu).as_secs_f64() - idle_cpu * time;
    let used_bytes = (loopback_bytes()? - bytes) as f64 - idle_bytes * time;
    let per_change = f64::from(CHANGES) * sessions;
    let memory = Usage::read(control)?.memory as f64 / 1e6;

    cluster.process("control-1")?.kill()?;
    let start = Instant::now();
    cluster.restart("control-1")?;
    wait_until_registered(&cluster, count)?;
    println!(
        "{count:>8} {memory:>9.1} {:>9.1}% {:>12.1} {:>12.0} {:>12.1} {:>12.0} {:>7.0} ms {:>6.1} s",
        idle_cpu * 100.0,
        idle_cpu * 1e6 / sessions,
        idle_bytes / sessions,
        used * 1e6 / per_change,
        used_bytes / per_change,
        slowest.as_secs_f64() * 1000.0,
        start.elapsed().as_secs_f64(),
    );
    runtime.shutdown_background();
    Ok(())
}

/// Makes [`CHANGES`] changes, each of which is in force before the next. Returns the time of the
/// slowest.
fn measure_changes(client: &Client) -> Result<Duration> {
    let mut slowest = Duration::ZERO;
    for number in 0..CHANGES {
        let mut service = declared_service(249);
        service.connections = 1 + number;
        let body = Some(Body::Service(service));
        let resource = Resource { name: "probe".into(), body, ..Resource::default() };
        let start = Instant::now();
        let key = Client::idempotency_key();
        let written = client.put(Kind::Service, &resource, Precondition::None, &key)?;
        while client.status()?.in_force < written.revision {
            std::thread::sleep(Duration::from_millis(5));
        }
        slowest = slowest.max(start.elapsed());
    }
    Ok(slowest)
}

fn wait_until_registered(cluster: &Cluster, count: u64) -> Result<()> {
    let start = Instant::now();
    loop {
        let status = cluster.client().status()?;
        if status.daemons.len() as u64 >= count + 3 && status.in_force == status.revision {
            return Ok(());
        }
        ensure!(
            start.elapsed() < REGISTRATION_TIMEOUT,
            "only {} of {count} daemons are registered",
            status.daemons.len()
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Returns the number of bytes that the loopback interface has received.
fn loopback_bytes() -> Result<u64> {
    let text = std::fs::read_to_string(Path::new("/proc/net/dev"))?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let word = line.and_then(|line| line.split_whitespace().next());
    Ok(word.ok_or_else(|| eyre::eyre!("/proc/net/dev has no interface lo"))?.parse()?)
}
