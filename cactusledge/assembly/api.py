"""Builds the server of the caller API."""

from functools import partial
from importlib.resources import files

from cactusledge.api.app import ApiApp
from cactusledge.api.body_memory import BodyMemory
from cactusledge.api.handlers import ApiContext
from cactusledge.api.server import ApiServer, ServerLimits
from cactusledge.api.service import InstanceReport, ProgramService
from cactusledge.assembly.base import Base


def build_api(
    base: Base,
    programs: ProgramService,
    report: InstanceReport,
) -> ApiServer:
    """Returns the HTTP server of the caller API and the status API."""
    limits = base.settings.limits
    openapi = files('cactusledge.api').joinpath('openapi.json')

    ctx = ApiContext(
        programs=programs,
        report=report,
        find_account=partial(_find_account, base),
        call_timeout_s=limits.call_timeout_s,
        openapi=openapi.read_bytes(),
        metrics=base.metrics,
        traces=base.traces,
    )
    return ApiServer(
        base.settings.listen.api,
        ApiApp(ctx, limits.max_body_bytes, BodyMemory(limits.max_bodies_bytes)),
        ServerLimits(
            worker_threads=limits.worker_threads,
            max_connections=limits.max_connections,
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
            socket_timeout_s=limits.request_timeout_s,
            shutdown_timeout_s=base.settings.shutdown.drain_timeout_s,
        ),
    )


def _find_account(base: Base, token: str) -> str | None:
    account = base.config.current().account_for_token(token)
    return account.name if account else None
