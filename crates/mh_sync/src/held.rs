#[cfg(debug_assertions)]
use std::cell::Cell;
#[cfg(debug_assertions)]
use std::panic::Location;

/// Position of a lock among those that a thread may hold at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Level {
    /// Taken before any other lock.
    Outer,
    /// Taken last.
    Inner,
}

#[cfg(debug_assertions)]
thread_local! {
    /// Where this thread has taken the locks that it holds, by level.
    static HELD_SINCE: [Cell<Option<&'static Location<'static>>>; 2] =
        const { [const { Cell::new(None) }; 2] };
}

/// Proof that the thread could take a lock of this level. Nothing is recorded in release builds.
#[derive(Debug)]
pub(crate) struct Held {
    #[cfg(debug_assertions)]
    level: Level,
}

impl Held {
    #[track_caller]
    #[cfg_attr(
        not(debug_assertions),
        expect(unused_variables, reason = "only checked builds use it")
    )]
    pub(crate) fn acquire(level: Level) -> Self {
        #[cfg(debug_assertions)]
        {
            let here = Location::caller();
            HELD_SINCE.with(|held| {
                let conflict = held[level as usize..].iter().find_map(Cell::get);
                if let Some(held_since) = conflict {
                    panic!("lock taken at {here} while the lock taken at {held_since} is held");
                }
                held[level as usize].set(Some(here));
            });
        }
        Self {
            #[cfg(debug_assertions)]
            level,
        }
    }
}

#[cfg(debug_assertions)]
impl Drop for Held {
    fn drop(&mut self) {
        HELD_SINCE.with(|held| held[self.level as usize].set(None));
    }
}
