//! Heads and bodies of HTTP messages.

use std::io::{self, BufRead};

/// Head of a request or a response.
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Reads a head; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first_line = lines.next().unwrap_or_default();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    });
    Ok(Some(Head {
        first_line,
        headers: headers.collect(),
    }))
}

pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let length = head
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}
