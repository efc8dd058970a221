//! Sets up the log of the process from its settings.

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

/// Starts logging; called once in a process.
///
/// # Errors
///
/// [`ErrorKind::InvalidInput`] when the file cannot be opened or logging has
/// been started before.
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
                .map_err(failed)?,
        ),
        None => Box::new(
            ConsoleAppender::builder()
                .target(log4rs::append::console::Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
    };
    // Libraries speak up only when something is wrong.
    let quiet = log::LevelFilter::Warn.min(settings.level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .logger(
            log4rs::config::Logger::builder()
                .build("lupinseam", settings.level),
        )
        .build(Root::builder().appender(APPENDER).build(quiet))
        .map_err(failed)?;
    log4rs::init_config(config).map_err(failed)?;
    Ok(())
}

/// Sends the log to standard output, one JSON object a line, through a
/// bounded queue.
///
/// # Errors
///
/// When the log cannot be started, or has been before.
pub(crate) fn start_nonblocking(level: log::LevelFilter) -> Result<(), Error> {
    let appender = QueueAppender::start().map_err(failed)?;
    let quiet = log::LevelFilter::Warn.min(level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .logger(log4rs::config::Logger::builder().build("lupinseam", level))
        .build(Root::builder().appender(APPENDER).build(quiet))
        .map_err(failed)?;
    log4rs::init_config(config).map_err(failed)?;
    Ok(())
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidInput)
        .context(error.to_string())
        .context("starting the log")
}
