//! The record of a run: what was sent, answered and run, one line each with its time.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record, shared by all threads.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("create the record");
        Self {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            start: Instant::now(),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
        let _ = file.flush();
    }

    /// Adds a line and prints it as well.
    pub fn announce(&self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
        self.line(text);
    }
}
