//! Stream of resource changes from control.

use std::io::{BufRead, BufReader, Read};

use hyssopdyke_wire::resource::Page;

use crate::Error;

/// Iterator over pages of changes. Ends when control closes the connection.
pub struct Watch {
    lines: std::io::Lines<BufReader<Box<dyn Read + Send>>>,
}

impl Watch {
    pub(crate) fn new(reader: impl Read + Send + 'static) -> Self {
        let reader: Box<dyn Read + Send> = Box::new(reader);
        Self { lines: BufReader::new(reader).lines() }
    }
}

impl Iterator for Watch {
    type Item = Result<Page, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        let line = self.lines.next()?;
        let malformed = |text: String| Error::Malformed(text.into());
        Some(line.map_err(|error| malformed(error.to_string())).and_then(|line| {
            serde_json::from_str(&line).map_err(|error| malformed(error.to_string()))
        }))
    }
}

impl std::fmt::Debug for Watch {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Watch")
    }
}
