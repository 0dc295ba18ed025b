mod exchange;
mod table;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mh_config::{CompiledShift, Snapshot};
use mh_edge::VersionGate;
use mh_shift::{Fraction, Guard, Reason, Rows, Settings, Shift, ShiftSpec, State, VmContext};
use mh_types::{Event, Incarnation, Revision, RouteName, ServiceName, ShiftName, emit};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::node::lock;
use crate::{Node, VmSettings};

/// Time between two looks at the shifts.
const TICK: Duration = Duration::from_millis(100);

/// A shift's name with the revision that created it; a later shift of the same name is another one.
type Id = (ShiftName, Revision);

/// The version shifts that this VM takes part in.
#[derive(Debug)]
pub(crate) struct Shifts {
    cfg: VmSettings,
    incarnation: Incarnation,
    started: Instant,
    running: Mutex<HashMap<Id, Running>>,
}

#[derive(Debug)]
struct Running {
    shift: Shift,
    gate: Arc<VersionGate>,
    service: ServiceName,
    /// Whether the rows were read since this process began to take part.
    rows_read: bool,
    reported: String,
}

impl Shifts {
    pub(crate) fn new(cfg: &VmSettings, incarnation: Incarnation, started: Instant) -> Self {
        Self {
            cfg: cfg.clone(),
            incarnation,
            started,
            running: Mutex::default(),
        }
    }

    /// Takes in the shifts of a settings revision, and returns what requests use.
    pub(crate) fn sync(&self, snapshot: &Snapshot, rank: u32) -> HashMap<ServiceName, Arc<VersionGate>> {
        let mut running = lock(&self.running);
        let id = |shift: &CompiledShift| (shift.name.clone(), shift.created);
        running.retain(|known, _| snapshot.shifts.iter().any(|shift| id(shift) == *known));
        for compiled in &snapshot.shifts {
            let entry = running.entry(id(compiled));
            let known = match entry {
                std::collections::hash_map::Entry::Occupied(known) => known.into_mut(),
                std::collections::hash_map::Entry::Vacant(slot) => {
                    let Some(new) = self.start(snapshot, compiled, rank) else {
                        continue;
                    };
                    slot.insert(new)
                }
            };
            known.shift.lower_cap(percent(compiled.doc.cap_percent));
            if compiled.doc.taken_back {
                known.shift.take_back();
            }
        }
        running
            .values()
            .map(|known| (known.service.clone(), Arc::clone(&known.gate)))
            .collect()
    }

    fn start(&self, snapshot: &Snapshot, compiled: &CompiledShift, rank: u32) -> Option<Running> {
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
            cap: percent(doc.cap_percent),
            deadline: doc.deadline,
            guard: Guard {
                max_error_excess: percent(doc.guard.max_error_excess_percent),
                max_latency_factor: doc.guard.max_latency_factor,
                min_samples: doc.guard.min_samples,
            },
            steps: ShiftSpec::default_steps(),
        };
        let (from, to) = (spec.from.clone(), spec.to.clone());
        match Shift::new(Instant::now(), spec, Settings::default(), context) {
            Ok(shift) => {
                let gate = Arc::new(VersionGate {
                    gate: shift.gate(),
                    from,
                    to,
                });
                let service = compiled.service.clone();
                Some(Running {
                    shift,
                    gate,
                    service,
                    rows_read: false,
                    reported: String::new(),
                })
            }
            Err(e) => {
                emit!(Event::SettingsRejected, shift = compiled.name, problems = e);
                None
            }
        }
    }

    /// State of each shift, for operators.
    pub(crate) fn view(&self) -> Value {
        let running = lock(&self.running);
        let views = running.iter().map(|((name, created), running)| {
            let shift = &running.shift;
            json!({
                "name": name,
                "created": created,
                "service": running.service,
                "from": shift.spec().from,
                "to": shift.spec().to,
                "state": state_word(shift.state()),
                "step": shift.state().step_number(),
                "share_percent": shift.state().share().as_f64() * 100.0,
                "cap_percent": shift.spec().cap.as_f64() * 100.0,
                "deadline": shift.spec().deadline.to_string(),
                "stopped": shift.stop_reason().map(Reason::to_string),
            })
        });
        views.collect()
    }

    /// Logs each change of a shift once; returns whether there was one, which the other VMs should hear at once.
    fn report_changes(&self) -> bool {
        let mut changed = false;
        for ((name, _), running) in lock(&self.running).iter_mut() {
            let shift = &running.shift;
            let stopped = shift.stop_reason().map_or_else(String::new, Reason::to_string);
            let now = format!(
                "{} step {} {stopped}",
                state_word(shift.state()),
                shift.state().step_number()
            );
            if now == running.reported {
                continue;
            }
            let event = match shift.state() {
                State::Done(_) | State::TakenBack(_) => Event::ShiftEnded,
                _ if shift.stop_reason().is_some() => Event::ShiftFault,
                _ => Event::ShiftStepped,
            };
            emit!(event, shift = name, state = now.trim_end());
            changed = true;
            running.reported = now;
        }
        changed
    }
}

/// Steps the shifts until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        node.step_shifts();
        if node.shifts.report_changes() {
            node.beat_now.notify_one();
        }
        tokio::time::sleep(TICK).await;
    }
}

fn percent(value: f64) -> Fraction {
    Fraction::from_millionths((value * 10_000.0).round() as u32)
}

fn state_word(state: &State) -> &'static str {
    match state {
        State::Planned(_) => "planned",
        State::Running(_) => "running",
        State::Finishing(_) => "finishing",
        State::Done(_) => "done",
        State::TakenBack(_) => "taken-back",
    }
}

/// Rows that lead nowhere yet.
const NO_ROWS: Rows = Rows { step: None, end: None };
