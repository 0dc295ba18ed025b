//! Stand-ins and scripts of the review. `standin CASE FOLDER` plays a case: exit code 1 if its rule was broken, 0 if it
//! held, 2 if the case could not run.

mod blank_lines;
mod chunked_search;
mod http;
mod json;
mod link;
mod quota_owners;
mod record;
mod server;
mod slow_order;
mod store;
mod tunnel_end;
mod vm;

use std::path::PathBuf;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2).map(PathBuf::from)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::new(&folder.join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    // The processes that a case started end with it, also if it panics.
    let play = || match case.as_str() {
        "tunnel-end" => tunnel_end::play(&record, &temporary, has_trouble),
        "quota-owners" => quota_owners::play(&record, &temporary, has_trouble),
        "slow-order" => slow_order::play(&record, &temporary, has_trouble),
        "blank-lines" => blank_lines::play(&record, &temporary, has_trouble),
        "chunked-search" => chunked_search::play(&record, &temporary, has_trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let verdict = verdict.unwrap_or_else(|_| Verdict::CouldNotRun("the case panicked".into()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let code = match verdict {
        Verdict::Held => {
            record.line("the rule held");
            0
        }
        Verdict::Broken => {
            record.line("the rule was broken");
            1
        }
        Verdict::CouldNotRun(why) => {
            record.line(&format!("the case could not run: {why}"));
            2
        }
    };
    std::process::exit(code);
}
