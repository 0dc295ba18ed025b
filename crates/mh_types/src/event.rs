use std::fmt;

use log::Level;

macro_rules! events {
    ($($variant:ident = $number:literal, $level:ident, $title:literal;)*) => {
        /// Numbered kind of a log line.
        ///
        /// The catalogue is in `docs/events.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[non_exhaustive]
        #[repr(u16)]
        pub enum Event {
            $(#[doc = $title] $variant = $number,)*
        }

        impl Event {
            /// Every event, in numeric order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Level at which the event is logged.
            pub fn level(self) -> Level {
                match self {
                    $(Self::$variant => Level::$level,)*
                }
            }

            /// Human-readable title of the event.
            pub fn title(self) -> &'static str {
                match self {
                    $(Self::$variant => $title,)*
                }
            }
        }
    };
}

events! {
    Started = 100, Info, "The process started.";
    Listening = 101, Info, "A port is listening.";
    Stopping = 102, Info, "Shutdown began.";
    Stopped = 103, Info, "Shutdown ended and every request was answered.";
    StoppedHard = 104, Warn, "Shutdown ended with requests still running, or tunnels of other VMs open.";
    LoopFailed = 105, Error, "A control loop failed unexpectedly; it is started again.";
    ConnectionFailed = 200, Debug, "A caller's connection ended with an error.";
    RequestRefused = 201, Debug, "A request was refused.";
    AnswerCut = 202, Warn, "An answer could not be passed on whole.";
    RequestFailed = 203, Info, "A request ended without an answer and may have run.";
    RequestAnswered = 204, Info, "A backend server answered a request.";
    AttemptFailed = 205, Info, "A request to one backend server got no answer to pass on.";
    NoServerChosen = 206, Info, "No backend server was chosen for a request.";
    LinesDropped = 207, Warn, "Log lines were left out to keep within the limit.";
    QuotaRefused = 208, Info, "A request was refused because its organisation's quota was used up.";
    RequestTurnedAway = 209, Info, "A request was refused as not run.";
    ServerFull = 210, Info, "A request was not sent to a backend server because the limit that it stated is used up.";
    AdmissionRefused = 215, Info, "A request was refused for more urgent callers.";
    ServerFailed = 300, Warn, "A backend server failed a request.";
    ServerLeaving = 301, Info, "A backend server is leaving.";
    ServerReturned = 302, Info, "A backend server takes requests again.";
    ServerListed = 303, Info, "A backend server was listed or its entry changed.";
    ServerUnlisted = 304, Info, "A backend server's entry was removed.";
    ServerEntryInvalid = 305, Warn, "A backend server's entry cannot be read; it names no server to use.";
    ServerLimitChanged = 306, Info, "A backend server stated a limit, changed it or took it back.";
    ServerLimitInvalid = 307, Warn, "The limit that a backend server stated cannot be used.";
    ServerCrashed = 308, Warn, "A backend server went down while it ran requests of this VM.";
    RequestQuarantined = 309, Warn, "A request is in quarantine because it crashes backend servers, or no longer.";
    ObjectsMoved = 310, Info, "A change of the server list moved objects of a service to other servers.";
    ShortageChanged = 315, Warn, "Requests to a service are refused because its servers are short, or no longer.";
    SettingsApplied = 400, Info, "A settings revision is in force on this VM.";
    SettingsRejected = 401, Error, "A settings revision could not be applied; the previous one stays in force.";
    NotCurrent = 402, Warn, "This VM can no longer confirm that its settings are current.";
    CurrentAgain = 403, Info, "This VM confirmed that its settings are current.";
    ChangeCommitted = 404, Info, "An operator's change was committed.";
    PlanApplied = 405, Info, "A plan is in force on this VM.";
    PlanRejected = 406, Error, "A plan could not be read; the previous one stays in force.";
    DomainDrained = 407, Info, "A failure domain is drained, or no longer.";
    SettingsFileReloaded = 408, Info, "The settings file was read again.";
    PlanPartRejected = 409, Error, "A part of a plan could not be read; it is out of service, and the rest is in force.";
    TableFailed = 500, Warn, "A request to the table service failed.";
    TableBack = 501, Info, "The table service answers again.";
    VmListFailed = 502, Warn, "The list of VMs could not be read.";
    FeedLost = 503, Warn, "Changes can no longer be read from the store.";
    FeedBack = 504, Info, "Changes are read from the store again.";
    FeedReset = 505, Info, "The store no longer holds the changes since the last read; everything is read again.";
    StoreWriteFailed = 506, Warn, "A write to the store failed.";
    RowUnreadable = 507, Warn, "A row of the store could not be read; it is passed over.";
    StoreRestored = 508, Warn, "The store was restored from an older copy; everything is read again.";
    FeedUnanswered = 509, Warn, "The store has not answered a call for changes in time; it is sent again.";
    PeerFailed = 600, Warn, "A peer VM could not be reached.";
    PeerJoined = 601, Info, "A peer VM answers.";
    PeerMessageInvalid = 602, Warn, "A peer's message could not be decoded.";
    VmListed = 603, Info, "A VM was listed.";
    VmUnlisted = 604, Info, "A VM was taken from the list.";
    VmStateChanged = 605, Info, "The known state of another VM changed.";
    Suspended = 606, Warn, "The machine was suspended; the data that this VM holds is read again.";
    ReaderChanged = 607, Info, "This VM began or ceased to read the store for the others of its region.";
    FetchFailed = 608, Warn, "Changes could not be fetched from another VM.";
    PathChanged = 609, Warn, "This VM cannot reach any backend server itself and uses tunnels through other VMs, or no longer.";
    TunnelFailed = 610, Warn, "A tunnel through another VM to a backend server could not be opened.";
    PlacementChanged = 615, Info, "The fraction of objects placed in the own failure domain changed.";
    SpareCapacityChanged = 616, Info, "The spare capacity of this VM, by which look-ups return it, changed.";
    RequestDeferred = 650, Info, "A request was stored for later delivery.";
    DeferredDelivered = 651, Info, "A stored request was delivered.";
    DeferredUnreadable = 652, Error, "A stored request cannot be read; it stays where it is.";
    ShiftStepped = 700, Info, "A version shift changed its share.";
    ShiftEnded = 701, Info, "A version shift reached its terminal state.";
    ShiftFault = 702, Warn, "A fault of a new version was seen.";
    ShiftOrdered = 703, Info, "A shift to a new version was ordered, or its order was withdrawn.";
    ShiftRecorded = 704, Info, "The state of a shift changed.";
    ShiftDecided = 705, Info, "This VM decided on the next state of a shift.";
    UsageDutyChanged = 800, Info, "This VM began or ceased to report the usage of all VMs.";
    UsageCountsMissing = 801, Warn, "Counts of requests were lost, or the last counts of a VM are missing in a report.";
    UsageReported = 802, Info, "The usage of a window was reported.";
    UsageReportFailed = 803, Warn, "A call to report usage had no result; it is sent again.";
    UsageReportDropped = 804, Error, "The usage of a window was not reported and is too old.";
}

impl Event {
    /// The number that users see.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.number(), self.title())
    }
}

/// Logs an [`Event`] with its number, its title and further `key = value` pairs.
///
/// ```
/// use mh_types::{Event, emit};
///
/// emit!(Event::Listening, port = "caller", addr = "127.0.0.1:8080");
/// ```
#[macro_export]
macro_rules! emit {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        $crate::log::log!(
            target: "mangohook",
            event.level(),
            concat!("{}" $(, " ", stringify!($key), "={}")*),
            event $(, $value)*
        );
    }};
}
