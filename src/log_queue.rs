//! A log appender that never blocks.
//!
//! Lines are sent through a bounded queue to one thread, which writes them to
//! standard output in batches. When the queue is full, new lines are dropped
//! and counted, and the count is written with the next batch.

use std::{
    fmt,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use log4rs::append::Append;
use serde_json::json;

/// Capacity of the queue in lines. At a few hundred bytes each, a full queue
/// takes about a megabyte.
const QUEUE_LINES: usize = 4096;

/// Time for which lines are collected before they are written as one batch.
const BATCH_TIME: Duration = Duration::from_millis(25);

/// Appends lines to standard output through a queue.
pub(crate) struct QueueAppender {
    lines: SyncSender<String>,
    /// Lines dropped since the count was last written.
    dropped: Arc<AtomicU64>,
}

impl QueueAppender {
    /// Creates the appender and starts the thread that writes the lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start() -> io::Result<QueueAppender> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_by_appender = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, &dropped_by_appender))?;
        Ok(QueueAppender { lines, dropped })
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        // A structured event is already a JSON object; text is wrapped in one.
        let message = record.args().to_string();
        let line = match message.starts_with('{') {
            true => message,
            false => json!({
                "level": record.level().as_str().to_lowercase(),
                "message": message,
            })
            .to_string(),
        };
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

impl fmt::Debug for QueueAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("QueueAppender")
    }
}

/// Writes queued lines in batches until the appender is dropped.
fn write_lines(queue: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        thread::sleep(BATCH_TIME);
        let mut batch = first;
        batch.push('\n');
        for line in queue.try_iter() {
            batch.push_str(&line);
            batch.push('\n');
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let line =
                json!({"level": "warn", "dropped_lines": dropped_lines});
            batch.push_str(&format!("{line}\n"));
        }
        // A failed write to standard output cannot be reported anywhere.
        let _ = io::stdout().write_all(batch.as_bytes());
    }
}
