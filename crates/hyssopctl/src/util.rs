//! Helpers shared by the commands.

use crate::Error;
use lexopt::{Arg, Parser};
use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Read},
    path::{Path, PathBuf},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Reads a file, or standard input for `-`.
pub fn read_input(path: &Path) -> Result<String, Error> {
    if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(path).map_err(|source| Error::File {
        file: path.to_owned(),
        source,
    })
}

/// Parses a command line of files only; `None` if it requests the usage.
pub fn parse_files(mut parser: Parser) -> Result<Option<Vec<PathBuf>>, lexopt::Error> {
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Value(value) => files.push(PathBuf::from(value)),
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(files))
}

/// Calls `handle` with each line of a file, or of standard input for `-`.
pub fn each_line(path: &Path, handle: impl FnMut(&str)) -> Result<(), Error> {
    if path == Path::new("-") {
        return read_lines(io::stdin().lock(), handle);
    }
    let file = File::open(path).map_err(|source| Error::File {
        file: path.to_owned(),
        source,
    })?;
    read_lines(BufReader::new(file), handle)
}

fn read_lines(input: impl BufRead, mut handle: impl FnMut(&str)) -> Result<(), Error> {
    for line in input.lines() {
        handle(&line?);
    }
    Ok(())
}

/// Writes a file.
pub fn write_output(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    fs::write(path, bytes).map_err(|source| Error::File {
        file: path.to_owned(),
        source,
    })
}

/// Returns the time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(future)
}
