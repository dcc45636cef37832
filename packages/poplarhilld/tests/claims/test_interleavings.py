"""Never two senders of one key within the window, whatever happens in between."""

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
    """Return the state machine over logs and hosts made by two functions."""

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
            """Submit a job with the key that all use."""
            self.jobs += 1
            self.hosts[name].submit(f"j{self.jobs}")

        @rule(name=st.sampled_from(NAMES), append=APPENDS)
        def submit_and_run(self, name: str, append: str) -> None:
            """Submit a job and let the host come to its verdict."""
            self.submit(name)
            self.run(name, append)

        @rule(name=st.sampled_from(NAMES), completes=st.booleans())
        def carry_through(self, name: str, completes: bool) -> None:
            """Submit a job, send it if it wins, and write what follows."""
            self.submit_and_run(name, "ok")
            self.send_all(name, completes)
            self.run(name, "ok")

        @rule(seconds=st.sampled_from([1.0, 101.0]), completes=st.booleans())
        def freeze_between_verdict_and_send(
            self, seconds: float, completes: bool
        ) -> None:
            """Freeze one host while another serves the same key."""
            self.submit_and_run("h1", "ok")
            self.wait(seconds)
            self.carry_through("h2", completes)
            self.send_all("h1", completes)

        @rule(name=st.sampled_from(NAMES), completes=st.booleans())
        def send_all(self, name: str, completes: bool) -> None:
            """Send what has won, at any time later."""
            host = self.hosts[name]
            for job_id in sorted(host.won):
                if host.send(job_id):
                    self.note(host.specs[job_id].key)
                    done = Completed((b"done",))
                    host.end(job_id, done if completes else MAY_HAVE_RUN)

        @rule(name=st.sampled_from(NAMES), append=APPENDS)
        def step(self, name: str, append: str) -> None:
            """Let a host go one step; those that don't are frozen."""
            self.hosts[name].step(append)

        @rule(name=st.sampled_from(NAMES), append=APPENDS)
        def run(self, name: str, append: str) -> None:
            """Let a host do all it has to do."""
            self.hosts[name].tick(append)
            self.hosts[name].settle(append)

        @rule(data=st.data(), name=st.sampled_from(NAMES))
        def give_up(self, data: st.DataObject, name: str) -> None:
            """End a job of which nothing was sent."""
            host = self.hosts[name]
            unsent = sorted(host.specs.keys() - host.outcomes.keys())
            if unsent:
                host.end(data.draw(st.sampled_from(unsent)), NOT_RUN)

        @rule(seconds=st.sampled_from([0.1, 90.0, 101.0]))
        def wait(self, seconds: float) -> None:
            """Let time pass for all."""
            self.log.now += seconds

        @rule(down=st.booleans())
        def outage(self, down: bool) -> None:
            """Let the log go down or come back."""
            self.log.down = down

        @rule()
        def truncate(self) -> None:
            """Drop all that the log has kept so far."""
            self.log.truncate()

        @rule()
        def land(self) -> None:
            """Let a late append take effect."""
            if self.log.late:
                self.log.append(self.log.late.pop(0))

        def note(self, key: str) -> None:
            """Check a send against the earlier ones of its key."""
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
