use std::io;
use std::process::{Child, Command, ExitStatus};
use std::time::Duration;

/// Longest wait for a process to stop or to end; a healthy one takes a fraction of it.
const PATIENCE: Duration = Duration::from_mins(1);

/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

/// A started process that gets signals by its id, ended when dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts `command`.
    ///
    /// # Errors
    ///
    /// The error of starting it.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        command.spawn().map(Self)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// How the process ended; `None` while it runs.
    ///
    /// # Errors
    ///
    /// The error of asking.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.0.try_wait()
    }

    /// Asks the process to stop, as the platform does.
    ///
    /// # Errors
    ///
    /// The error of running `kill`.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Tells the process that its settings file changed.
    ///
    /// # Errors
    ///
    /// The error of running `kill`.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal("HUP")
    }

    /// Pauses the process and waits until every thread of it has stopped.
    ///
    /// A stop signal takes effect only when the thread that gets it is scheduled, and the others go on until then.
    ///
    /// # Errors
    ///
    /// The error of running `kill` or of reading the threads' states, or that a thread does not stop.
    pub async fn pause(&self) -> io::Result<()> {
        self.signal("STOP")?;
        let mut waited = Duration::ZERO;
        while waited < PATIENCE {
            if self.is_stopped()? {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
            waited += POLL;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Lets a paused process go on.
    ///
    /// # Errors
    ///
    /// The error of running `kill`.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// The error of ending it.
    pub fn kill(&mut self) -> io::Result<()> {
        self.0.kill()?;
        self.0.wait().map(|_| ())
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    ///
    /// The error of waiting, or that it took too long.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        let mut waited = Duration::ZERO;
        while waited < PATIENCE {
            if let Some(status) = self.ended()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL).await;
            waited += POLL;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status()
            .map(|_| ())
    }

    /// Whether each thread has the state `T` in `/proc`; the state is the first field after the name in brackets.
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
        // The process may have ended by itself.
        let _ = self.kill();
    }
}
