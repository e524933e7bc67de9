//! Block hashes match those of the simulated engine.

use kumquatdrum_daemon::prefix::hash_blocks;
use kumquatdrum_testing::prompt;

#[test]
fn hashes_match_the_engine() {
    let text = "a long treatment history, \"quoted\" and with ümlauts; ".repeat(100);
    let expected: Vec<u64> = prompt::blocks(&text)
        .iter()
        .map(|hash| u64::from_str_radix(hash, 16).expect("hexadecimal digits"))
        .collect();
    let json = serde_json::to_vec(&text).expect("a JSON text");
    assert_eq!(hash_blocks(&json), expected);
    let messages = serde_json::json!([{"role": "user", "content": text}]);
    assert_eq!(hash_blocks(messages.to_string().as_bytes()), expected);
}
