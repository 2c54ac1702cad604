//! Command line of the dispatcher's processes.

use hyssoppost::{Error, entry, leased, logging, reload, settings, side};
use lexopt::{Arg, Parser, ValueExt};
use std::{path::PathBuf, process::ExitCode};
use tokio::signal::unix::{Signal, SignalKind, signal};

const USAGE: &str = "\
Dispatches sub-second tasks.

Usage:
    hyssoppost entry [--settings FILE]
    hyssoppost side [--settings FILE]
    hyssoppost --help | --version

Commands:
    entry   Accept jobs and place their tasks; run on an entry host.
    side    Run tasks on the upstream beside this process.

Options:
    -s, --settings FILE   Settings in INI, validated before any socket binds. On
                          the users' platform, defaults to the platform's file.
    -h, --help            Print this text.
    -V, --version         Print the version.

SIGTERM drains: requests in progress are completed. A second one stops at once.
Exit codes: 0 drained, 2 arguments, 3 settings, 4 system, 5 fenced,
6 stopped with unfinished work.
";

enum Command {
    Help,
    Version,
    Entry(PathBuf),
    Side(PathBuf),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), Error> {
    match parse()? {
        Command::Help => print!("{USAGE}"),
        Command::Version => println!("hyssoppost {}", env!("CARGO_PKG_VERSION")),
        Command::Entry(path) => {
            let settings = settings::Entry::open(&path)?;
            logging::open(settings.common.level)?;
            match settings.lease.clone() {
                Some(lease) => {
                    single_threaded_runtime()?
                        .block_on(run_leased_entry(path, settings, &lease))?;
                }
                None => runtime()?.block_on(run_entry(settings))?,
            }
        }
        Command::Side(path) => {
            let settings = settings::Side::open(&path)?;
            logging::open(settings.common.level)?;
            match settings.leased.clone() {
                Some(leased_side) => {
                    single_threaded_runtime()?.block_on(run_leased_side(
                        path,
                        settings,
                        &leased_side,
                    ))?;
                }
                None => runtime()?.block_on(run_side(settings))?,
            }
        }
    }
    Ok(())
}

fn runtime() -> Result<tokio::runtime::Runtime, Error> {
    Ok(tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?)
}

/// Makes a runtime for hosts on which the process has a fraction of a core.
fn single_threaded_runtime() -> Result<tokio::runtime::Runtime, Error> {
    Ok(tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?)
}

async fn run_leased_entry(
    path: PathBuf,
    settings: settings::Entry,
    lease: &settings::Lease,
) -> Result<(), Error> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let sighup = signal(SignalKind::hangup())?;
    let handle = leased::entry::spawn(settings, lease).await?;
    let seeds = handle.seed_sender();
    tokio::spawn(reload::follow(
        path,
        sighup,
        |path| Ok(settings::Entry::open(path)?.into()),
        async move |change| seeds.replace(change.entries).await,
    ));
    wait_for(&mut sigterm).await;
    log::info!("event=draining");
    handle.drain(wait_for(&mut sigterm)).await
}

async fn run_leased_side(
    path: PathBuf,
    settings: settings::Side,
    leased_side: &settings::Leased,
) -> Result<(), Error> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let sighup = signal(SignalKind::hangup())?;
    let handle = leased::side::spawn(settings, leased_side).await?;
    let seeds = handle.seed_sender();
    tokio::spawn(reload::follow(
        path,
        sighup,
        |path| Ok(settings::Side::open(path)?.into()),
        async move |change| seeds.replace(change.entries).await,
    ));
    wait_for(&mut sigterm).await;
    log::info!("event=draining");
    handle.drain(wait_for(&mut sigterm)).await
}

async fn run_entry(settings: settings::Entry) -> Result<(), Error> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut handle = entry::spawn(settings).await?;
    tokio::select! {
        () = wait_for(&mut sigterm) => {}
        () = handle.fenced() => {
            handle.kill();
            return Err(Error::Fenced);
        }
    }
    log::info!("event=draining");
    handle.drain(wait_for(&mut sigterm)).await
}

async fn run_side(settings: settings::Side) -> Result<(), Error> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let handle = side::spawn(settings).await?;
    wait_for(&mut sigterm).await;
    log::info!("event=draining");
    handle.drain(wait_for(&mut sigterm)).await
}

async fn wait_for(signal: &mut Signal) {
    if signal.recv().await.is_none() {
        // The runtime is shutting down; no signal can arrive.
        std::future::pending::<()>().await;
    }
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut command = None;
    let mut settings = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Command::Version),
            Arg::Short('s') | Arg::Long("settings") => {
                settings = Some(PathBuf::from(parser.value()?));
            }
            Arg::Value(value) if command.is_none() => command = Some(value.string()?),
            _ => return Err(argument.unexpected()),
        }
    }
    let settings = settings
        .or_else(platform::settings_path)
        .ok_or("missing option --settings FILE; see --help");
    match command.as_deref() {
        Some("entry") => Ok(Command::Entry(settings?)),
        Some("side") => Ok(Command::Side(settings?)),
        Some(other) => Err(format!("unknown command {other:?}; see --help").into()),
        None => Err("missing command; see --help".into()),
    }
}
