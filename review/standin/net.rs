//! HTTP client and server, packets, and the log of a run.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Log of a run: `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {text}");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Xorshift generator; the scripts need no better one.
pub struct Random(pub u64);

impl Random {
    pub fn new() -> Self {
        Self(unix_ms().wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(std::process::id()) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

pub struct Answer {
    pub status: u16,
    pub location: Option<String>,
    pub body: Vec<u8>,
}

/// Sends one request and reads the whole answer. An error also stands for no answer in time.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to.into(), timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    let invalid = || std::io::Error::new(std::io::ErrorKind::InvalidData, "no HTTP answer");
    let status = status.ok_or_else(invalid)?;
    let end = text.find("\r\n\r\n").ok_or_else(invalid)?;
    let location = text[..end].lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("location").then(|| value.trim().to_string())
    });
    Ok(Answer { status, location, body: text[end + 4..].as_bytes().to_vec() })
}

/// Answers every GET at the address with 200: the health path of a target.
pub fn serve_health(at: SocketAddrV4) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut buffer = [0; 2048];
                if stream.read(&mut buffer).is_ok() {
                    let answer =
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                    let _ = stream.write_all(answer);
                }
            });
        }
    });
    Ok(())
}

pub const SYN: u8 = 2;
pub const ACK: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 128;

/// A packet of the page PROTOCOL, "Packets".
#[derive(Debug, Clone)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub sum: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Self {
        Self { seq, ack, flags, sum: 0, src, dst, data: Vec::new() }
    }

    /// The sum of the two ends, over all fields except echo, pad and BOUNCED.
    pub fn right_sum(&self) -> u32 {
        let mut sum: u32 = 0x5EED_C0DE;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                sum = (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193).rotate_left(5);
            }
        };
        add(&self.seq.to_le_bytes());
        add(&self.ack.to_le_bytes());
        add(&[self.flags & !BOUNCED]);
        add(&self.src.ip().octets());
        add(&self.dst.ip().octets());
        add(&self.src.port().to_le_bytes());
        add(&self.dst.port().to_le_bytes());
        add(&self.data);
        sum.max(1)
    }

    pub fn encode(mut self) -> Vec<u8> {
        self.sum = self.right_sum();
        let mut bytes = vec![0; 32];
        bytes[0..4].copy_from_slice(&self.seq.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.ack.to_le_bytes());
        bytes[12] = self.flags;
        bytes[14..18].copy_from_slice(&self.sum.to_le_bytes());
        bytes[18..20].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[20..24].copy_from_slice(&self.src.ip().to_bits().to_le_bytes());
        bytes[24..28].copy_from_slice(&self.dst.ip().to_bits().to_le_bytes());
        bytes[28..30].copy_from_slice(&self.dst.port().to_le_bytes());
        bytes[30..32].copy_from_slice(&self.src.port().to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < 32 {
            return None;
        }
        let u32_at = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        if bytes.len() != 32 + usize::from(u16_at(18)) {
            return None;
        }
        Some(Self {
            seq: u32_at(0),
            ack: u32_at(4),
            flags: bytes[12],
            sum: u32_at(14),
            src: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(20)), u16_at(30)),
            dst: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(24)), u16_at(28)),
            data: bytes[32..].to_vec(),
        })
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}
