//! The record of a case: one line for each event, with the time since its
//! start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Record, String> {
        let file = File::create(folder.join("record.txt"))
            .map_err(|error| error.to_string())?;
        let file = Arc::new(Mutex::new(file));
        Ok(Record { file, began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}
