"""An entry host that reads a list of workers by which its shards are split."""

import importlib

import curio

from poplarhill_platform_dev.workers import worker_record
from poplarhilld.shards import partition


async def wait_until(condition) -> None:
    while not condition():
        await curio.sleep(0.02)


# Once, the host took the workers of the new shard for workers of another leader, and
# their tasks were stopped.
def test_the_leader_keeps_its_workers_when_their_shard_is_split(platform, monkeypatch):
    async def scenario(platform):
        host = platform.host
        await wait_until(
            lambda: (
                len(host._leader.workers) == 2
                and all(worker.confirmed for worker in host._leader.workers.values())
            )
        )
        assert len(host._hosts.claims) == 1
        tokens = {name: worker.token for name, worker in host._leader.workers.items()}
        module = importlib.import_module("poplarhilld.shards.partition")
        monkeypatch.setattr(module, "WORKERS_PER_SHARD", 1)
        for worker in platform.workers:
            entry = worker.simulated.entry
            changed = entry._replace(rack="changed")
            platform.store.put("keyed.servers", entry.name, worker_record(changed))
        fenced: list[str] = []
        mark_fenced = host._leader._group.mark_fenced

        def note(now, worker):
            fenced.append(worker.entry.name)
            return mark_fenced(now, worker)

        monkeypatch.setattr(host._leader._group, "mark_fenced", note)
        assert len(partition(host._registry.workers.values())) == 2
        await wait_until(lambda: len(host._hosts.claims) == 2)
        await curio.sleep(0.2)
        assert fenced == []
        assert tokens == {
            name: worker.token for name, worker in host._leader.workers.items()
        }

    platform.run_scenario(scenario)
