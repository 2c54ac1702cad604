//! Stand-ins and scenarios of the review. Standard library only; built by
//! `review/build.sh` with `rustc`.
//!
//! `driver SCENARIO FOLDER` starts a small site on loopback addresses: the product's
//! entries and sides as separate processes with the commands of `deploy/system.toml`,
//! and in this process a stand-in for the platform's store, one worker beside each
//! side, and the clients. It writes `record.txt` into FOLDER and exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`
//! the disruption is left out.

mod client;
mod http;
mod json;
mod scenarios;
mod site;
mod store;
mod template;
mod worker;

use std::{process::ExitCode, thread, time::Duration};

/// Time after which the program ends, whatever it waits for.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, folder] = arguments.as_slice() else {
        eprintln!("usage: driver SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case could not run: it took too long");
        std::process::exit(2);
    });
    match scenarios::run(scenario, folder, trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
