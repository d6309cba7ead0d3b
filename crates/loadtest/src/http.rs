//! HTTP/1.1 servers and clients over loopback that count the traffic with the controllers, by kind of message.

use crate::run_layout::Clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Largest body that is read; a larger one is an error.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Number of exchanges of one kind, and their bytes on the wire, HTTP headers included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    pub messages: u64,
    /// Bytes that controllers sent.
    pub from_controller: u64,
    /// Bytes that controllers received.
    pub to_controller: u64,
}

/// Traffic by number of the controller and by kind of message.
pub type TrafficTotals = BTreeMap<u32, BTreeMap<String, Traffic>>;

/// Traffic totals that the connections of a process share.
pub type SharedTrafficTotals = Rc<RefCell<TrafficTotals>>;

/// Clears the totals at a time of the run, so that the warm-up is not counted.
pub async fn clear_totals_at(clock: Clock, at_ms: u64, totals: SharedTrafficTotals) {
    clock.sleep_until_ms(at_ms).await;
    totals.borrow_mut().clear();
}

#[derive(Debug, Default)]
struct ByteCounts {
    read: Cell<u64>,
    written: Cell<u64>,
}

/// A TCP stream that counts the bytes read and written.
struct CountingStream {
    stream: TcpStream,
    bytes: Rc<ByteCounts>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = (buffer.filled().len() - before) as u64;
        self.bytes.read.set(self.bytes.read.get() + read);
        result
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, data);
        if let Poll::Ready(Ok(written)) = result {
            self.bytes
                .written
                .set(self.bytes.written.get() + written as u64);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A request to a simulated service.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Bytes,
}

/// The response of a simulated service.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
    /// Kind under which the exchange is counted; it is not counted if this is empty.
    pub kind: &'static str,
}

impl HttpResponse {
    /// A response with a JSON body.
    pub fn json<T: Serialize>(kind: &'static str, status: u16, body: &T) -> Self {
        let (status, body) = match serde_json::to_vec(body) {
            Ok(body) => (status, body),
            Err(_) => (500, Vec::new()),
        };
        HttpResponse { status, body, kind }
    }

    /// An error response.
    pub fn error(kind: &'static str, status: u16, error: &str) -> Self {
        HttpResponse::json(
            kind,
            status,
            &wire::users::ErrorBody {
                error: error.to_owned(),
            },
        )
    }
}

/// Serves connections until the process ends. Their traffic is counted for `controller`.
pub async fn serve<H, F>(
    listener: TcpListener,
    controller: u32,
    totals: SharedTrafficTotals,
    handler: H,
) where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::task::spawn_local(serve_connection(
            stream,
            controller,
            totals.clone(),
            handler.clone(),
        ));
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    controller: u32,
    totals: SharedTrafficTotals,
    handler: H,
) where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let bytes = Rc::new(ByteCounts::default());
    let meter = Rc::new(Meter {
        controller,
        totals,
        bytes: bytes.clone(),
        last_exchange: Cell::default(),
    });
    let request_meter = meter.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let meter = request_meter.clone();
        async move { Ok::<_, Infallible>(respond(request, handler, &meter).await) }
    });
    let io = TokioIo::new(CountingStream { stream, bytes });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(io, service)
        .await;
    meter.count_response();
}

/// Counts the exchanges of one connection to a simulated service.
struct Meter {
    controller: u32,
    totals: SharedTrafficTotals,
    bytes: Rc<ByteCounts>,
    /// Kind of the last exchange, and the connection's total bytes read and written before its response was written.
    last_exchange: Cell<(&'static str, u64, u64)>,
}

impl Meter {
    /// Counts the response to the last request, which has been written since that request was counted.
    fn count_response(&self) {
        let (kind, read, written) = self.last_exchange.get();
        let written_now = self.bytes.written.get();
        if !kind.is_empty() {
            self.add(kind, 0, 0, written_now - written);
        }
        self.last_exchange.set(("", read, written_now));
    }

    fn count_request(&self, kind: &'static str) {
        let (_, read, written) = self.last_exchange.get();
        let read_now = self.bytes.read.get();
        if !kind.is_empty() {
            self.add(kind, 1, read_now - read, 0);
        }
        self.last_exchange.set((kind, read_now, written));
    }

    fn add(&self, kind: &str, messages: u64, from_controller: u64, to_controller: u64) {
        add_traffic(
            &self.totals,
            self.controller,
            kind,
            messages,
            from_controller,
            to_controller,
        );
    }
}

fn add_traffic(
    totals: &SharedTrafficTotals,
    controller: u32,
    kind: &str,
    messages: u64,
    from_controller: u64,
    to_controller: u64,
) {
    let mut totals = totals.borrow_mut();
    let kinds = totals.entry(controller).or_default();
    if !kinds.contains_key(kind) {
        kinds.insert(kind.to_owned(), Traffic::default());
    }
    if let Some(traffic) = kinds.get_mut(kind) {
        traffic.messages += messages;
        traffic.from_controller += from_controller;
        traffic.to_controller += to_controller;
    }
}

async fn respond<H, F>(
    request: Request<Incoming>,
    handler: H,
    meter: &Meter,
) -> Response<Full<Bytes>>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpResponse>,
{
    meter.count_response();
    let (head, body) = request.into_parts();
    let response = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let request = HttpRequest {
                method: head.method,
                path: head.uri.path().to_owned(),
                query: head.uri.query().unwrap_or_default().to_owned(),
                body: body.to_bytes(),
            };
            handler(request).await
        }
        Err(_) => HttpResponse::error("", 400, "unreadable body"),
    };
    meter.count_request(response.kind);
    let mut http_response = Response::new(Full::new(Bytes::from(response.body)));
    if let Ok(status) = hyper::StatusCode::from_u16(response.status) {
        *http_response.status_mut() = status;
    }
    http_response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    http_response
}

/// A client connection, usually to a controller.
pub struct Client {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    bytes: Rc<ByteCounts>,
    /// Bytes read and written that have been counted.
    counted: (u64, u64),
    address: SocketAddr,
    /// Number of the controller for which traffic is counted.
    pub controller: u32,
}

impl Client {
    /// Connects to `address`, from the local address `from` if one is given.
    pub async fn connect(
        from: Option<IpAddr>,
        address: SocketAddr,
        controller: u32,
    ) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(from) = from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        let bytes = Rc::new(ByteCounts::default());
        let io = TokioIo::new(CountingStream {
            stream,
            bytes: bytes.clone(),
        });
        let (sender, connection) = hyper::client::conn::http1::handshake(io)
            .await
            .map_err(io::Error::other)?;
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Client {
            sender,
            bytes,
            counted: (0, 0),
            address,
            controller,
        })
    }

    /// Whether the connection can be used for another exchange.
    pub fn usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request; returns the response's status, its `Retry-After` in seconds and its body.
    pub async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> io::Result<(u16, Option<u64>, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(io::Error::other)?;
        self.sender.ready().await.map_err(io::Error::other)?;
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let status = response.status().as_u16();
        let retry_after_s = response.headers().get("retry-after");
        let retry_after_s = retry_after_s.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        Ok((
            status,
            retry_after_s,
            body.map_err(io::Error::other)?.to_bytes(),
        ))
    }

    /// Counts the bytes since the last call as one exchange of a kind.
    pub fn count(&mut self, totals: &SharedTrafficTotals, kind: &str) {
        let (read, written) = (self.bytes.read.get(), self.bytes.written.get());
        let (read_before, written_before) = self.counted;
        add_traffic(
            totals,
            self.controller,
            kind,
            1,
            read - read_before,
            written - written_before,
        );
        self.counted = (read, written);
    }
}
