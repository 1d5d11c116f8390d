//! The HTTP threads: they serve callers and operators and accept links of other entries.

use std::io;

use actix_http::h1::Codec;
use actix_http::header;
use actix_http::{HttpMessage, HttpService, Request};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerHandle};
use actix_service::fn_service;
use tokio::io::AsyncWriteExt;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;

use super::context::Context;
use super::peer;
use crate::api::server;

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The response to an upgrade request that is not for a link.
const NOT_FOUND: &[u8] =
    b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Starts the HTTP threads; the server runs until it is stopped through its handle.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(super) fn start(context: &Context) -> io::Result<(Server, ServerHandle)> {
    let address = context.settings.node.listen;
    let shared = context.clone();
    let server = Server::build()
        .workers(context.settings.traffic.threads)
        .backlog(BACKLOG)
        .disable_signals()
        .shutdown_timeout(context.settings.traffic.drain_ms.div_ceil(1_000))
        .bind("laburnumd", address, move || {
            let calls = shared.clone();
            let links = shared.clone();
            HttpService::build()
                .upgrade(fn_service(move |(request, framed): (Request, Framed)| {
                    upgrade(links.clone(), request, framed)
                }))
                .finish(move |request: Request| {
                    let context = calls.clone();
                    async move {
                        Ok::<_, std::convert::Infallible>(server::handle(context, request).await)
                    }
                })
                .tcp()
        })?
        .run();
    let handle = server.handle();
    Ok((server, handle))
}

/// A connection with an upgrade request.
type Framed = actix_codec::Framed<TcpStream, Codec>;

/// Completes the WebSocket handshake; a connection that fails meanwhile is dropped.
async fn upgrade(
    context: Context,
    request: Request,
    framed: Framed,
) -> Result<(), actix_http::Error> {
    let stream = framed.into_parts().io;
    let _ = accept(&context, &request, stream).await;
    Ok(())
}

/// Responds to the handshake and passes the connection to the peer thread.
async fn accept(context: &Context, request: &Request, mut stream: TcpStream) -> io::Result<()> {
    let key = request.headers().get(header::SEC_WEBSOCKET_KEY);
    let Some(key) = key.filter(|_| request.path() == peer::PATH) else {
        return stream.write_all(NOT_FOUND).await;
    };
    let accept = derive_accept_key(key.as_bytes());
    let response = format!(
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
         sec-websocket-accept: {accept}\r\n\r\n"
    );
    stream.write_all(response.as_bytes()).await?;
    let stream = stream.into_std()?;
    context.peer(peer::Command::Accepted(stream));
    Ok(())
}
