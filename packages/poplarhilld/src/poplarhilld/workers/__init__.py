"""Links to workers: persistent connections that carry each task at most once."""

from poplarhilld.connections import ConnectionPool as ConnectionPool
from poplarhilld.workers.link import WorkerLink as WorkerLink
from poplarhilld.workers.links import WorkerLinks as WorkerLinks
