//! A minimal HTTP client, and the operator that uses it.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// An answer: status, and target of a redirect.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    location: Option<SocketAddrV4>,
}

/// Makes one call; `None` without a whole answer in time.
pub(crate) fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<Answer> {
    let second = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), second).ok()?;
    stream.set_read_timeout(Some(second)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let field = |name: &str| {
        head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    };
    if let Some(length) = field("content-length").and_then(|length| length.parse::<usize>().ok())
        && length != body.len()
    {
        return None;
    }
    let location = field("location")
        .and_then(|location| location.strip_prefix("http://")?.split('/').next()?.parse().ok());
    Some(Answer { status, location })
}

/// Makes one call of the operator, which follows a redirect twice.
pub(crate) fn call_with_redirects(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
) -> Option<Answer> {
    let mut to = to;
    for _ in 0..3 {
        let answer = call(to, method, path, body)?;
        match (answer.status, answer.location) {
            (307, Some(location)) => to = location,
            _ => return Some(answer),
        }
    }
    None
}

/// Sends an order to one daemon after another until it is acknowledged or refused.
pub(crate) fn order(
    daemons: &[SocketAddrV4],
    method: &str,
    path: &str,
    body: &str,
) -> Result<(), String> {
    let start = Instant::now();
    let mut pause = Duration::from_millis(50);
    for to in daemons.iter().cycle() {
        match call_with_redirects(*to, method, path, body).map(|answer| answer.status) {
            Some(200..300) => return Ok(()),
            Some(status @ 400..500) if status != 408 && status != 429 => {
                return Err(format!("{method} {path} was refused with {status}"));
            }
            _ => {}
        }
        if start.elapsed() > Duration::from_secs(20) {
            break;
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(400));
    }
    Err(format!("{method} {path} got no ack"))
}
