//! Runs one case: `harness CASE RECORD`, with `TROUBLE=0` without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod http;
mod json;
mod ledger;
mod server;
mod store;
mod world;

mod cases;

use std::path::{Path, PathBuf};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    // The program of the deploy file, in the repository that holds this one.
    let program = std::env::current_exe()
        .ok()
        .and_then(|path| Some(path.parent()?.parent()?.join("release/mangohook")));
    let program: PathBuf = std::env::var_os("PROGRAM")
        .map(PathBuf::from)
        .or(program)
        .unwrap_or_default();
    let folder = std::env::temp_dir().join(format!("review-2-{}-{}", case, std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let outcome = cases::run(case, &program, &folder, trouble, Path::new(record));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match outcome {
        Ok(true) => std::process::exit(1),
        Ok(false) => std::process::exit(0),
        Err(e) => {
            println!("could not run: {e}");
            std::process::exit(2);
        }
    }
}
