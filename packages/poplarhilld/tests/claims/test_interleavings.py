"""At most one host sends a key within its window, under any order of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from poplarhill import ErrorKind
from poplarhill.exceptions import Failure
from poplarhilld.jobs import Completed

WINDOW_S = 100.0
LEASE_S = WINDOW_S / 10
NAMES = ("h1", "h2")
NOT_RUN = Failure(ErrorKind.EXPIRED, "expired in the queue")
MAY_HAVE_RUN = Failure(ErrorKind.WORKER_LOST, "lost")
APPENDS = st.sampled_from(["ok", "ok", "ok", "lost answer", "lost", "late", "refused"])


def machine(new_log, new_host) -> type:
    """Return a state machine over a log and hosts of the given classes."""

    class Interleavings(RuleBasedStateMachine):
        @initialize()
        def begin(self) -> None:
            self.log = new_log()
            self.incarnations = 0
            self.jobs = 0
            self.hosts = {}
            self.sends: dict[str, list[float]] = {}
            for name in NAMES:
                self.replace(name)
                self.hosts[name].tick()

        @rule(name=st.sampled_from(NAMES))
        def replace(self, name: str) -> None:
            """Kill a host and start another in its place."""
            self.incarnations += 1
            self.hosts[name] = new_host(self.log, name, self.incarnations)

        @rule(name=st.sampled_from(NAMES))
        def submit(self, name: str) -> None:
            """Submit a job; all jobs have the same key."""
            self.jobs += 1
            self.hosts[name].submit(f"j{self.jobs}")

        @rule(name=st.sampled_from(NAMES), append=APPENDS)
        def submit_and_run(self, name: str, append: str) -> None:
            """Submit a job and carry out every request of the host."""
            self.submit(name)
            self.run(name, append)

        @rule(name=st.sampled_from(NAMES), completes=st.booleans())
        def submit_and_send(self, name: str, completes: bool) -> None:
            """Submit a job, send it if it wins, and carry out what follows."""
            self.submit_and_run(name, "ok")
            self.send_all(name, completes)
            self.run(name, "ok")

        @rule(seconds=st.sampled_from([1.0, 101.0]), completes=st.booleans())
        def pause_between_verdict_and_send(
            self, seconds: float, completes: bool
        ) -> None:
            """Pause one host after its verdict while another handles the same key."""
            self.submit_and_run("h1", "ok")
            self.wait(seconds)
            self.submit_and_send("h2", completes)
            self.send_all("h1", completes)

        @rule(name=st.sampled_from(NAMES), completes=st.booleans())
        def send_all(self, name: str, completes: bool) -> None:
            """Send the jobs that have won, unless their leases have ended."""
            host = self.hosts[name]
            for job_id in sorted(host.won):
                if host.send(job_id):
                    self.check_send(host.specs[job_id].key)
                    done = Completed((b"done",))
                    host.end(job_id, done if completes else MAY_HAVE_RUN)

        @rule(name=st.sampled_from(NAMES), append=APPENDS)
        def step(self, name: str, append: str) -> None:
            """Carry out one request of a host; the other hosts are paused meanwhile."""
            self.hosts[name].step(append)

        @rule(name=st.sampled_from(NAMES), append=APPENDS)
        def run(self, name: str, append: str) -> None:
            """Let a host poll the log and carry out all its requests."""
            self.hosts[name].tick(append)
            self.hosts[name].settle(append)

        @rule(data=st.data(), name=st.sampled_from(NAMES))
        def give_up(self, data: st.DataObject, name: str) -> None:
            """End a job that was not sent."""
            host = self.hosts[name]
            unsent = sorted(host.specs.keys() - host.outcomes.keys())
            if unsent:
                host.end(data.draw(st.sampled_from(unsent)), NOT_RUN)

        @rule(seconds=st.sampled_from([0.1, 90.0, 101.0]))
        def wait(self, seconds: float) -> None:
            """Advance the time of the log and of all hosts."""
            self.log.now += seconds

        @rule(down=st.booleans())
        def outage(self, down: bool) -> None:
            """Stop or restore the log."""
            self.log.down = down

        @rule()
        def truncate(self) -> None:
            """Drop every record of the log."""
            self.log.truncate()

        @rule()
        def apply_late_append(self) -> None:
            """Let a late append take effect."""
            if self.log.late:
                self.log.append(self.log.late.pop(0))

        def check_send(self, key: str) -> None:
            """Check that earlier sends of the key are far enough in the past."""
            times = self.sends.setdefault(key, [])
            for time in times:
                gap = self.log.now - time
                assert gap >= WINDOW_S - LEASE_S, f"{key} sent twice, {gap:g} s apart"
            times.append(self.log.now)

    return Interleavings


def test_no_key_is_sent_twice_within_the_window(new_log, new_host) -> None:
    case = machine(new_log, new_host).TestCase
    case.settings = settings(
        derandomize=True, deadline=None, max_examples=600, stateful_step_count=25
    )
    case("runTest").runTest()
