/// Fault of one VM.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process ends.
    Kill,
    /// The VM leaves the list; its process still has requests until it ends.
    Leave,
    /// A new process starts, or a paused one goes on.
    Run,
    /// The process stands still.
    Pause,
    /// The VM loses contact with all that are not cut off too; it still reaches the server.
    Cut,
    /// The contact is back.
    Heal,
}
