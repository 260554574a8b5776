//! Tests of the faults that the stand-in backend server injects.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use ashroad::{
    standin::{
        Running,
        backend::{self, Config, EchoResponse, Faults, LoadResponse},
    },
    transport::JsonClient,
};
use tokio::time;

async fn start(cold_ms: u64, work_ms: u64) -> Running {
    let config = Config {
        listen: (Ipv4Addr::LOCALHOST, 0).into(),
        slots: 1,
        queue: 4,
        work_ms,
        cold_ms,
        checks_orders: true,
    };
    backend::start(config).await.expect("the stand-in starts")
}

#[tokio::test]
async fn a_cold_server_takes_longer() {
    let server = start(60_000, 0).await;
    let started = Instant::now();
    let response: EchoResponse = JsonClient::new(2_000)
        .get(server.address, "/w/s/key")
        .await
        .expect("a response");
    assert_eq!(response.path, "/w/s/key");
    assert!(started.elapsed() >= Duration::from_millis(20));
    server.stop().await;
}

#[tokio::test]
async fn the_load_endpoint_lags_by_the_configured_time() {
    let server = start(0, 300).await;
    let client = JsonClient::new(2_000);
    let load = || client.get::<LoadResponse>(server.address, backend::LOAD_PATH);
    let lag = Faults {
        load_lag_ms: 60_000,
        ..Faults::default()
    };
    let _: Faults = client
        .post(server.address, backend::FAULTS_PATH, &lag)
        .await
        .expect("faults are set");
    assert_eq!(load().await.expect("a response"), LoadResponse::default());
    let (address, caller) = (server.address, client.clone());
    let busy = tokio::spawn(async move { caller.get::<EchoResponse>(address, "/w/s/key").await });
    time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        load().await.expect("a response").running,
        0,
        "the reported load lags"
    );
    let _: Faults = client
        .post(server.address, backend::FAULTS_PATH, &Faults::default())
        .await
        .expect("faults are set");
    assert_eq!(load().await.expect("a response").running, 1);
    busy.await.expect("the task completes").expect("a response");
    server.stop().await;
}
