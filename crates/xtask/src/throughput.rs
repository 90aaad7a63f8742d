//! The `throughput` task: packets per second through an entry, and through entry and agent,
//! compared with a bare UDP relay.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use standin::{Behavior, Cluster, Layout, Process, ServiceLayout, Upstream, Usage};
use tokio::net::UdpSocket as AsyncSocket;

use crate::{fake, quickstart};

/// Size of the inner payload in bytes.
const PAYLOAD_BYTES: usize = 64;

/// Largest number of packets in flight.
const WINDOW: u64 = 256;

/// Time without progress after which the packets in flight count as lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(50);

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);

/// Number of measurements of each path.
const ROUNDS: u32 = 3;

/// Number of flows to which the packets belong.
const FLOWS: u16 = 64;

pub(crate) fn command() -> Command {
    Command::new("throughput")
        .about("Measure packets per second, also as a ratio to a bare UDP relay")
}

pub(crate) fn relay_command() -> Command {
    let address = |name| Arg::new(name).required(true).value_parser(value_parser!(SocketAddr));
    Command::new("relay").hide(true).arg(address("listen")).arg(address("to"))
}

/// Relays datagrams in one task, with one system call per received and per sent datagram.
pub(crate) fn relay(matches: &ArgMatches) -> Result<()> {
    let address = |name: &str| {
        let address = matches.get_one::<SocketAddr>(name).copied();
        address.ok_or_else(|| eyre::eyre!("argument {name} is missing"))
    };
    let (listen, to) = (address("listen")?, address("to")?);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let socket = AsyncSocket::bind(listen).await?;
        let mut buffer = [0; 4096];
        loop {
            socket.readable().await?;
            while let Ok((length, _)) = socket.try_recv_from(&mut buffer) {
                let _ = socket.try_send_to(&buffer[..length], to);
            }
        }
    })
}

/// Result of one measurement.
struct Measurement {
    rate: f64,
    sent: u64,
    lost: u64,
}

/// Returns one packet of each flow.
fn packets(service: (std::net::Ipv4Addr, u16)) -> Result<Vec<Vec<u8>>> {
    (0..FLOWS)
        .map(|flow| {
            let ip = etherparse::PacketBuilder::ipv4([10, 77, 0, 1], service.0.octets(), 64);
            let mut bytes = Vec::new();
            ip.udp(20_000 + flow, service.1).write(&mut bytes, &[7; PAYLOAD_BYTES])?;
            Ok(bytes)
        })
        .collect()
}

/// Sends packets to `target` for [`MEASUREMENT_TIME`], and counts those that `sink` receives.
fn measure(target: SocketAddr, packets: &[Vec<u8>], sink: &Upstream) -> Result<Measurement> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let (start, initial) = (Instant::now(), sink.sink_packets());
    let (mut sent, mut lost, mut last_progress) = (0_u64, 0_u64, (initial, Instant::now()));
    while start.elapsed() < MEASUREMENT_TIME {
        let received = sink.sink_packets() - initial;
        if received != last_progress.0 {
            last_progress = (received, Instant::now());
        }
        if sent.saturating_sub(received + lost) < WINDOW {
            let packet = &packets[sent as usize % packets.len()];
            socket.send_to(packet, target)?;
            sent += 1;
        } else if last_progress.1.elapsed() > LOSS_TIMEOUT {
            lost = sent - received;
        } else {
            std::hint::spin_loop();
        }
    }
    let received = sink.sink_packets() - initial;
    Ok(Measurement { rate: received as f64 / start.elapsed().as_secs_f64(), sent, lost })
}

/// A system whose entry forwards to an agent for one service, and to a bare socket for another.
struct Setup {
    cluster: Cluster,
    sink: Upstream,
    relay: Process,
    relay_address: SocketAddr,
    _runtime: tokio::runtime::Runtime,
}

impl Setup {
    fn start() -> Result<Self> {
        let binary = quickstart::build()?.join("hyssopdyked");
        let folder = quickstart::run_folder("throughput")?;
        let behavior = Behavior { is_sink: true, ..Behavior::default() };
        let mut service = ServiceLayout::new("dispatch", 1);
        service.upstreams = vec![behavior.clone()];
        let services = vec![service, ServiceLayout::new("bare", 0)];
        let layout = Layout { entries: 1, services, ..Layout::default() };
        let cluster = Cluster::start(&binary, &folder, layout)?;

        let loopback = Ipv4Addr::LOCALHOST;
        let unused = SocketAddr::from((loopback, 9));
        let sink = Upstream::spawn("sink", loopback, unused, (loopback, &[]), behavior, 1)?;
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        let (name, role) = fake::upstream("bare", sink.address());
        let counters = Arc::new(fake::Counters::default());
        runtime.spawn(fake::run(cluster.session_address(0), name, role, counters));

        let relay_address = UdpSocket::bind((loopback, 0))?.local_addr()?;
        let own = std::env::current_exe()?;
        let arguments = ["relay".to_owned(), relay_address.to_string(), sink.address().to_string()];
        let relay = Process::spawn(&own, arguments, folder.join("relay.log"))?;
        // The entry must receive the configuration with the bare upstream, and the relay must bind
        // its socket.
        std::thread::sleep(Duration::from_millis(500));
        Ok(Self { cluster, sink, relay, relay_address, _runtime: runtime })
    }

    /// Runs `measure`, and returns its result with the processor time of each process in
    /// microseconds per sent packet.
    fn measure_cpu(
        pids: &[u32],
        measure: impl FnOnce() -> Result<Measurement>,
    ) -> Result<(Measurement, Vec<f64>)> {
        let before = pids.iter().map(|pid| Usage::read(*pid)).collect::<Result<Vec<_>, _>>()?;
        let measurement = measure()?;
        let sent = measurement.sent.max(1) as f64;
        let costs = pids.iter().zip(before).map(|(pid, before)| {
            let used = Usage::read(*pid)?.cpu.saturating_sub(before.cpu);
            Ok(used.as_secs_f64() * 1e6 / sent)
        });
        let costs = costs.collect::<Result<Vec<_>>>()?;
        Ok((measurement, costs))
    }
}

pub(crate) fn run(_: &ArgMatches) -> Result<()> {
    let mut setup = Setup::start()?;
    let through_agent = packets(setup.cluster.stream_address(0))?;
    let through_entry = packets(setup.cluster.stream_address(1))?;
    let entry = setup.cluster.process("entry-1")?.id();
    let agent = setup.cluster.process("dispatch-1")?.id();
    let target = setup.cluster.entry_address(0);
    println!(
        "{:<18} {:>12} {:>8} {:>8}  processor time per packet",
        "path", "packets/s", "ratio", "lost"
    );
    let (mut bare_sum, mut entry_sum, mut agent_sum) = (0.0, 0.0, 0.0);
    for _ in 0..ROUNDS {
        let (measurement, cpu_us) = Setup::measure_cpu(&[setup.relay.id()], || {
            measure(setup.relay_address, &through_entry, &setup.sink)
        })?;
        let bare_rate = measurement.rate;
        bare_sum += bare_rate;
        print_measurement("bare relay", &measurement, bare_rate, &cpu_us);
        let (measurement, cpu_us) =
            Setup::measure_cpu(&[entry], || measure(target, &through_entry, &setup.sink))?;
        entry_sum += measurement.rate;
        print_measurement("entry", &measurement, bare_rate, &cpu_us);
        let sink = setup.cluster.upstream("dispatch-1")?;
        let (measurement, cpu_us) =
            Setup::measure_cpu(&[entry, agent], || measure(target, &through_agent, sink))?;
        agent_sum += measurement.rate;
        print_measurement("entry and agent", &measurement, bare_rate, &cpu_us);
    }
    println!(
        "ratio to the bare relay over {ROUNDS} rounds: entry {:.2}, entry and agent {:.2}",
        entry_sum / bare_sum,
        agent_sum / bare_sum
    );
    Ok(())
}

fn print_measurement(path: &str, measurement: &Measurement, bare_rate: f64, cpu_us: &[f64]) {
    let Measurement { rate, lost, .. } = measurement;
    let cpu_us: Vec<String> = cpu_us.iter().map(|cost| format!("{cost:.2} us")).collect();
    println!("{path:<18} {rate:>12.0} {:>8.2} {lost:>8}  {}", rate / bare_rate, cpu_us.join(" + "));
}
