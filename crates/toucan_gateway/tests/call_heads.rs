//! Guards against a caller that makes a target look loaded to all gateways by parts which are larger than
//! its prompt.

use test_case::test_case;
use toucan_gateway::wire_format::{CallHead, PartId, PromptPart, TokenCounts};

#[test_case(&[800, 410, 250], 1_460 => vec![800, 410, 250]; "parts of the whole prompt")]
#[test_case(&[u64::MAX, 410], 1_460 => vec![1_460, 0]; "a part larger than the prompt")]
#[test_case(&[1_000, 1_000, 5], 1_460 => vec![1_000, 460, 0]; "parts that are larger together")]
#[test_case(&[u64::MAX], u64::MAX => vec![1 << 24]; "an absurd prompt")]
#[test_case(&[800], 0 => vec![0]; "an empty prompt")]
fn parts_have_no_more_tokens_than_the_prompt(parts: &[u64], input: u64) -> Vec<u64> {
    let parts = parts.iter().zip(1..);
    let mut head = CallHead {
        tokens: Some(TokenCounts {
            input,
            max_output: 80,
        }),
        prompt_parts: parts
            .map(|(tokens, id)| PromptPart {
                id: PartId(id),
                tokens: *tokens,
            })
            .collect(),
        ..CallHead::default()
    };
    head.limit_part_tokens();
    head.prompt_parts.iter().map(|part| part.tokens).collect()
}
