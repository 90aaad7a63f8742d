//! What was sent, answered and run, with the time since the start of the run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} {text}");
    }
}
