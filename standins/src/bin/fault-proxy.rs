//! The fault-injecting proxy; see the module `proxy` for its commands.

use loftcove_standins::proxy;
use tokio::io::{AsyncBufReadExt as _, BufReader};

#[tokio::main]
async fn main() {
    let proxy = proxy::Proxy::default();
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        match proxy.execute(&line).await {
            Ok(answer) => println!("{answer}"),
            Err(reason) => println!("refused: {reason}"),
        }
    }
}
