mod evidence;
mod table;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mh_config::{CompiledShift, Snapshot};
use mh_edge::VersionGate;
use mh_shift::{Fraction, Guard, Rows, Shift, ShiftSpec, State, TakeBackReason, VmContext};
use mh_sync::Mutex;
use mh_types::{Event, Incarnation, Revision, RouteName, ServiceName, ShiftName, emit};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{Node, VmSettings};

/// Time between two steps of the shifts.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Name of a shift with the revision that created it, which distinguishes it from a later shift of the same name.
type ShiftId = (ShiftName, Revision);

/// Version shifts in which this VM takes part.
#[derive(Debug)]
pub(crate) struct Shifts {
    cfg: VmSettings,
    incarnation: Incarnation,
    started: Instant,
    active: Mutex<HashMap<ShiftId, ActiveShift>>,
}

#[derive(Debug)]
struct ActiveShift {
    shift: Shift,
    gate: Arc<VersionGate>,
    service: ServiceName,
    /// Whether this process has read, or is reading, the shift's rows since it joined the shift.
    rows_read: bool,
    last_reported: String,
}

impl Shifts {
    pub(crate) fn new(cfg: &VmSettings, incarnation: Incarnation, started: Instant) -> Self {
        Self {
            cfg: cfg.clone(),
            incarnation,
            started,
            active: Mutex::default(),
        }
    }

    /// Updates the shifts to those of a settings revision, and returns the gates for requests.
    pub(crate) fn sync(&self, snapshot: &Snapshot, rank: u32) -> HashMap<ServiceName, Arc<VersionGate>> {
        let mut active = self.active.lock();
        let shift_id = |shift: &CompiledShift| (shift.name.clone(), shift.created);
        active.retain(|active_id, _| snapshot.shifts.iter().any(|shift| shift_id(shift) == *active_id));
        for compiled in &snapshot.shifts {
            let entry = active.entry(shift_id(compiled));
            let active_shift = match entry {
                std::collections::hash_map::Entry::Occupied(active_shift) => active_shift.into_mut(),
                std::collections::hash_map::Entry::Vacant(slot) => {
                    let Some(new) = self.start_shift(snapshot, compiled, rank) else {
                        continue;
                    };
                    slot.insert(new)
                }
            };
            active_shift
                .shift
                .lower_cap(fraction_from_percent(compiled.doc.cap_percent));
            if compiled.doc.taken_back {
                active_shift.shift.take_back();
            }
        }
        active
            .values()
            .map(|active_shift| (active_shift.service.clone(), Arc::clone(&active_shift.gate)))
            .collect()
    }

    fn start_shift(&self, snapshot: &Snapshot, compiled: &CompiledShift, rank: u32) -> Option<ActiveShift> {
        let doc = &compiled.doc;
        let routes = snapshot.routes.iter().filter(|route| route.service == compiled.service);
        let context = VmContext {
            vm: self.cfg.vm.clone(),
            incarnation: self.incarnation,
            domain: self.cfg.domain.clone(),
            rank,
            routes: routes.map(|route| route.name.clone()).collect::<Vec<RouteName>>(),
            domains: snapshot.regions.keys().cloned().collect(),
        };
        let spec = ShiftSpec {
            name: compiled.name.clone(),
            service: compiled.service.clone(),
            from: doc.from.as_str().into(),
            to: doc.to.as_str().into(),
            cap: fraction_from_percent(doc.cap_percent),
            deadline: doc.deadline,
            guard: Guard {
                max_error_excess: fraction_from_percent(doc.guard.max_error_excess_percent),
                max_latency_factor: doc.guard.max_latency_factor,
                min_samples: doc.guard.min_samples,
            },
            steps: ShiftSpec::default_steps(),
        };
        let (from, to) = (spec.from.clone(), spec.to.clone());
        match Shift::new(Instant::now(), spec, mh_shift::Settings::default(), context) {
            Ok(shift) => {
                let gate = Arc::new(VersionGate {
                    selector: shift.selector(),
                    from,
                    to,
                });
                let service = compiled.service.clone();
                Some(ActiveShift {
                    shift,
                    gate,
                    service,
                    rows_read: false,
                    last_reported: String::new(),
                })
            }
            Err(e) => {
                emit!(Event::SettingsRejected, shift = compiled.name, problems = e);
                None
            }
        }
    }

    /// Returns the state of each shift, for operators.
    pub(crate) fn view(&self) -> Value {
        let active = self.active.lock();
        let views = active.iter().map(|((name, created), active)| {
            let shift = &active.shift;
            json!({
                "name": name,
                "created": created,
                "service": active.service,
                "from": shift.spec().from,
                "to": shift.spec().to,
                "state": state_name(shift.state()),
                "step": shift.state().step_number(),
                "share_percent": shift.state().share().as_f64() * 100.0,
                "cap_percent": shift.spec().cap.as_f64() * 100.0,
                "deadline": shift.spec().deadline.to_string(),
                "stopped": shift.stop_reason().map(TakeBackReason::to_string),
            })
        });
        views.collect()
    }

    /// Logs each state change of a shift once; returns whether there was one, so that the caller can notify the other
    /// VMs immediately.
    fn report_changes(&self) -> bool {
        let mut changed = false;
        for ((name, _), active) in self.active.lock().iter_mut() {
            let shift = &active.shift;
            let stopped = shift.stop_reason().map_or_else(String::new, TakeBackReason::to_string);
            let report = format!(
                "{} step {} {stopped}",
                state_name(shift.state()),
                shift.state().step_number()
            );
            if report == active.last_reported {
                continue;
            }
            let event = match shift.state() {
                State::Done(_) | State::TakenBack(_) => Event::ShiftEnded,
                _ if shift.stop_reason().is_some() => Event::ShiftFault,
                _ => Event::ShiftStepped,
            };
            emit!(event, shift = name, state = report.trim_end());
            changed = true;
            active.last_reported = report;
        }
        changed
    }
}

/// Advances the shifts until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        node.step_shifts();
        if node.shifts.report_changes() {
            node.heartbeat_now.notify_one();
        }
        tokio::time::sleep(STEP_INTERVAL).await;
    }
}

fn fraction_from_percent(value: f64) -> Fraction {
    Fraction::from_millionths((value * 10_000.0).round() as u32)
}

fn state_name(state: &State) -> &'static str {
    match state {
        State::Planned(_) => "planned",
        State::Running(_) => "running",
        State::Finishing(_) => "finishing",
        State::Done(_) => "done",
        State::TakenBack(_) => "taken-back",
    }
}

/// Rows of a shift that are absent or could not be read.
const NO_ROWS: Rows = Rows { step: None, end: None };
