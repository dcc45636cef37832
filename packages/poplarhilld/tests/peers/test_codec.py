"""The codec of frames between entry hosts."""

import math
import subprocess
import sys
import timeit
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill.types import Resources
from poplarhilld import peers
from poplarhilld.evacuation import Evacuation
from poplarhilld.locality import RackLoad
from poplarhilld.peers.codec import Envelope, FrameError, decode, encode

MEMBER = peers.MemberState("h1", "127.0.0.1", 7001, "dc1", 5, 9, False)

HEARTBEAT = peers.Beat(
    *("10.0.0.1", 7001, "dc1", 5, 0.5, True, True, ("h2", "h3")),
    claims=(peers.Claim("dc1/0", 2**62, 30), peers.Claim("dc1/1", 7, 0)),
    known=("10.0.0.2:7001",),
    version=3,
    tenure=9,
    load=peers.Load(16.0, 0.5, 0.25, racks=(RackLoad("r1", 0.25),)),
)
STEP = peers.StepSpec(8, Resources(6.5, 64, 1), 0.06, (0,), "gpu", 2, "r1")
LOST = peers.LostWorker("w1", 1_700_000_000_123)
OFFER = peers.OfferedJob(
    *(4, peers.JobOffer("j1", "r", "s", "{}", (STEP, STEP), 1, 2, 1.5, 0.5, 0.25, 1.0)),
    *(2**53, True, 1.25),
    leader_clock_s=2.5,
)


@pytest.mark.parametrize(
    "message",
    [
        peers.Heartbeat((MEMBER,), 3, 4, 5, 6, ("w1", "w2")),
        peers.SlotRequest(1, "booking", 20),
        peers.SlotGrant(1, 0.5, (peers.WorkerSlots("w1", 3),), 2),
        peers.SlotReturn(1, (peers.WorkerSlots("w1", 3),)),
        peers.ConfigurationRequest(7),
        peers.ConfigurationOffer(8, 1.5, "{}", 12.5),
        peers.ConfigurationNews(8, 12, ("{}", "")),
        peers.Goodbye(5),
        HEARTBEAT,
        OFFER,
        OFFER._replace(leader_clock_s=None),
        peers.JobWithdrawn("j1", True),
        peers.JobProgress("j1", (0, 3)),
        peers.JobProgress("", losses=(peers.TaskLosses("j1.0.0.3", (LOST,)),)),
        peers.WorkersReport((peers.ReducedWorker("w1", True, Resources(4.0, 64, 0)),)),
        peers.JobEnded("j1", "timeout", "too late", 1.5, True),
        peers.JobEnded("j1", "no_workers", "", 1.5, True, True, (0, 3)),
        HEARTBEAT._replace(evacuations=(Evacuation("dc1", 5),), evacuations_end=7),
        peers.JobEnded("j1", "overloaded", "", 1.5, True, True, (), 0.5, 0.2),
        HEARTBEAT._replace(load=peers.Load(16.0, 0.5, 0.25, 1.0, late=True)),
        HEARTBEAT._replace(
            leaders=(
                peers.LeaderDigest(
                    *("h2", "10.0.0.2", 7001, "dc2", ("dc2",), 9, HEARTBEAT.load),
                    led_shards=("dc2/0", "dc2/1"),
                ),
            )
        ),
    ],
    ids=lambda message: type(message).__name__,
)
def test_a_message_survives_encoding_and_decoding(message) -> None:
    envelope = Envelope("h1", message)
    assert decode(encode(envelope)) == envelope


# Once, encoding took 3 to 6 times as long as decoding, and leaders, which send a frame
# for almost every task, were late on loaded days.
@pytest.mark.parametrize("message", [HEARTBEAT, OFFER, peers.JobProgress("j1", (3,))])
def test_encoding_is_no_dearer_than_twice_the_decoding(message) -> None:
    envelope = Envelope("h1", message)
    frame = encode(envelope)
    encoding = min(timeit.repeat(lambda: encode(envelope), number=20, repeat=50))
    decoding = min(timeit.repeat(lambda: decode(frame), number=20, repeat=50))
    assert encoding <= 2 * decoding


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_frame_or_a_frame_error(data: bytes) -> None:
    try:
        decode(data)
    except FrameError:
        return


@settings(derandomize=True, deadline=None)
@given(st.data())
def test_a_damaged_frame_is_a_frame_or_a_frame_error(data) -> None:
    frame = bytearray(encode(Envelope("h1", peers.Heartbeat((MEMBER,) * 3, 1))))
    for _ in range(data.draw(st.integers(1, 4))):
        place = data.draw(st.integers(0, len(frame) - 1))
        frame[place] = data.draw(st.integers(0, 255))
    try:
        decode(bytes(frame[: data.draw(st.integers(0, len(frame)))]))
    except FrameError:
        return


DIGEST = peers.LeaderDigest("h2", "10.0.0.2", 7001, "dc2", ("dc2",), 9, HEARTBEAT.load)
ROOM = Resources(4.0, 64, 0)
OUT_OF_RANGE = [
    *(HEARTBEAT._replace(weight=value) for value in (math.nan, math.inf, -1.0, 1e300)),
    *(HEARTBEAT._replace(load=peers.Load(math.nan)), HEARTBEAT._replace(port=0)),
    *(HEARTBEAT._replace(host=host) for host in ("", "h2", "10.0.0.٢", "1" * 5000)),
    *(
        HEARTBEAT._replace(claims=(peers.Claim(shard, 7),))
        for shard in ("dc1", "dc1/", "dc1/x", "dc1/-1", "dc1/" + "9" * 5000)
    ),
    HEARTBEAT._replace(leaders=(DIGEST._replace(port=0),)),
    HEARTBEAT._replace(leaders=(DIGEST._replace(led_shards=("dc2/²",)),)),
    peers.Heartbeat((MEMBER, MEMBER._replace(port=0)), 1),
    *(
        peers.WorkersReport((peers.ReducedWorker("w1", True, room),))
        for room in (
            *(
                ROOM._replace(cores=cores)
                for cores in (math.nan, math.inf, -1.0, 1e300)
            ),
            ROOM._replace(memory_mb=2**32 - 1),
            ROOM._replace(accelerators=2**32 - 1),
        )
    ),
    *(
        OFFER._replace(offer=OFFER.offer._replace(**change))
        for change in (
            *({"left_s": value} for value in (math.nan, math.inf)),
            *({"steps": ()}, {"steps": (STEP._replace(count=161),)}),
            {"done": (16,)},
            {"steps": (STEP._replace(after=()), STEP._replace(after=(7,)))},
            {"steps": (STEP._replace(after=(), needs=Resources(-6.5, 64, 1)),)},
        )
    ),
    peers.JobEnded("j1", "no such kind", "", 1.5, True),
    peers.JobEnded("j1", "timeout", "", math.nan, True),
]


# Guards against hosts that end when a frame holds a weight without a capacity, a shard
# without a number, or a step that depends on one that the job does not have.
@pytest.mark.parametrize(
    "message", OUT_OF_RANGE, ids=lambda message: type(message).__name__
)
def test_a_value_out_of_range_is_a_frame_error(message) -> None:
    frame = encode(Envelope("h1", message))
    with pytest.raises(FrameError):
        decode(frame)


# A heartbeat whose packed data ends early. pycapnp throws a second exception while
# the first one unwinds, so the C++ runtime aborts the process.
TRUNCATED_FRAME = (
    "012b500102000011051a5104030303683101010001110997118106112807510c030303591b01"
    "05010911391a113952113d2203591b0105010911311a11315211352203591b0105010911291a"
    "112952112d22036831ff3132372e302e302e00013107646331036831ff31bc372e302e302e00"
    "013107646331036831ff3132372e302e302e00013107646331"
)
DECODE = """
import sys
from poplarhilld.peers.codec import FrameError, decode
try:
    decode(bytes.fromhex(sys.argv[1]))
except FrameError:
    pass
"""


def test_a_truncated_frame_does_not_abort_the_process() -> None:
    command = [sys.executable, "-c", DECODE, TRUNCATED_FRAME]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr


DECODE_OLD = """
import sys
import capnp
capnp.remove_import_hook()
schema = capnp.load(sys.argv[1])
frame = schema.Frame.from_bytes_packed(bytes.fromhex(sys.argv[2]))
print(frame.sender, getattr(frame, str(frame.which())).to_dict())
"""
NEW_FIELDS = (
    *("evacuations @", "evacuationsEnd @", "elsewhere @", "done @6"),
    # Of the overload of hosts and of the transfer of jobs, which came after it.
    *("late @4", "waitS @7", "runS @8", "number @9"),
    # Of placement near the data, and of the workers of former leaders.
    *("racks @5", "ledShards @7", "workersDigests @", "formerWorkers @"),
    *("sentAtS @19", "oldestOfferAtS @"),
    *("doneTasks @", "leaderClockS @"),
)


# Builds from before the evacuation must read a frame with fields that they don't know.
@pytest.mark.parametrize(
    "message",
    [
        HEARTBEAT._replace(evacuations=(Evacuation("dc1", 5),), evacuations_end=7),
        peers.JobEnded("j1", "no_workers", "", 1.5, True, True, (0, 3)),
        peers.JobEnded("j1", "overloaded", "", 1.5, True, True, (), 0.5, 0.2),
        HEARTBEAT._replace(load=peers.Load(16.0, 0.5, 0.25, 1.0, late=True)),
    ],
    ids=lambda message: type(message).__name__,
)
def test_an_older_peer_ignores_the_fields_of_the_evacuation(message, tmp_path) -> None:
    schema = Path(peers.__file__).with_name("frames.capnp").read_text()
    lines = [line for line in schema.splitlines() if line.strip()[:1] != "#"]
    old = tmp_path / "frames.capnp"
    kept = (line for line in lines if not line.strip().startswith(NEW_FIELDS))
    old.write_text("\n".join(kept))
    assert "evacuation" not in old.read_text().split("struct Evacuation")[0]
    frame = encode(Envelope("h1", message)).hex()
    command = [sys.executable, "-c", DECODE_OLD, str(old), frame]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith("h1 {")
    assert "evacuat" not in done.stdout and "elsewhere" not in done.stdout
    assert "'late'" not in done.stdout and "waitS" not in done.stdout
    assert "racks" not in done.stdout


# Builds from before placement near the data must read the other fields beside its own:
# the two took the same number in `Load` before they were brought together.
def test_an_older_peer_ignores_the_fields_of_placement_near_the_data(tmp_path) -> None:
    schema = Path(peers.__file__).with_name("frames.capnp").read_text()
    new = ("racks @5", "ledShards @7", "workersDigests @8")
    lines = [line for line in schema.splitlines() if line.strip()[:1] != "#"]
    old = tmp_path / "frames.capnp"
    old.write_text("\n".join(x for x in lines if not x.strip().startswith(new)))
    load = peers.Load(16.0, 0.5, 0.25, 1.0, late=True, racks=(RackLoad("r1", 0.25),))
    digest = peers.LeaderDigest(
        *("h2", "10.0.0.2", 7001, "dc2", ("dc2",), 9, load, ("dc2/0", "dc2/1"))
    )
    message = HEARTBEAT._replace(load=load, leaders=(digest,))
    frame = encode(Envelope("h1", message)).hex()
    command = [sys.executable, "-c", DECODE_OLD, str(old), frame]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    assert done.stdout.count("'late': True") == 2
    assert "racks" not in done.stdout and "dc2/0" not in done.stdout
