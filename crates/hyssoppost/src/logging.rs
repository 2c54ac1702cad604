//! Logs: one line of key=value pairs an event, on standard output.

use crate::Error;
use log::LevelFilter;
use log4rs::{
    Config,
    append::console::ConsoleAppender,
    config::{Appender, Root},
    encode::pattern::PatternEncoder,
};

const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} module={M} {m}{n}";

/// Sends log events from `level` on to standard output.
pub fn open(level: LevelFilter) -> Result<(), Error> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .map_err(|error| Error::Logging(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| Error::Logging(error.to_string()))?;
    Ok(())
}
