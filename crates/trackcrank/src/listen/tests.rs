use super::*;

#[tokio::test]
async fn bind_retries_only_while_the_address_is_in_use() {
    let before = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = before.local_addr().expect("bound");
    let waiting = tokio::spawn(bind(address));
    tokio::time::sleep(RETRY_INTERVAL * 4).await;
    assert!(!waiting.is_finished(), "it is in use");
    drop(before);
    let listener = waiting
        .await
        .expect("no panic")
        .expect("bound once it is free");
    assert_eq!(listener.local_addr().expect("bound"), address);
    let elsewhere = "192.0.2.1:0".parse().expect("an address for documentation");
    assert!(bind(elsewhere).await.is_err());
}
