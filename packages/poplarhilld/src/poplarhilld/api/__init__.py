"""HTTP API for callers."""

from poplarhilld.api.handler import Api as Api
