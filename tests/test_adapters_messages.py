"""
Tests of signatures, encoded outcomes and calls between processes.

G1 to G9 are the guarantees in README.md.
"""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_adapters_connections import CLOSED_ADDRESS, response, serving, writes

from hawthornpier import adapters, messages, ports

OLD = adapters.SigningKey(key_id='old', secret=b'one')
NEW = adapters.SigningKey(key_id='new', secret=b'two')
SIGNED_MS = 1_000_000
PROCESS_FIELDS = (
    'process_id',
    'incarnation',
    'address',
    'region',
    'failure_domain',
)

OUTCOMES = (
    messages.Answer(request_id='r1', body='{"a": "ü"}'),
    messages.NotRun(request_id='r1', reason='store_out', retry_after_ms=5),
    messages.Unknown(request_id='r1', reason='reply_lost', ask_again='key'),
)


def verify(headers: dict[str, str], **changes: object) -> None:
    """
    Verify *headers* against the message of `signed` with *changes*.
    """
    message = {'method': 'POST', 'path': '/p', 'body': b'{}'}
    arguments: Any = {**message, 'now_ms': SIGNED_MS, **changes}
    adapters.verify_headers((OLD, NEW), headers, **arguments)


def signed(key: adapters.SigningKey) -> dict[str, str]:
    """
    Return the signature headers of a short message.
    """
    return adapters.sign_headers(
        key, method='POST', path='/p', timestamp_ms=SIGNED_MS, body=b'{}'
    )


class TestSigning:
    """
    Only messages signed with a shared key are accepted.
    """

    @pytest.mark.parametrize('key', [OLD, NEW])
    def test_two_keys_are_valid(self, key: adapters.SigningKey) -> None:
        """
        Both keys are accepted during a rotation; repr hides the secret.
        """
        assert 'secret' not in repr(key)
        verify({name.lower(): text for name, text in signed(key).items()})

    @pytest.mark.parametrize(
        'change',
        [
            {'method': 'GET'},
            {'path': '/q'},
            {'body': b'{ }'},
            {'now_ms': SIGNED_MS + 30_001},
            {'now_ms': SIGNED_MS - 30_001},
        ],
    )
    def test_a_changed_message_is_refused(
        self, change: dict[str, object]
    ) -> None:
        """
        A signature is valid for one message and a limited time.
        """
        with pytest.raises(adapters.SignatureError):
            verify(signed(OLD), **change)

    @pytest.mark.parametrize(
        'headers',
        [
            {},
            {**signed(OLD), 'X-Hawthornpier-Timestamp-Ms': 'soon'},
            {**signed(OLD), 'X-Hawthornpier-Timestamp-Ms': '1000001'},
            {**signed(OLD), 'X-Hawthornpier-Signature': 'ä'},
            signed(adapters.SigningKey(key_id='other', secret=b'one')),
            signed(adapters.SigningKey(key_id='old', secret=b'guess')),
        ],
    )
    def test_a_forged_header_is_refused(self, headers: dict[str, str]) -> None:
        """
        A message that is not signed with a valid key is rejected.
        """
        with pytest.raises(adapters.SignatureError):
            verify(headers)


class TestOutcomeBodies:
    """
    The JSON form of an outcome identifies its type.
    """

    @pytest.mark.parametrize('outcome', OUTCOMES)
    def test_an_outcome_round_trips(self, outcome: messages.Outcome) -> None:
        """
        G4, G5: encoding and decoding preserve the outcome.
        """
        assert (
            adapters.decode_outcome(adapters.encode_outcome(outcome)) == outcome
        )

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=60))
    def test_other_bodies_are_refused(self, body: bytes) -> None:
        """
        G4: a corrupted body raises an error and yields no outcome.
        """
        with pytest.raises(adapters.MessageError):
            adapters.decode_outcome(body)


def peer(address: str) -> adapters.HttpPeer:
    """
    Return a client that signs with the old key.
    """
    return adapters.HttpPeer(
        address, key=OLD, clock=adapters.SystemClock(), deadline_ms=60_000
    )


def forwarded(remaining_ms: int = 60_000) -> messages.ForwardedRequest:
    """
    Return a request that is forwarded to the owner of its shard.
    """
    return messages.ForwardedRequest(
        request_id='r1',
        shard='s1',
        member='m',
        service='stock',
        body='{}',
        remaining_ms=remaining_ms,
    )


class TestHttpPeer:
    """
    Calls between processes are signed; a failure raises one of three errors.
    """

    async def test_calls_are_signed_and_decoded(self) -> None:
        """
        Every call uses its own path and carries a valid signature.
        """
        spec = messages.JobSpec(
            member='m',
            workload='plan',
            task_count=1,
            demand=messages.Resources(),
            declared_work_ms=1,
        )
        view = messages.JobView(
            job_id='j', spec=spec, is_cancelled=False, tasks=()
        )
        beat = messages.Heartbeat(
            **dict.fromkeys(PROCESS_FIELDS, 'x'),
            table_version=1,
            table_age_ms=1,
            is_store_out=False,
            is_leaving=False,
            stamp=messages.ClockStamp(wall_ms=1, counter=0, process_id='p'),
        )
        replies = (
            adapters.encode_message(messages.HeartbeatReply(heartbeat=beat)),
            adapters.encode_outcome(OUTCOMES[2]),
            adapters.encode_message(view),
            adapters.encode_message(view),
            b'null',
        )
        async with serving(writes(*map(response, replies))) as (raw, address):
            client = peer(address)
            assert (await client.heartbeat(beat)).heartbeat == beat
            assert await client.forward(forwarded()) == OUTCOMES[2]
            assert await client.submit_job('j', spec) == view
            assert await client.show_job('j') == view
            assert await client.cancel_job('j') is None
        paths = []
        for head, body in zip(
            raw.request_heads, raw.request_bodies, strict=True
        ):
            first, *lines = head.strip().splitlines()
            paths.append(first.split()[1])
            adapters.verify_headers(
                (OLD,),
                dict(line.split(': ', 1) for line in lines),
                method='POST',
                path=paths[-1],
                body=body,
                now_ms=adapters.SystemClock().wall_ms(),
            )
        jobs = [
            f'/peer/v1/jobs/{name}' for name in ('submit', 'show', 'cancel')
        ]
        assert paths == ['/peer/v1/heartbeat', '/peer/v1/forward', *jobs]
        submission = adapters.JobSubmission(job_id='j', spec=spec)
        assert raw.request_bodies[2] == adapters.encode_message(submission)

    @pytest.mark.parametrize(
        ('reply', 'error'),
        [
            (response(b'', status=409), ports.PeerRefusedError),
            (response(b'', status=503), ports.PeerRefusedError),
            (response(b'', status=500), ports.PeerReplyLostError),
            (response(b'{"kind": "answer"}'), ports.PeerReplyLostError),
            (response(b''), ports.PeerReplyLostError),
        ],
    )
    async def test_failures_raise_distinct_errors(
        self, reply: bytes, error: type[Exception]
    ) -> None:
        """
        G5: only a rejected or unsent message may be retried elsewhere.
        """
        async with serving(writes(reply)) as (_, address):
            with pytest.raises(error):
                await peer(address).forward(forwarded())
            with pytest.raises(ports.PeerUnreachableError):
                await peer(address).forward(forwarded(remaining_ms=0))
        with pytest.raises(ports.PeerUnreachableError):
            await peer(CLOSED_ADDRESS).show_job('j')
