//! Calls between instances for requests that run at most once: claims and
//! forwarded requests.

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use dotterelsill_claims::{
    bucket,
    owner,
    AttemptId,
    Claim,
    ClaimReply,
    Incarnation,
    Key,
    NotRunReason,
    Outcome as ClaimOutcome,
    UnknownReason, //
};
use dotterelsill_proto::peer::{
    claim_response::Reply,
    ClaimRequest,
    ClaimResponse,
    ForwardRequest,
    ForwardResponse,
    Header,
    Member,
    Outcome as OutcomeName, //
};
use dotterelsill_routing::Deadline;
use dotterelsill_rpc::timeout;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    StatusCode, //
};
use hyper::Response;

use crate::{
    access,
    at_most_once::{
        self,
        Answer, //
    },
    claim_store::{
        incarnation,
        incarnation_bytes, //
    },
    incoming::Incoming,
    outcome::{
        Outcome,
        Reason,
        Refusal, //
    },
    shared::Shared, //
};

/// Timeout of a claim. It is long because a new owner reads the bucket's log
/// before it answers.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a claimant answers that the request is still in flight.
pub(crate) const MAX_ANSWER_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a call to a claimant.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that a peer forwarded.
pub(crate) struct ForwardedRequest {
    pub(crate) claimant: Incarnation,
    pub(crate) attempt_id: AttemptId,
    pub(crate) key: Key,
    pub(crate) incoming: Incoming,
}

/// Requests a claim from the owner of the key's bucket; `None` if the owner does
/// not answer.
pub(crate) async fn request_claim(shared: &Shared, claim: Claim) -> Option<ClaimReply> {
    let members = shared.peers.alive_members();
    let names = members.iter().map(|member| member.instance.as_str());
    let owner = owner(bucket(claim.key), names)?;
    if owner == shared.settings.instance {
        return timeout(CLAIM_TIMEOUT, shared.buckets.claim(claim))
            .await
            .ok();
    }
    let member = members.iter().find(|member| member.instance == owner)?;
    let mut client = shared.peers.client(member, &shared.tasks)?;
    let request = ClaimRequest {
        key: claim.key.0.to_vec(),
        claimant: incarnation_bytes(claim.claimant),
        process: member.process.clone(),
    };
    let answer = timeout(CLAIM_TIMEOUT, client.claim(request)).await.ok()?;
    match answer.ok()?.into_inner().reply? {
        Reply::Granted(_) => Some(ClaimReply::Granted),
        Reply::ClaimedBy(claimant) => Some(ClaimReply::ClaimedBy(incarnation(&claimant)?)),
        Reply::Refused(_) => Some(ClaimReply::Refused),
    }
}

/// Handles a peer's request for a claim, with this instance as the owner of the
/// bucket; `None` if the request is malformed.
pub(crate) async fn handle_claim(shared: &Shared, request: &ClaimRequest) -> Option<ClaimResponse> {
    let claim = Claim {
        key: Key(request.key.as_slice().try_into().ok()?),
        claimant: incarnation(&request.claimant)?,
    };
    let reply = match shared.buckets.claim(claim).await {
        ClaimReply::Granted => Reply::Granted(true),
        ClaimReply::ClaimedBy(claimant) => Reply::ClaimedBy(incarnation_bytes(claimant)),
        ClaimReply::Refused => Reply::Refused(true),
    };
    Some(ClaimResponse { reply: Some(reply) })
}

/// Forwards a request to the process that holds its claim. The outer value is
/// `None` if that process does not answer, the inner one while the request is in
/// flight there.
pub(crate) async fn forward_to_claimant(
    shared: &Shared,
    claimant: Incarnation,
    attempt_id: AttemptId,
    incoming: &Incoming,
) -> Option<Option<ClaimOutcome<Answer>>> {
    let member = member_of(shared, claimant)?;
    let mut client = shared.peers.client(&member, &shared.tasks)?;
    let remaining = incoming.deadline.remaining(Instant::now())?;
    let request = ForwardRequest {
        claimant: incarnation_bytes(claimant),
        origin: incarnation_bytes(attempt_id.incarnation),
        number: attempt_id.number,
        method: incoming.method.to_string(),
        path: incoming.uri.to_string(),
        headers: encode_headers(&incoming.headers),
        body: incoming.body.to_vec(),
        remaining_ms: remaining.as_millis() as u64,
    };
    let answer = timeout(FORWARD_TIMEOUT, client.forward(request))
        .await
        .ok()?;
    decode_outcome(answer.ok()?.into_inner())
}

/// Returns the newest registration of a process.
fn member_of(shared: &Shared, claimant: Incarnation) -> Option<Member> {
    let members = shared.peers.members();
    let process = incarnation_bytes(claimant);
    let member = members
        .iter()
        .rev()
        .find(|member| member.process == process);
    member.cloned()
}

/// Decodes a request that a peer forwarded, authorizes it by the caller's key and
/// reads its idempotency key.
pub(crate) fn decode_request(
    shared: &Shared,
    request: ForwardRequest,
) -> Result<ForwardedRequest, Refusal> {
    let malformed = || Refusal::NotRun(Reason::new(StatusCode::BAD_REQUEST, "malformed request"));
    let headers = decode_headers(&request.headers).ok_or_else(malformed)?;
    let uri: http::Uri = request.path.parse().map_err(|_| malformed())?;
    let snapshot = shared.snapshot.load_full();
    let plan = access::queue_plan(&snapshot, uri.path()).map_err(Refusal::NotRun)?;
    let team = access::authorize(&snapshot, plan, &headers).map_err(Refusal::NotRun)?;
    let key = at_most_once::identify(&plan.queue.name, team.name(), &headers)?;
    let remaining = Duration::from_millis(request.remaining_ms);
    Ok(ForwardedRequest {
        claimant: incarnation(&request.claimant).ok_or_else(malformed)?,
        attempt_id: AttemptId {
            incarnation: incarnation(&request.origin).ok_or_else(malformed)?,
            number: request.number,
        },
        key,
        incoming: Incoming {
            method: request.method.parse().map_err(|_| malformed())?,
            uri,
            headers,
            body: Bytes::from(request.body),
            deadline: Deadline::new(Instant::now(), remaining, None),
        },
    })
}

/// Encodes the outcome of a forwarded request; `None` means in flight.
pub(crate) fn encode_outcome(outcome: Option<Outcome>) -> ForwardResponse {
    let Some(outcome) = outcome else {
        return ForwardResponse {
            in_flight: true,
            ..ForwardResponse::default()
        };
    };
    let name = match &outcome {
        Outcome::Answered(_) => OutcomeName::Answered,
        Outcome::NotRun(_) => OutcomeName::NotRun,
        Outcome::Failed(_) => OutcomeName::Failed,
        Outcome::Unknown(_) => OutcomeName::Unknown,
    };
    let (status, headers, body) = match outcome {
        Outcome::Answered(answer) | Outcome::Failed(answer) => {
            let (head, body) = answer.into_parts();
            (head.status, encode_headers(&head.headers), body.to_vec())
        }
        Outcome::NotRun(reason) | Outcome::Unknown(reason) => {
            (reason.status, Vec::new(), reason.text.into_bytes())
        }
    };
    ForwardResponse {
        in_flight: false,
        outcome: name.into(),
        status: status.as_u16().into(),
        headers,
        body,
    }
}

/// Decodes a claimant's response. The outer value is `None` if it is malformed,
/// the inner one while the request is in flight.
fn decode_outcome(response: ForwardResponse) -> Option<Option<ClaimOutcome<Answer>>> {
    if response.in_flight {
        return Some(None);
    }
    let outcome = match response.outcome() {
        OutcomeName::Answered | OutcomeName::Failed => {
            let mut answer = Response::new(Bytes::from(response.body));
            *answer.status_mut() = StatusCode::from_u16(response.status as u16).ok()?;
            *answer.headers_mut() = decode_headers(&response.headers)?;
            ClaimOutcome::Answered(Answer::new(answer))
        }
        OutcomeName::NotRun => ClaimOutcome::NotRun(NotRunReason::RefusedByClaimant),
        OutcomeName::Unknown => ClaimOutcome::Unknown(UnknownReason::NoAnswer),
        OutcomeName::Unspecified => return None,
    };
    Some(Some(outcome))
}

fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

fn decode_headers(headers: &[Header]) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name: HeaderName = header.name.parse().ok()?;
        map.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    Some(map)
}
