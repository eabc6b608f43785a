//! Child processes under test, with their logs and settings files.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader, Lines};
use tokio::process::{ChildStdin, ChildStdout, Command};

/// Length of a clock tick in `/proc/PID/stat`, in milliseconds.
const TICK_MS: u64 = 10;
/// Size of a memory page, in bytes.
const PAGE: u64 = 4_096;

/// Resources that a process uses.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time since the start of the process.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Peak of the resident memory since the start of the process, in bytes.
    pub peak_memory: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// Lines that a process has logged so far. The log outlives the process.
#[derive(Debug, Clone, Default)]
pub struct Log(Arc<Mutex<Vec<String>>>);

impl Log {
    fn push(&self, line: String) {
        self.0.lock().expect("no holder of the log panics").push(line);
    }

    /// Returns the lines logged so far.
    pub fn lines(&self) -> Vec<String> {
        self.0.lock().expect("no holder of the log panics").clone()
    }
}

/// A child process, which is killed when dropped.
pub struct Process {
    child: tokio::process::Child,
    stdin: ChildStdin,
    stdout: Option<Lines<BufReader<ChildStdout>>>,
    log: Log,
}

/// Returns the path of a program of this workspace, which was built with the running one.
///
/// # Panics
///
/// If the program is not built.
pub fn program(name: &str) -> PathBuf {
    let current = std::env::current_exe().expect("the running program has a path");
    let folder = current.ancestors().find(|folder| folder.join(name).is_file());
    folder.unwrap_or_else(|| panic!("{name} is not built: run scripts/test.sh")).join(name)
}

/// Returns the bytes in the buffers of the sockets of an address, which have arrived and are not read
/// or are not sent yet.
///
/// # Panics
///
/// If the table of connections cannot be read, or has another form.
pub fn socket_bytes(address: SocketAddr) -> u64 {
    let IpAddr::V4(ip) = address.ip() else { panic!("{address}") };
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port());
    const LISTEN: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table can be read");
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let own = rows.filter(|row| row.get(1) == Some(&&*local) && row[3] != LISTEN);
    let sizes = own.flat_map(|row| {
        let (unsent, unread) = row[4].split_once(':').expect("two sizes");
        [unsent, unread].map(|text| u64::from_str_radix(text, 16).expect("a size"))
    });
    sizes.sum()
}

/// Returns both ends of a pipe that is full.
pub fn full_pipe() -> (std::io::PipeReader, std::io::PipeWriter) {
    use std::io::Write as _;
    let (reader, mut writer) = std::io::pipe().expect("a pipe can be made");
    let descriptor = std::os::fd::AsRawFd::as_raw_fd(&writer);
    #[allow(unsafe_code, reason = "the system call has no safe form in the library")]
    // SAFETY: the descriptor is open during the call.
    let size = unsafe { libc::fcntl(descriptor, libc::F_GETPIPE_SZ) };
    let size = usize::try_from(size).expect("the pipe has a size");
    writer.write_all(&vec![b'x'; size]).expect("the pipe takes its size");
    (reader, writer)
}

/// Lowers a limit of the resources of a program, which may raise it again.
pub fn limit(command: &mut Command, resource: libc::__rlimit_resource_t, value: u64) {
    limit_with(command, resource, (value, None));
}

/// Lowers a limit of the resources of a program, and the value to which the program may raise it.
pub fn limit_with(
    command: &mut Command,
    resource: libc::__rlimit_resource_t,
    (value, max): (u64, Option<u64>),
) {
    let lower = move || {
        let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
        #[allow(unsafe_code, reason = "the system call has no safe form in the library")]
        // SAFETY: the pointers are valid during the calls.
        let lowered = unsafe {
            libc::getrlimit(resource, &raw mut limit);
            limit.rlim_cur = value;
            limit.rlim_max = max.unwrap_or(limit.rlim_max);
            libc::setrlimit(resource, &raw const limit)
        };
        if lowered == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }
    };
    #[allow(unsafe_code, reason = "the library cannot check what runs in the child process")]
    // SAFETY: the function only makes system calls.
    unsafe {
        command.pre_exec(lower);
    }
}

impl Process {
    /// Starts a program and collects the lines of its standard error in its log.
    pub fn start(name: &str, arguments: &[String]) -> Process {
        Process::start_with(name, arguments, |_| {})
    }

    /// Starts a program that may use at most `bytes` of address space, and whose threads reserve
    /// `stack` bytes each. See [`start`](Process::start) and
    /// [`lift_address_space_limit`](Process::lift_address_space_limit).
    pub fn start_limited(name: &str, arguments: &[String], bytes: u64, stack: u64) -> Process {
        Process::start_with(name, arguments, |command| {
            command.env("RUST_MIN_STACK", stack.to_string());
            limit(command, libc::RLIMIT_AS, bytes);
        })
    }

    /// Starts a program after `prepare` has changed the command. See [`start`](Process::start).
    pub fn start_with(
        name: &str,
        arguments: &[String],
        prepare: impl FnOnce(&mut Command),
    ) -> Process {
        let mut command = Command::new(program(name));
        command
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        prepare(&mut command);
        let mut child = command.spawn().expect("the program starts");
        let log = Log::default();
        if let Some(stderr) = child.stderr.take() {
            let log_writer = log.clone();
            let name = name.to_owned();
            tokio::spawn(async move {
                let mut lines = BufReader::new(stderr).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let panicked = line.contains("panicked at");
                    if panicked || std::env::var_os("LOFTCOVE_LOG").is_some() {
                        eprintln!("[{name}] {line}");
                    }
                    log_writer.push(line);
                }
            });
        }
        let stdin = child.stdin.take().expect("standard input is piped");
        let stdout = child.stdout.take().map(|stdout| BufReader::new(stdout).lines());
        Process { child, stdin, stdout, log }
    }

    /// Reads the next line of standard output, `listening [WHAT] ADDRESS`, and returns the
    /// address.
    pub async fn read_address(&mut self) -> SocketAddr {
        let line = self.read_line().await;
        let last = line.split_whitespace().last().unwrap_or_default();
        last.parse().unwrap_or_else(|_| panic!("no address in `{line}`: {:?}", self.log()))
    }

    /// Reads the next line of standard output.
    pub async fn read_line(&mut self) -> String {
        let stdout = self.stdout.as_mut().expect("standard output is not read by the log");
        let line = stdout.next_line().await.expect("standard output can be read");
        line.unwrap_or_else(|| panic!("the program ended: {:?}", self.log()))
    }

    /// Collects further lines of standard output in the log. No line can be read afterwards.
    pub fn log_output(&mut self) {
        let Some(mut lines) = self.stdout.take() else { return };
        let log_writer = self.log.clone();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if std::env::var_os("LOFTCOVE_LOG").is_some() {
                    eprintln!("{line}");
                }
                log_writer.push(line);
            }
        });
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id().expect("the program runs")
    }

    /// Writes a line to standard input and returns the next line of standard output.
    pub async fn send_command(&mut self, line: &str) -> String {
        let text = format!("{line}\n");
        self.stdin.write_all(text.as_bytes()).await.expect("the program reads its input");
        self.read_line().await
    }

    /// Returns the lines logged so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lines()
    }

    /// Returns a handle to the log.
    pub fn log_handle(&self) -> Log {
        self.log.clone()
    }

    /// Returns the resources that the process uses.
    pub fn usage(&self) -> Usage {
        let id = self.child.id().expect("the program runs");
        let read = |name: &str| {
            std::fs::read_to_string(format!("/proc/{id}/{name}")).expect("/proc can be read")
        };
        let stat = read("stat");
        // The name of the program is in parentheses and may contain spaces.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks: u64 = fields[11..13].iter().filter_map(|field| field.parse::<u64>().ok()).sum();
        let pages: u64 = read("statm")
            .split_whitespace()
            .nth(1)
            .and_then(|field| field.parse().ok())
            .unwrap_or(0);
        let peak = read("status").lines().find_map(|line| {
            line.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse::<u64>().ok()
        });
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).expect("/proc can be read");
        Usage {
            cpu: Duration::from_millis(ticks * TICK_MS),
            memory: pages * PAGE,
            peak_memory: peak.unwrap_or(0) * 1_024,
            descriptors: descriptors.count(),
        }
    }

    /// Sends a signal, unless the process has been waited for.
    pub fn signal(&self, signal: i32) {
        let Some(id) = self.child.id() else { return };
        #[allow(unsafe_code, reason = "the system call has no safe form in the library")]
        // SAFETY: the id is of a child process that was not waited for yet, so that the system
        // has not reused it.
        let sent = unsafe { libc::kill(id as i32, signal) };
        assert_eq!(sent, 0, "the signal is sent");
    }

    /// Removes the limit of [`start_limited`](Process::start_limited).
    pub fn lift_address_space_limit(&self) {
        self.set_limit(libc::RLIMIT_AS, None);
    }

    /// Sets a limit of the resources of the process, or raises it as far as possible.
    pub fn set_limit(&self, resource: libc::__rlimit_resource_t, value: Option<u64>) {
        let id = self.id() as i32;
        let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
        #[allow(unsafe_code, reason = "the system call has no safe form in the library")]
        // SAFETY: both pointers are valid during the calls, and the id is of a child process that
        // was not waited for yet.
        let set = unsafe {
            libc::prlimit(id, resource, std::ptr::null(), &raw mut limit);
            limit.rlim_cur = value.unwrap_or(limit.rlim_max);
            libc::prlimit(id, resource, &raw const limit, std::ptr::null_mut())
        };
        assert_eq!(set, 0, "the limit is set");
    }

    /// Waits until the process exits and returns its exit status, or `None` if a signal ended it.
    pub async fn wait_for_status(&mut self) -> Option<i32> {
        self.child.wait().await.expect("the program can be waited for").code()
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the program can be waited for").is_some()
    }

    /// Returns the number of the signal that terminated the process, if one did.
    pub fn exit_signal(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the program can be waited for")?;
        std::os::unix::process::ExitStatusExt::signal(&status)
    }

    /// Returns the exit status of the process, or `None` if it has not exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the program can be waited for")
    }

    /// Waits until the process exits, and returns its exit status.
    pub async fn wait_status(&mut self) -> ExitStatus {
        self.child.wait().await.expect("the program can be waited for")
    }

    /// Returns whether the process has a handler for a signal.
    pub fn handles(&self, signal: i32) -> bool {
        let Some(id) = self.child.id() else { return false };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|text| u64::from_str_radix(text.trim(), 16).ok());
        mask.is_some_and(|mask| mask & (1 << (signal - 1)) != 0)
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("the program can be killed");
    }

    /// Waits until the process exits and returns whether it succeeded.
    pub async fn wait(&mut self) -> bool {
        self.child.wait().await.expect("the program can be waited for").success()
    }
}

/// Result of a program that has exited.
#[derive(Debug)]
pub struct Output {
    /// Whether the exit status is a success.
    pub success: bool,
    /// Text of standard output.
    pub stdout: String,
    /// Text of standard error.
    pub stderr: String,
}

/// Runs a program until it exits.
pub async fn run(name: &str, arguments: &[&str]) -> Output {
    let output = Command::new(program(name)).args(arguments).output().await;
    let output = output.expect("the program starts");
    Output {
        success: output.status.success(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A temporary folder for settings, which is removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a folder with a unique name.
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("loftcove-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&path).expect("a folder can be made");
        Folder(path)
    }

    /// Writes a file in the folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a file can be written");
        path
    }

    /// Creates a named pipe in the folder and returns its path.
    pub fn pipe(&self, name: &str) -> String {
        let path = self.path(name);
        let text = std::ffi::CString::new(path.as_str()).expect("a path has no zero byte");
        #[allow(unsafe_code, reason = "the system call has no safe form in the library")]
        // SAFETY: the path is a string that ends with a zero byte and outlives the call.
        let made = unsafe { libc::mkfifo(text.as_ptr(), 0o600) };
        assert_eq!(made, 0, "a named pipe can be made");
        path
    }

    /// Returns the path of a file in the folder.
    pub fn path(&self, name: &str) -> String {
        Path::new(&self.0).join(name).to_string_lossy().into_owned()
    }
}

impl Default for Folder {
    fn default() -> Folder {
        Folder::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}
