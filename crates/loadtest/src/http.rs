//! HTTP/1.1 over loopback: connections whose bytes are counted by kind of message.

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

/// Largest body that is read.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Messages of one kind and the bytes they took on the wire, heads included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    pub messages: u64,
    /// Bytes that controllers sent.
    pub from_controller: u64,
    /// Bytes that controllers received.
    pub to_controller: u64,
}

/// Traffic by controller and kind of message.
pub type TrafficTotals = BTreeMap<u32, BTreeMap<String, Traffic>>;

/// A tally that the connections of a process share.
pub type SharedTrafficTotals = Rc<RefCell<TrafficTotals>>;

/// Forgets what was counted before a time of the run.
pub async fn clear_totals_at(clock: Clock, at_ms: u64, tally: SharedTrafficTotals) {
    clock.sleep_until_ms(at_ms).await;
    tally.borrow_mut().clear();
}

#[derive(Debug, Default)]
struct PassedBytes {
    read: Cell<u64>,
    written: Cell<u64>,
}

/// A TCP stream that counts what passes.
struct Counted {
    stream: TcpStream,
    bytes: Rc<PassedBytes>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = (buffer.filled().len() - before) as u64;
        self.bytes.read.set(self.bytes.read.get() + read);
        done
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(context, data);
        if let Poll::Ready(Ok(written)) = done {
            self.bytes
                .written
                .set(self.bytes.written.get() + written as u64);
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A request to a stand-in.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub body: Bytes,
}

/// A stand-in's answer.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
    /// Kind of message under which the exchange is counted; empty: not counted.
    pub kind: &'static str,
}

impl HttpResponse {
    /// An answer with a JSON body.
    pub fn json<T: Serialize>(kind: &'static str, status: u16, body: &T) -> Self {
        let (status, body) = match serde_json::to_vec(body) {
            Ok(body) => (status, body),
            Err(_) => (500, Vec::new()),
        };
        HttpResponse { status, body, kind }
    }

    /// A refusal.
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

/// Serves connections until the process ends. `controller` is who connects, if that is known.
pub async fn serve<H, F>(
    listener: TcpListener,
    controller: u32,
    tally: SharedTrafficTotals,
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
        tokio::task::spawn_local(connection(
            stream,
            controller,
            tally.clone(),
            handler.clone(),
        ));
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    controller: u32,
    tally: SharedTrafficTotals,
    handler: H,
) where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let bytes = Rc::new(PassedBytes::default());
    let meter = Rc::new(Meter {
        controller,
        tally,
        bytes: bytes.clone(),
        last: Cell::default(),
    });
    let answering = meter.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let meter = answering.clone();
        async move { Ok::<_, Infallible>(respond(request, handler, &meter).await) }
    });
    let io = TokioIo::new(Counted { stream, bytes });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(io, service)
        .await;
    meter.settle();
}

/// Counts the exchanges of one connection that a controller opened.
struct Meter {
    controller: u32,
    tally: SharedTrafficTotals,
    bytes: Rc<PassedBytes>,
    /// Kind of the last exchange, and the bytes read and written before its answer was written.
    last: Cell<(&'static str, u64, u64)>,
}

impl Meter {
    /// Counts the answer to the last request, which has been written since.
    fn settle(&self) {
        let (kind, read, written) = self.last.get();
        let now = self.bytes.written.get();
        if !kind.is_empty() {
            self.add(kind, 0, 0, now - written);
        }
        self.last.set(("", read, now));
    }

    fn request(&self, kind: &'static str) {
        let (_, read, written) = self.last.get();
        let now = self.bytes.read.get();
        if !kind.is_empty() {
            self.add(kind, 1, now - read, 0);
        }
        self.last.set((kind, now, written));
    }

    fn add(&self, kind: &str, messages: u64, from: u64, to: u64) {
        record(&self.tally, self.controller, kind, messages, from, to);
    }
}

fn record(
    tally: &SharedTrafficTotals,
    controller: u32,
    kind: &str,
    messages: u64,
    from: u64,
    to: u64,
) {
    let mut tally = tally.borrow_mut();
    let kinds = tally.entry(controller).or_default();
    if !kinds.contains_key(kind) {
        kinds.insert(kind.to_owned(), Traffic::default());
    }
    if let Some(traffic) = kinds.get_mut(kind) {
        traffic.messages += messages;
        traffic.from_controller += from;
        traffic.to_controller += to;
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
    meter.settle();
    let (head, body) = request.into_parts();
    let answer = match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => {
            let call = HttpRequest {
                method: head.method,
                path: head.uri.path().to_owned(),
                query: head.uri.query().unwrap_or_default().to_owned(),
                body: body.to_bytes(),
            };
            handler(call).await
        }
        Err(_) => HttpResponse::error("", 400, "unreadable body"),
    };
    meter.request(answer.kind);
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    if let Ok(status) = hyper::StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// A connection to a controller.
pub struct Client {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    bytes: Rc<PassedBytes>,
    counted: (u64, u64),
    to: SocketAddr,
    /// Number of the controller.
    pub controller: u32,
}

impl Client {
    /// Connects from an address of one's own, if one is given.
    pub async fn connect(
        from: Option<IpAddr>,
        to: SocketAddr,
        controller: u32,
    ) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(from) = from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        let bytes = Rc::new(PassedBytes::default());
        let io = TokioIo::new(Counted {
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
            to,
            controller,
        })
    }

    /// Whether the connection can be used again.
    pub fn usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// One exchange: the status, the `Retry-After` in seconds, the body.
    pub async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> io::Result<(u16, Option<u64>, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.to.to_string())
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
        let retry = response.headers().get("retry-after");
        let retry = retry.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
        Ok((status, retry, body.map_err(io::Error::other)?.to_bytes()))
    }

    /// Counts what has passed since the last time.
    pub fn count(&mut self, tally: &SharedTrafficTotals, kind: &str) {
        let (read, written) = (self.bytes.read.get(), self.bytes.written.get());
        let (read_before, written_before) = self.counted;
        record(
            tally,
            self.controller,
            kind,
            1,
            read - read_before,
            written - written_before,
        );
        self.counted = (read, written);
    }
}
