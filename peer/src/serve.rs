//! gRPC server for other daemons.

use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::transport::server::{Router, TcpIncoming};

/// Serves `services` until `stop` turns true and all calls have ended.
pub async fn serve(services: Router, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let stopped = async move {
        let _ = stop.wait_for(|stop| *stop).await;
    };
    if let Err(e) = services.serve_with_incoming_shutdown(incoming, stopped).await {
        log::error!("the server for peers failed: {e}");
    }
}
