"""Routes and services set by operators, and the workers registered for them."""

from poplarhilld.catalogue.messages import DEFAULT_LIMITS as DEFAULT_LIMITS
from poplarhilld.catalogue.messages import Catalogue as Catalogue
from poplarhilld.catalogue.messages import Route as Route
from poplarhilld.catalogue.messages import WorkerEntry as WorkerEntry
from poplarhilld.catalogue.registry import Registry as Registry
