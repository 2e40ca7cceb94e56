//! A published client library of the `OpenAI` protocol against a node.

use async_openai::{
    Client,
    config::OpenAIConfig,
    error::OpenAIError,
    types::chat::{CreateChatCompletionRequest, FinishReason},
};
use futures_util::StreamExt;

use super::{
    single_node::{SingleNode, chat_body},
    test_fleet::{GUILD_KEY, SCHOOL_KEY},
};

fn client(node: &SingleNode, key: &str) -> Client<OpenAIConfig> {
    let config = OpenAIConfig::new()
        .with_api_base(format!("http://{}/v1", node.callers))
        .with_api_key(key);
    Client::with_config(config)
}

fn request(max_tokens: u64, stream: bool) -> CreateChatCompletionRequest {
    serde_json::from_str(&chat_body(max_tokens, stream)).expect("a request of the protocol")
}

#[test]
fn models_and_responses_are_understood() {
    let node = SingleNode::start("");
    let client = client(&node, GUILD_KEY);
    node.fleet.runtime.block_on(async {
        let models = client.models().list().await.expect("a list");
        assert_eq!(models.data[0].id, "drafter");

        let complete = client.chat().create(request(5, false)).await;
        let complete = complete.expect("a response");
        assert_eq!(complete.usage.expect("the usage").completion_tokens, 5);
        let complete_text = complete.choices[0].message.content.clone().expect("a text");

        let stream = client.chat().create_stream(request(5, true)).await;
        let mut stream = stream.expect("a stream");
        let (mut text, mut usage, mut finish) = (String::new(), None, None);
        while let Some(chunk) = stream.next().await {
            let chunk = chunk.expect("a chunk of the protocol");
            usage = chunk.usage.or(usage);
            for choice in chunk.choices {
                text.push_str(&choice.delta.content.unwrap_or_default());
                finish = choice.finish_reason.or(finish);
            }
        }
        assert_eq!(text, complete_text);
        assert_eq!(usage.expect("the usage").completion_tokens, 5);
        assert!(matches!(
            finish,
            Some(FinishReason::Stop | FinishReason::Length)
        ));
    });
    node.assert_healthy();
}

#[test]
fn refusals_are_api_errors() {
    let node = SingleNode::start("");
    let cases = [
        ("tt_guild_wrong-secret", 401, "unauthenticated"),
        (SCHOOL_KEY, 403, "not_allowed"),
    ];
    node.fleet.runtime.block_on(async {
        for (key, status, code) in cases {
            let client = client(&node, key);
            let refused = client.chat().create(request(5, false)).await;
            check(refused.err(), status, code);
            let refused = client.chat().create_stream(request(5, true)).await;
            check(refused.err(), status, code);
        }
        let mut unknown = request(5, false);
        unknown.model = "nobody".to_owned();
        let refused = client(&node, GUILD_KEY).chat().create(unknown).await;
        check(refused.err(), 404, "not_found");
    });
    node.assert_healthy();
}

fn check(refused: Option<OpenAIError>, status: u16, code: &str) {
    let Some(OpenAIError::ApiError(error)) = refused else {
        panic!("expected an error of the interface, not {refused:?}");
    };
    assert_eq!(error.status_code.as_u16(), status, "{error:?}");
    assert_eq!(error.api_error.code.as_deref(), Some(code), "{error:?}");
}
