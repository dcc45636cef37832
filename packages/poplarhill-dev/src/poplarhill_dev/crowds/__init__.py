"""Crowds of misbehaving clients against one entry host on loopback."""

from poplarhill_dev.crowds.clients import Crowd as Crowd
from poplarhill_dev.crowds.clients import Script as Script
from poplarhill_dev.crowds.host import CrowdHost as CrowdHost
from poplarhill_dev.crowds.host import open_descriptors as open_descriptors
from poplarhill_dev.crowds.host import peak_memory_bytes as peak_memory_bytes
