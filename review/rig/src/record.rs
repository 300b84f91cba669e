//! The record of a run: what was sent, answered and run, with the time of each.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{
        Arc,
        Mutex, //
    },
    time::Instant, //
};

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:9.3} s  {line}\n", self.begin.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("no writer panics");
        let _ = file.write_all(line.as_bytes());
    }
}
