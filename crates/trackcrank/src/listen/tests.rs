use super::*;

#[tokio::test]
async fn bind_retries_only_while_the_address_is_in_use() {
    let predecessor = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = predecessor.local_addr().expect("bound");
    let pending_bind = tokio::spawn(bind(address));
    tokio::time::sleep(INITIAL_RETRY_INTERVAL * 4).await;
    assert!(
        !pending_bind.is_finished(),
        "bind returned while the address was in use"
    );
    drop(predecessor);
    let listener = pending_bind
        .await
        .expect("no panic")
        .expect("bound once the address is free");
    assert_eq!(listener.local_addr().expect("bound"), address);
    // An address that is reserved for documentation belongs to no interface of this machine.
    let foreign_address = "192.0.2.1:0".parse().expect("a valid address");
    assert!(bind(foreign_address).await.is_err());
}
