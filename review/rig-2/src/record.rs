//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::Write,
    sync::{
        Arc,
        Mutex, //
    },
    time::Instant, //
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begin: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            begin: Instant::now(),
        }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().expect("lock");
        let seconds = self.begin.elapsed().as_secs_f64();
        let _ = writeln!(file, "{seconds:8.3} s  {}", line.as_ref());
    }
}
