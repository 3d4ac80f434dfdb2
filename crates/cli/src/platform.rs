//! `stagehoist platform`: a live front end on the platform's protocol.

use std::process::ExitCode;

pub fn run() -> ExitCode {
    match stagehoist_platform::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stagehoist: {error}");
            ExitCode::from(2)
        }
    }
}
