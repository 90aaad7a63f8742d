//! Calls of HTTP/1.1, each on a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub struct Answer {
    pub status: u16,
    pub location: Option<String>,
}

/// Calls a server; `None` if no whole answer has come within `limit`.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), limit).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let left = limit.checked_sub(start.elapsed()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(count) => bytes.extend(&part[..count]),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, _) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("location").then(|| value.trim().to_string())
    });
    Some(Answer { status, location })
}

/// Answers 200 to all calls, until the server is down.
pub fn serve_health(at: SocketAddrV4, is_down: Arc<AtomicBool>) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    std::thread::spawn(move || {
        while !is_down.load(Ordering::Relaxed) {
            let Ok((mut stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
            let _ = stream.read(&mut [0; 2048]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    Ok(())
}
