//! A proxy that stands for the network between one VM and one server.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time between two looks for a new connection.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

pub struct Link {
    pub addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        std::thread::spawn(move || {
            while !cut.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => forward(stream, target),
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
            // From here on, new connections are refused; open ones live on.
            drop(listener);
        });
        Self { addr, is_cut }
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }
}

fn forward(vm: TcpStream, target: SocketAddr) {
    let Ok(server) = TcpStream::connect(target) else { return };
    let _ = (
        vm.set_nonblocking(false),
        vm.set_nodelay(true),
        server.set_nodelay(true),
    );
    let (Ok(vm_out), Ok(server_out)) = (vm.try_clone(), server.try_clone()) else {
        return;
    };
    std::thread::spawn(move || copy(vm, server_out));
    std::thread::spawn(move || copy(server, vm_out));
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; 16 * 1024];
    loop {
        match from.read(&mut chunk) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(len) => {
                if to.write_all(&chunk[..len]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
