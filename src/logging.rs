//! Configures the process-wide logger from the settings.

use log4rs::{
    Config,
    append::{Append, console::ConsoleAppender, file::FileAppender},
    config::{Appender, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::{
    error::{Error, ErrorKind},
    log_queue::QueueAppender,
    settings::{LogFormat, LogSettings},
};

const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";
const APPENDER: &str = "main";

/// Starts logging to a file or standard error, with blocking writes; may be
/// called only once in a process.
///
/// # Errors
///
/// Returns [`ErrorKind::InvalidInput`] if the file cannot be opened or logging
/// was already started.
pub(crate) fn start(settings: &LogSettings) -> Result<(), Error> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogFormat::Text => Box::new(PatternEncoder::new(TEXT_PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let appender: Box<dyn Append> = match &settings.path {
        Some(path) => Box::new(
            FileAppender::builder()
                .encoder(encoder)
                .build(path)
                .map_err(start_error)?,
        ),
        None => Box::new(
            ConsoleAppender::builder()
                .target(log4rs::append::console::Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
    };
    // Libraries log warnings and errors only.
    let library_level = log::LevelFilter::Warn.min(settings.level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .logger(
            log4rs::config::Logger::builder()
                .build("lupinseam", settings.level),
        )
        .build(Root::builder().appender(APPENDER).build(library_level))
        .map_err(start_error)?;
    log4rs::init_config(config).map_err(start_error)?;
    Ok(())
}

/// Starts logging to standard output, one JSON object per line, through a
/// bounded queue, so that logging never blocks; may be called only once in a
/// process.
///
/// # Errors
///
/// Returns [`ErrorKind::InvalidInput`] if the thread that writes the log
/// cannot be started or logging was already started.
pub(crate) fn start_nonblocking(level: log::LevelFilter) -> Result<(), Error> {
    let appender = QueueAppender::start().map_err(start_error)?;
    let library_level = log::LevelFilter::Warn.min(level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .logger(log4rs::config::Logger::builder().build("lupinseam", level))
        .build(Root::builder().appender(APPENDER).build(library_level))
        .map_err(start_error)?;
    log4rs::init_config(config).map_err(start_error)?;
    Ok(())
}

fn start_error(error: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidInput)
        .context(error.to_string())
        .context("starting the log")
}
