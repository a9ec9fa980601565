"""Settings of the engine stand-in and their command line."""

from argparse import ArgumentParser, Namespace
from typing import NamedTuple

from standins.engine_batch import BatchSettings
from standins.engine_cache import CacheSettings
from standins.service_cli import common_parser

DEFAULT_BATCH = BatchSettings()
DEFAULT_PREFILL_TOKEN_MS = 0.02
MS_PER_S = 1000


class EngineSettings(NamedTuple):
    """Everything that can be set of an engine stand-in."""

    name: str
    model: str
    data_centre: str = ''
    listen: tuple[str, int] = ('127.0.0.1', 0)
    register: str = ''  # host:port of the platform, '' to stay out of the list
    threads: int = 64
    batch: BatchSettings = BatchSettings()
    cache: CacheSettings = CacheSettings()
    load_lag_s: float = 0
    ignore_fencing: bool = False
    order_s: float = 0


def engine_parser() -> ArgumentParser:
    """Returns the parser of the command line."""
    parser = common_parser('Stand-in of a model engine.')
    parser.add_argument('--model', required=True)
    parser.add_argument(
        '--max-running', type=int, default=DEFAULT_BATCH.max_running
    )
    parser.add_argument('--token-ms', type=float, default=1)
    parser.add_argument('--batch-token-ms', type=float, default=0.1)
    parser.add_argument(
        '--prefill-token-ms', type=float, default=DEFAULT_PREFILL_TOKEN_MS
    )
    parser.add_argument(
        '--cache-tokens', type=int, default=CacheSettings().capacity_tokens
    )
    parser.add_argument('--event-delay-s', type=float, default=0)
    parser.add_argument('--event-loss-every', type=int, default=0)
    parser.add_argument('--load-lag-s', type=float, default=0)
    parser.add_argument('--ignore-fencing', action='store_true')
    parser.add_argument('--order-s', type=float, default=0)
    return parser


def engine_settings(args: Namespace) -> EngineSettings:
    """Returns the settings that a command line gives."""
    return EngineSettings(
        name=args.name,
        model=args.model,
        data_centre=args.data_centre,
        listen=args.listen,
        register=args.register,
        threads=args.threads,
        batch=BatchSettings(
            max_running=args.max_running,
            token_s=args.token_ms / MS_PER_S,
            batch_token_s=args.batch_token_ms / MS_PER_S,
            prefill_token_s=args.prefill_token_ms / MS_PER_S,
        ),
        cache=CacheSettings(
            capacity_tokens=args.cache_tokens,
            event_delay_s=args.event_delay_s,
            event_loss_every=args.event_loss_every,
        ),
        load_lag_s=args.load_lag_s,
        ignore_fencing=args.ignore_fencing,
        order_s=args.order_s,
    )
