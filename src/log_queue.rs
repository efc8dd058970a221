//! A log appender that never blocks.
//!
//! Lines go through a bounded queue to one thread, which writes them to
//! standard output in batches. When the queue is full, lines are dropped and
//! counted, and the count is written as soon as there is room.

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

/// Lines that wait at most; at a few hundred bytes each, about a megabyte.
const QUEUE_LINES: usize = 4096;

/// Time for which lines are gathered before they are written together.
const BATCH_TIME: Duration = Duration::from_millis(25);

/// Appends lines to standard output through a queue.
pub(crate) struct QueueAppender {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl QueueAppender {
    /// Creates the appender and starts its thread.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub(crate) fn start() -> io::Result<QueueAppender> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, &counted))?;
        Ok(QueueAppender { lines, dropped })
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
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

fn write_lines(queue: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        thread::sleep(BATCH_TIME);
        let mut batch = first;
        batch.push('\n');
        for line in queue.try_iter() {
            batch.push_str(&line);
            batch.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = json!({"level": "warn", "dropped_lines": lost});
            batch.push_str(&format!("{line}\n"));
        }
        // Standard output that is gone cannot be told of anywhere.
        let _ = io::stdout().write_all(batch.as_bytes());
    }
}
