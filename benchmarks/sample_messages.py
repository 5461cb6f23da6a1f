"""Hold one message of each type, of the size they have in large groups."""

import msgspec

from marjoramfall.messages import (
    ActiveGrant,
    AskGrant,
    ClaimKey,
    ClaimReply,
    ConfigEntries,
    ConfigRequest,
    GrantReply,
    GroupState,
    Heartbeat,
    Leaving,
    MemberUpdate,
    Message,
    ProbeReply,
    ProbeRequest,
    ReleaseKey,
    RequestFinished,
    RequestStarted,
    ShedReply,
    VersionWithdrawn,
    WithdrawRequest,
)
from marjoramfall.model import Team

INCARNATION = 'entry-0123.018bcfe56800.0a1b2c3d'
REQUEST_ID = f'{INCARNATION}-1e240'
ADDRESS = '10.20.30.40:7000'
GROUP = 'assistant-region1-dc2-cell17'
TEAM = 'team-12345'

UPDATE = MemberUpdate(
    incarnation=INCARNATION, vm='entry-0123', address=ADDRESS, state='alive', sequence=1
)
ASK = AskGrant(
    group_id=GROUP,
    request_id=REQUEST_ID,
    tier_rank=1,
    team_id=TEAM,
    team_weight=1,
    slack_ms=700.5,
    prefill_tokens=1500,
    decode_tokens=300,
    prefix_hashes=[(1 << 63) + index for index in range(8)],
    route='/v1/chat/completions',
)
ACTIVE = ActiveGrant(
    request_id=REQUEST_ID,
    server_id='engine-0123',
    version_id='assistant-v7',
    prefill_tokens=1500,
    decode_tokens=300,
)
STATUS = {
    'address': ADDRESS,
    'revision': 123_456,
    'head_age_ms': 250.5,
    'store_reachable': True,
}
CHANGE = msgspec.json.encode(Team(TEAM, 'gold', 'a' * 64)).decode()

MESSAGES: tuple[Message, ...] = (
    Heartbeat(**STATUS, probe=123_456),
    Heartbeat(**STATUS, probe=123_456, updates=[UPDATE for _ in range(6)]),
    ProbeReply(**STATUS, probe=123_456),
    ProbeRequest(target_incarnation=INCARNATION, target_address=ADDRESS, probe=123_456),
    Leaving(),
    ConfigEntries(first_revision=123_456, entries=[CHANGE]),
    ConfigRequest(after_revision=123_456),
    ASK,
    GrantReply(
        group_id=GROUP,
        request_id=REQUEST_ID,
        server_id='engine-0123',
        version_id='assistant-v7',
        valid_ms=500,
    ),
    ShedReply(
        group_id=GROUP, request_id=REQUEST_ID, reason='capacity', retry_after_ms=500
    ),
    WithdrawRequest(group_id=GROUP, request_id=REQUEST_ID),
    RequestStarted(group_id=GROUP, request_id=REQUEST_ID, server_id='engine-0123'),
    RequestFinished(
        group_id=GROUP,
        request_id=REQUEST_ID,
        server_id='engine-0123',
        version_id='assistant-v7',
        route='/v1/chat/completions',
        succeeded=True,
        dispatched=True,
        first_token_ms=250.5,
        total_ms=9000.5,
        prefill_tokens=1500,
        cached_tokens=800,
        decode_tokens=300,
    ),
    GroupState(
        group_id=GROUP,
        waiting=[ASK for _ in range(10)],
        active=[ACTIVE for _ in range(20)],
    ),
    ClaimKey(
        claim_id=REQUEST_ID,
        scope=f'{TEAM}/payments',
        key=REQUEST_ID,
        fingerprint='f' * 32,
    ),
    ReleaseKey(
        scope=f'{TEAM}/payments', key=REQUEST_ID, claim_id=REQUEST_ID, dispatched=True
    ),
    ClaimReply(claim_id=REQUEST_ID, outcome='granted'),
    VersionWithdrawn(
        service_id='assistant',
        version_id='assistant-v7',
        move_id='move-17',
        reason='failure on route * at load *',
    ),
)
