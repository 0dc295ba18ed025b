use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use mh_budget::{Answer, Msg, Outgoing};
use mh_peer::Part;
use mh_types::{Event, OrgName, VmName, emit};
use serde::{Deserialize, Serialize};

use crate::Node;
use crate::allowances::HOLDER_TICK_INTERVAL;

/// Kind of the message part that contains lending messages.
const LENDING_PART: u16 = 4;
/// Kind of the message part that contains a [`TokenRequest`].
const TOKEN_REQUEST_PART: u16 = 5;
/// Kind of the message part that answers a [`TokenRequest`].
const TOKEN_RESPONSE_PART: u16 = 6;

/// Request to a VM to spend tokens of its share of an organisation's allowance.
#[derive(Debug, Serialize, Deserialize)]
struct TokenRequest {
    org: OrgName,
    tokens: u32,
}

/// Ticks the budget holders and sends their messages until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let out = node.allowances.tick();
        node.send_lending(out);
        tokio::time::sleep(HOLDER_TICK_INTERVAL).await;
    }
}

impl Node {
    /// Sends lending messages, batched by receiver.
    pub(crate) fn send_lending(self: &Arc<Self>, out: Vec<Outgoing>) {
        let mut by_vm: HashMap<VmName, Vec<Msg>> = HashMap::new();
        for outgoing in out {
            by_vm.entry(outgoing.to).or_default().push(outgoing.msg);
        }
        for (vm, msgs) in by_vm {
            let node = Arc::clone(self);
            tokio::spawn(async move {
                let Some(answer) = node.exchange_parts(&vm, vec![lending_part(&msgs)]).await else {
                    return;
                };
                let replies = node.on_lending_parts(&vm, &answer);
                node.send_lending(replies);
            });
        }
    }

    /// Handles the lending messages in `parts` and returns the messages to send.
    pub(crate) fn on_lending_parts(&self, from: &VmName, parts: &[Part]) -> Vec<Outgoing> {
        let Some(part) = parts.iter().find(|part| part.kind == LENDING_PART) else {
            return Vec::new();
        };
        match postcard::from_bytes::<Vec<Msg>>(&part.body) {
            Ok(msgs) => self.allowances.on_msgs(from, &msgs),
            Err(e) => {
                emit!(Event::PeerMessageInvalid, vm = from, error = e);
                Vec::new()
            }
        }
    }

    /// Returns the answers to a peer's lending messages and token requests.
    ///
    /// Messages to other VMs that result from them are sent separately.
    pub(crate) fn respond_to_lending(self: &Arc<Self>, from: &VmName, parts: &[Part]) -> Vec<Part> {
        let (to_peer, to_others): (Vec<_>, Vec<_>) = self
            .on_lending_parts(from, parts)
            .into_iter()
            .partition(|outgoing| outgoing.to == *from);
        if !to_others.is_empty() {
            self.send_lending(to_others);
        }
        let msgs: Vec<Msg> = to_peer.into_iter().map(|outgoing| outgoing.msg).collect();
        let lending = (!msgs.is_empty()).then(|| lending_part(&msgs));
        let request = parts.iter().find(|part| part.kind == TOKEN_REQUEST_PART);
        let token_response = request
            .and_then(|part| postcard::from_bytes::<TokenRequest>(&part.body).ok())
            .and_then(|request| {
                let answer = self.allowances.decide_for_peer(&request.org, request.tokens)?;
                Some(Part {
                    kind: TOKEN_RESPONSE_PART,
                    body: encode(&answer),
                })
            });
        lending.into_iter().chain(token_response).collect()
    }

    /// Asks `vm` to spend one token of its share of an organisation's allowance.
    pub(crate) async fn request_token(&self, vm: &VmName, org: &OrgName) -> Option<Answer> {
        let request = TokenRequest {
            org: org.clone(),
            tokens: 1,
        };
        let parts = self
            .exchange_parts(
                vm,
                vec![Part {
                    kind: TOKEN_REQUEST_PART,
                    body: encode(&request),
                }],
            )
            .await?;
        let part = parts.iter().find(|part| part.kind == TOKEN_RESPONSE_PART)?;
        postcard::from_bytes(&part.body).ok()
    }

    async fn exchange_parts(&self, vm: &VmName, parts: Vec<Part>) -> Option<Vec<Part>> {
        let addr = self.peers.lock().addr_of(vm)?;
        let answer = self.net.get()?.exchange(addr, self.hello(), parts).await.ok()?;
        (answer.from.vm == *vm).then_some(answer.parts)
    }
}

fn lending_part(msgs: &[Msg]) -> Part {
    Part {
        kind: LENDING_PART,
        body: encode(&msgs),
    }
}

fn encode(value: &impl Serialize) -> Bytes {
    postcard::to_stdvec(value).unwrap_or_default().into()
}
