"""The process of an entry host behind the platform adapter, with leased workers."""

from poplarhilld.entry.host import EntryHost as EntryHost
from poplarhilld.entry.ports import Directory as Directory
from poplarhilld.entry.ports import WorkerClient as WorkerClient
from poplarhilld.entry.settings import EntrySettings as EntrySettings
