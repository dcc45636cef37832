"""Links to workers: kept-alive connections over which tasks are sent, once."""

from poplarhilld.workers.link import WorkerLink as WorkerLink
from poplarhilld.workers.link import WorkerLinks as WorkerLinks
