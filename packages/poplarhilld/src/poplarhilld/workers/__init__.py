"""Links to workers: kept-alive connections over which tasks are sent, once."""

from poplarhilld.workers.link import WorkerLink as WorkerLink
from poplarhilld.workers.links import WorkerLinks as WorkerLinks
from poplarhilld.workers.pool import ConnectionPool as ConnectionPool
