//! Requests as an endpoint reads them.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Returns the four numbers with which a request's path ends.
pub fn numbers(request: &str) -> [u64; 4] {
    let path = request.split(' ').nth(1).unwrap_or_default();
    let last = path.rsplit('/').next().unwrap_or_default();
    let numbers = last.split('-').filter_map(|number| number.parse().ok());
    let numbers: Vec<u64> = numbers.collect();
    numbers.try_into().unwrap_or_default()
}

/// Returns the value of a request's header, or an empty text.
pub fn header(request: &str, name: &str) -> String {
    let mut lines = request.lines().map(|line| line.split_once(": "));
    let found = lines.find_map(|line| {
        let (key, value) = line?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    });
    found.unwrap_or_default()
}

/// Reads a request with its body.
pub async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let mut end = None;
    loop {
        if end.is_none() {
            end = end_of_request(&bytes);
        }
        if end.is_some_and(|end| bytes.len() >= end) {
            return Some(String::from_utf8_lossy(&bytes).into_owned());
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
}

/// Returns the number of bytes of a request, once its head has arrived.
fn end_of_request(bytes: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(bytes);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| {
        let (key, value) = line.split_once(": ")?;
        let is_length = key.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    });
    Some(head.len() + 4 + length.unwrap_or(0))
}
