"""The callers' interface over HTTP."""

from poplarhilld.api.handler import Api as Api
