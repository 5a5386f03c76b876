//! The client of the Object API with keys that a URI cannot hold as they are.

use std::time::Duration;

use stoatjunction_net::platform::{ObjectApiClient, Precondition};
use stoatjunction_standin::object_api::{ObjectApiServer, ObjectApiSettings};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against objects that cannot be written or read, or are others.
#[parameterized(
    plain = { "claim/00ff" },
    space = { "claim/a b" },
    percent = { "claim/a%20" },
    ends_a_value = { "claim/a&b=c" },
    plus = { "claim/a+" },
    ends_a_path = { "claim/a?b#c" },
    beyond_ascii = { "claim/é" },
)]
#[test_macro(tokio::test)]
async fn a_key_names_the_same_object_in_each_call(key: &str) {
    let server = ObjectApiServer::start("127.0.0.1:0", ObjectApiSettings::default()).await;
    let server = server.unwrap();
    let client = ObjectApiClient::new(&server.addr.to_string(), TIMEOUT);

    let version = client.put(key, "value", Precondition::Absent).await;

    let version = version.expect("the object is written");
    assert_eq!(server.api.value(key).as_deref(), Some("value"));
    assert_eq!(client.get(key).await.expect("it is read").value, "value");
    let watched = client.watch(key, 0, Duration::from_millis(10)).await;
    assert_eq!(watched.expect("it is watched").key, key);
    assert_eq!(client.list(key).await.expect("it is listed").len(), 1);
    client.delete(key, version).await.expect("it is deleted");
    assert_eq!(server.api.value(key), None);
}
