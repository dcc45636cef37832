"""Links to workers: kept-alive connections over which tasks are sent, once."""

from poplarhilld.connections import ConnectionPool as ConnectionPool
from poplarhilld.workers.link import WorkerLink as WorkerLink
from poplarhilld.workers.links import WorkerLinks as WorkerLinks
