//! Runs a complete system on this machine: two failure domains, four VMs, two services, embedded stand-ins.
//!
//! The example shows a look-up, a request, a settings change and the failure of a VM. It then keeps running, for use
//! with `curl` and `mangohookctl`, until it is interrupted; with `--exit` it ends instead.

use std::path::PathBuf;
use std::time::Duration;

use mh_config::CallerKey;
use mh_platform::VmListing;
use mh_standin::{Backend, Caller, Platform, VmProcess};
use serde_json::{Value, json};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls after which the example stops waiting.
const MAX_POLLS: u32 = 400;

struct LocalSystem {
    platform: Platform,
    backends: Vec<Backend>,
    vms: Vec<VmProcess>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let mut system = LocalSystem::start(folder.path()).await?;
    let key = CallerKey::new("shop", "till", &rand::random());
    system.write_settings(&key).await?;
    let caller = Caller::new(Some(key.reveal()));

    let lookup = system.lookup(&caller).await?;
    println!("look-up: use {}", vm_names(&lookup));
    let first = lookup["vms"][0]["addr"].as_str().unwrap_or_default().parse()?;
    let answer = caller.get(first, "/stock/nets").await?;
    println!("request: {} {}", answer.status, answer.text().trim());

    println!(
        "route /catalogue before: {}",
        caller.get(first, "/catalogue").await?.status
    );
    let catalogue = json!({"service": "stock", "path": "/catalogue", "access": "open", "execution": "idempotent"});
    let change = system.set("/teams/shop/routes/catalogue", &catalogue).await?;
    println!(
        "change: revision {} accepted={} missing={}",
        change["revision"], change["accepted"], change["missing"]
    );
    println!(
        "route /catalogue after: {}",
        caller.get(first, "/catalogue").await?.status
    );

    let mut killed = system.vms.remove(0);
    killed.process_mut().kill()?;
    println!("killed: {}", killed.list_entry().name);
    let mut polls = 0;
    while vm_names(&system.lookup(&caller).await?).contains(killed.list_entry().name.as_str()) && polls < MAX_POLLS {
        tokio::time::sleep(POLL_INTERVAL).await;
        polls += 1;
    }
    let lookup = system.lookup(&caller).await?;
    println!("look-up: use {}", vm_names(&lookup));
    let next = lookup["vms"][0]["addr"].as_str().unwrap_or_default().parse()?;
    let answer = caller.get(next, "/stock/nets").await?;
    println!("request: {} {}", answer.status, answer.text().trim());

    if std::env::args().any(|arg| arg == "--exit") {
        return Ok(());
    }
    println!("\ntry:");
    println!(
        "  curl -H 'Authorization: Bearer {}' http://{next}/stock/nets",
        key.reveal()
    );
    println!("  curl http://{next}/.well-known/mangohook/lookup");
    println!("  mangohookctl --admin {} status", system.vms[0].list_entry().admin);
    println!("stop with Ctrl-C");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

impl LocalSystem {
    async fn start(folder: &std::path::Path) -> Result<Self> {
        let platform = Platform::start().await?;
        let mut backends = Vec::new();
        for name in ["stock-a", "stock-b", "orders-a", "orders-b"] {
            backends.push(Backend::start(name).await?);
        }
        let mut vms = Vec::new();
        for (name, domain) in [("vm-a1", "a"), ("vm-a2", "a"), ("vm-b1", "b"), ("vm-b2", "b")] {
            let location = (domain, "maine");
            vms.push(VmProcess::start(&binary()?, folder, name, location, platform.addr(), "log: error\n").await?);
        }
        let listed = vms.iter().map(|vm| vm.list_entry().clone()).collect();
        platform.set_vms(VmListing {
            lag_ms: 1000,
            vms: listed,
        });
        let system = Self {
            platform,
            backends,
            vms,
        };
        println!("platform stand-in: {}", system.platform.addr());
        for _ in 0..MAX_POLLS {
            if system.lookup(&Caller::new(None)).await?["vms"]
                .as_array()
                .is_some_and(|vms| vms.len() == 4)
            {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(system)
    }

    async fn write_settings(&self, key: &CallerKey) -> Result<()> {
        let server = |i: usize, name: &str, domain: &str| {
            json!({
                "name": name, "addr": self.backends[i].addr(), "domain": domain, "slots": 4, "connections": 340
            })
        };
        let stock = [server(0, "stock-a", "a"), server(1, "stock-b", "b")];
        let orders = [server(2, "orders-a", "a"), server(3, "orders-b", "b")];
        let domains = [
            json!({"name": "a", "region": "maine"}),
            json!({"name": "b", "region": "maine"}),
        ];
        for (path, doc) in [
            ("/system/topology", json!({"domains": domains})),
            ("/teams/shop/services/stock", json!({"servers": stock})),
            ("/teams/shop/services/orders", json!({"servers": orders})),
            (
                "/teams/shop/organisations/orchard",
                json!({"rate_per_second": 100.0, "burst": 50}),
            ),
            (
                "/teams/shop/keys/till",
                json!({"organisation": "orchard", "hash": key.hash()}),
            ),
            (
                "/teams/shop/routes/stock",
                json!({"service": "stock", "path": "/stock", "execution": "idempotent"}),
            ),
            (
                "/teams/shop/routes/orders",
                json!({"service": "orders", "path": "/orders", "execution": "at-most-once"}),
            ),
        ] {
            self.set(path, &doc).await?;
        }
        Ok(())
    }

    async fn set(&self, path: &str, doc: &Value) -> Result<Value> {
        let admin = self.vms[0].list_entry().admin;
        let target = format!("/v1/settings{path}");
        let reply = Caller::new(None)
            .send(admin, "PUT", &target, &[], &doc.to_string())
            .await?;
        if reply.status.is_success() {
            Ok(reply.json())
        } else {
            Err(reply.text().into())
        }
    }

    async fn lookup(&self, caller: &Caller) -> Result<Value> {
        let last = self.vms.last().ok_or("no VM runs")?;
        Ok(caller
            .get(last.list_entry().caller, "/.well-known/mangohook/lookup")
            .await?
            .json())
    }
}

fn vm_names(lookup: &Value) -> String {
    let vms = lookup["vms"].as_array().into_iter().flatten();
    vms.filter_map(|vm| vm["vm"].as_str()).collect::<Vec<_>>().join(", ")
}

/// Path of the `mangohook` binary, which is in the parent of the folder of built examples.
fn binary() -> Result<PathBuf> {
    let example = std::env::current_exe()?;
    let folder = example
        .parent()
        .and_then(|examples| examples.parent())
        .ok_or("no build folder")?;
    Ok(folder.join("mangohook"))
}
