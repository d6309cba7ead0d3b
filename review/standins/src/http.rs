//! HTTP/1.1 over loopback: a server for the stand-ins, and a client for stand-in users and workers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

pub struct Req {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Bytes,
}

/// A response; `None` from a handler means that the request never gets an answer: the connection is dropped.
pub struct Resp {
    pub status: u16,
    pub body: String,
}

pub fn json(status: u16, body: serde_json::Value) -> Option<Resp> {
    Some(Resp {
        status,
        body: body.to_string(),
    })
}

/// Serves until the task is aborted.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Req) -> F + Clone + 'static,
    F: Future<Output = Option<Resp>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let handler = handler.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let body = body
                        .collect()
                        .await
                        .map_err(|_| std::io::Error::other("body"))?
                        .to_bytes();
                    let answer = handler(Req {
                        method: head.method,
                        path: head.uri.path().to_owned(),
                        query: head.uri.query().unwrap_or_default().to_owned(),
                        body,
                    })
                    .await
                    .ok_or_else(|| std::io::Error::other("no answer"))?;
                    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
                    *response.status_mut() = hyper::StatusCode::from_u16(answer.status)
                        .unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
                    Ok::<_, std::io::Error>(response)
                }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// The value of a field of a query string. The controllers' keys need no decoding but of `%2F`.
pub fn field(query: &str, name: &str) -> Option<String> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.replace("%2F", "/").replace("%2f", "/"))
    })
}

/// A connection of a client.
pub struct Client {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Some(Client { sender })
    }

    /// Sends a request on this connection; the status and the body of the answer.
    pub async fn send(&mut self, method: Method, path: &str, body: String) -> Option<(u16, Bytes)> {
        self.sender.ready().await.ok()?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "loopback")
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let response = self.sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    }
}

/// One request on a connection of its own, with a timeout.
pub async fn once(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    timeout: Duration,
) -> Option<(u16, Bytes)> {
    let exchange = async {
        let mut client = Client::connect(address).await?;
        client.send(method, path, body).await
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}
