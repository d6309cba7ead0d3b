//! A TCP proxy that can cut its connections: packets are held back, and new connections get no answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub struct Proxy {
    pub address: SocketAddr,
    cut: AtomicBool,
}

impl Proxy {
    /// Starts a proxy for a target on a free loopback port.
    pub fn start(target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().expect("local address"),
            cut: AtomicBool::new(false),
        });
        let own = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = own.clone();
                std::thread::spawn(move || {
                    proxy.wait();
                    let Ok(server) = TcpStream::connect(target) else {
                        return;
                    };
                    let (Ok(to_server), Ok(to_client)) = (server.try_clone(), client.try_clone()) else {
                        return;
                    };
                    let back = proxy.clone();
                    std::thread::spawn(move || back.copy(server, to_client));
                    proxy.copy(client, to_server);
                });
            }
        });
        proxy
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = to.set_nodelay(true);
        let mut buffer = [0; 16 * 1024];
        while let Ok(count) = from.read(&mut buffer) {
            self.wait();
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(std::net::Shutdown::Both);
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}
