//! Processes that end with this one, also if it is killed.

use std::os::unix::process::CommandExt as _;
use std::process::{Child, Command};
use std::thread;
use std::time::Duration;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);
/// `PR_SET_PDEATHSIG` and `SIGKILL` on Linux.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Starts a process that the operating system kills when the calling thread ends. Only the main
/// thread calls this.
pub fn start(command: &mut Command) -> std::io::Result<Child> {
    let set = || match unsafe { prctl(SET_PARENT_DEATH_SIGNAL, KILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    };
    // The function makes a single system call, as is safe between fork and exec.
    unsafe { command.pre_exec(set) }.spawn()
}

/// Ends this process as one that could not run if a case takes too long.
pub fn limit_time(status: i32) {
    thread::spawn(move || {
        thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        std::process::exit(status);
    });
}
