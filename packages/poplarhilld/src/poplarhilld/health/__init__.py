"""Health: detects workers that fail or run slowly from their responses."""

from poplarhilld.health.messages import WorkerEjected as WorkerEjected
from poplarhilld.health.messages import WorkerProbed as WorkerProbed
from poplarhilld.health.messages import WorkerRestored as WorkerRestored
from poplarhilld.health.state import Health as Health
