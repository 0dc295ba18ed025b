use std::io;
use std::process::{Child, Command, ExitStatus};
use std::time::Duration;

/// Maximum time to wait for a process to pause or to exit; a healthy process takes a fraction of it.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two checks of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Child process that can be sent signals; killed when dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts `command`.
    ///
    /// # Errors
    ///
    /// The error of starting the process.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        command.spawn().map(Self)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Returns the exit status; `None` while the process runs.
    ///
    /// # Errors
    ///
    /// The error of querying the exit status.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.0.try_wait()
    }

    /// Sends `SIGTERM`, as the platform does to stop a process.
    ///
    /// # Errors
    ///
    /// The error of running `kill`.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Sends `SIGHUP`, which tells the process that its settings file changed.
    ///
    /// # Errors
    ///
    /// The error of running `kill`.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal("HUP")
    }

    /// Sends `SIGSTOP` and waits until all threads of the process have stopped.
    ///
    /// The signal takes effect only when the thread that receives it is scheduled; the other threads run until then.
    ///
    /// # Errors
    ///
    /// The error of running `kill` or of reading the threads' states, or [`io::ErrorKind::TimedOut`] if a thread does
    /// not stop.
    pub async fn pause(&self) -> io::Result<()> {
        self.signal("STOP")?;
        let mut waited = Duration::ZERO;
        while waited < WAIT_TIMEOUT {
            if self.is_stopped()? {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Sends `SIGCONT`, which resumes a paused process.
    ///
    /// # Errors
    ///
    /// The error of running `kill`.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Kills the process and waits for it to exit.
    ///
    /// # Errors
    ///
    /// The error of killing the process or of waiting for it.
    pub fn kill(&mut self) -> io::Result<()> {
        self.0.kill()?;
        self.0.wait().map(|_| ())
    }

    /// Waits for the process to exit on its own.
    ///
    /// # Errors
    ///
    /// The error of querying the exit status, or [`io::ErrorKind::TimedOut`] if the process does not exit.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        let mut waited = Duration::ZERO;
        while waited < WAIT_TIMEOUT {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status()
            .map(|_| ())
    }

    /// Returns whether all threads have the state `T` in `/proc`; the state is the first field after the name in
    /// parentheses.
    fn is_stopped(&self) -> io::Result<bool> {
        for task in std::fs::read_dir(format!("/proc/{}/task", self.id()))? {
            let stat = std::fs::read_to_string(task?.path().join("stat"))?;
            let state = stat.rsplit(')').next().unwrap_or_default().trim_start().chars().next();
            if state != Some('T') {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited on its own.
        let _ = self.kill();
    }
}
