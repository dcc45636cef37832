"""Health: detects failing and slow workers from the outcomes of this host's tasks."""

from poplarhilld.health.messages import WorkerEjected as WorkerEjected
from poplarhilld.health.messages import WorkerProbed as WorkerProbed
from poplarhilld.health.messages import WorkerRestored as WorkerRestored
from poplarhilld.health.state import Health as Health
