/// Largest plausible number of requests or slots of one server; larger figures are ignored.
const MAX_COUNT: u32 = 10_000;

/// Plausible speeds in percent; other figures are ignored.
const SPEED_RANGE: std::ops::RangeInclusive<u32> = 10..=2_000;

/// Load that a server states in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that the server works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots, if stated.
    pub slots: Option<u32>,
    /// Duration of work at this moment in percent of the usual one, if stated.
    pub speed: Option<u32>,
}

impl ServerLoad {
    /// Parses `running,waiting[,slots[,speed]]`; `None` if a count is missing or implausible.
    ///
    /// ```
    /// use mh_route::objects::ServerLoad;
    ///
    /// let load = ServerLoad::parse("3,4,3,250").expect("the counts are plausible");
    /// assert_eq!((load.total(), load.speed), (7, Some(250)));
    /// assert_eq!(ServerLoad::parse("4294967295,1,3"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(',').map(|part| part.trim().parse::<u32>().ok());
        let running = parts.next()??;
        let waiting = parts.next()??;
        let slots = parts.next().flatten();
        let speed = parts.next().flatten().filter(|speed| SPEED_RANGE.contains(speed));
        let is_plausible = running <= MAX_COUNT
            && waiting <= MAX_COUNT
            && running + waiting <= MAX_COUNT
            && slots.is_none_or(|slots| (1..=MAX_COUNT).contains(&slots));
        is_plausible.then_some(Self {
            running,
            waiting,
            slots,
            speed,
        })
    }

    /// Requests at the server.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Load of a server that states its speed, with its age; VMs tell it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedLoad {
    /// Requests at the server.
    pub total: u32,
    /// Duration of work in percent of the usual one, if stated.
    pub speed: Option<u32>,
    /// Time since the server stated the load, in milliseconds.
    pub age_ms: u64,
}

impl AgedLoad {
    /// Returns the load without implausible figures; `None` if the number of requests is implausible.
    pub(crate) fn plausible(self) -> Option<Self> {
        (self.total <= MAX_COUNT).then(|| Self {
            speed: self.speed.filter(|speed| SPEED_RANGE.contains(speed)),
            ..self
        })
    }
}
