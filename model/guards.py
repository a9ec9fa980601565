"""Guards of the protocol, each with the patch that takes it away."""

import contextlib
from collections.abc import Generator
from typing import Any, NamedTuple
from unittest import mock

from cactusledge.protocol import (
    budget,
    calls,
    config_head,
    held,
    journal,
    log_index,
    steps,
)
from cactusledge.protocol import state as states
from model import (
    driving,
    head_model,
    patches,
    scenarios,
    sending,
    share_patches,
    shares_model,
)
from model import platform as plat
from model import world as wd

HEAD = 'head'
HELD = 'held'
SHARES = 'shares'


class Patch(NamedTuple):
    """What replaces an attribute while the guard is off."""

    target: Any
    attribute: str
    replacement: Any


class Guard(NamedTuple):
    """One guard and the model that has to notice when it is off."""

    name: str
    model: wd.Scenario | str
    patches: tuple[Patch, ...]
    violates: str = ''  # the invariant to look for, '' for any

    @contextlib.contextmanager
    def off(self) -> Generator[None, None, None]:
        """Takes the guard away."""
        with contextlib.ExitStack() as stack:
            for patch in self.patches:
                stack.enter_context(mock.patch.object(*patch))
            yield


_COMMIT = Patch(journal, '_commit', patches.commit_anything)

GUARDS = (
    Guard(
        'a write names the version that it replaces',
        scenarios.SMALL,
        (Patch(plat, 'accepts', patches.always),),
    ),
    Guard(
        'a writer that finds another owner stops for good',
        scenarios.SMALL,
        (
            Patch(journal, 'classify_read_back', patches.believe_foreign),
            _COMMIT,
        ),
    ),
    Guard(
        'a lost answer is not taken for success',
        scenarios.SMALL,
        (Patch(journal, 'classify_read_back', patches.assume_written), _COMMIT),
    ),
    Guard(
        'a read-back compares the nonce',
        scenarios.SMALL,
        (Patch(journal, 'classify_read_back', patches.ignore_nonce), _COMMIT),
    ),
    Guard(
        'a void has a nonce of its own',
        scenarios.GIVE_UP,
        (Patch(journal, '_attempt', patches.same_nonce),),
    ),
    Guard(
        'needed records are carried forward before they are overwritten',
        scenarios.SMALL,
        (
            Patch(log_index.LogIndex, 'carry_forward', patches.carry_nothing),
            Patch(log_index.LogIndex, 'oldest_needed', patches.newest),
        ),
    ),
    Guard(
        'names of collected objects never come back',
        scenarios.DELETED,
        (),
        'runs at most once',
    ),
    Guard(
        'an intent is durable before the call is sent',
        scenarios.SMALL,
        (Patch(driving, 'may_send_early', patches.always),),
    ),
    Guard(
        'an UNKNOWN call is never sent again',
        scenarios.SMALL,
        (Patch(calls, 'takeover_records', patches.resend),),
    ),
    Guard(
        'an outcome is durable before it is answered',
        scenarios.SMALL,
        (Patch(sending, 'answer_early', patches.answer_at_once),),
    ),
    Guard(
        'a repeat gets the stored answer',
        scenarios.SMALL,
        (Patch(calls, '_decide_repeat', patches.repeat_is_new),),
    ),
    Guard(
        'a NOT_RUN is not given to a request that joined later',
        scenarios.GIVE_UP,
        (Patch(wd, 'not_run_is_stale', patches.nothing),),
    ),
    Guard(
        'a call is refused until the one before has its outcome',
        scenarios.EAGER,
        (
            Patch(calls, '_check_order', patches.nothing),
            Patch(steps, 'require', patches.nothing),
        ),
    ),
    Guard(
        'the upper bound is reserved before the call is sent',
        scenarios.BUDGET,
        (
            Patch(
                states.ProgramState,
                'available',
                property(patches.whole_budget),
            ),
        ),
    ),
    Guard(
        'an UNKNOWN call keeps its reservation',
        scenarios.BUDGET,
        (Patch(budget, 'settle', patches.free_unknown),),
    ),
    Guard(
        'a share and its sub-agent are one batch',
        SHARES,
        (Patch(shares_model, 'batches_of', share_patches.split),),
    ),
    Guard(
        'a share is reserved from the parent',
        SHARES,
        (Patch(budget, 'open_child', share_patches.open_freely),),
    ),
    Guard(
        'a returned share is less what the sub-agent spent',
        SHARES,
        (Patch(budget, 'return_share', share_patches.return_all),),
    ),
    Guard(
        'the end records which engines hold the cache',
        scenarios.MODEL_CALL,
        (Patch(calls, 'end_records', patches.end_without_duty),),
    ),
    Guard(
        'a takeover counts every engine as touched',
        scenarios.MODEL_CALL,
        (Patch(calls, 'takeover_records', patches.forget_engines),),
    ),
    Guard(
        'a release is recorded after the engine carried it out',
        scenarios.MODEL_CALL,
        (Patch(driving, 'drop_cache', patches.same_world),),
    ),
    Guard(
        'held records follow the digest chain',
        HELD,
        (Patch(held, 'plan_held', patches.ignore_chain),),
    ),
    Guard(
        'held records that the log has are skipped',
        HELD,
        (Patch(held, 'plan_held', patches.append_all),),
    ),
    Guard(
        'the head is replaced by conditional update',
        HEAD,
        (Patch(head_model, 'accepts', patches.always),),
    ),
    Guard(
        'instances apply only a higher generation',
        HEAD,
        (Patch(config_head, 'should_apply', patches.always),),
    ),
    Guard(
        'a lost publication is settled by its nonce',
        HEAD,
        (
            Patch(
                config_head,
                'resolve_write',
                patches.settle_by_generation,
            ),
        ),
    ),
    Guard(
        'an unchanged head does not settle a publication',
        HEAD,
        (
            Patch(
                config_head,
                'resolve_write',
                patches.give_up_pending,
            ),
        ),
    ),
)
# Not in the table: see docs/design/model.md.
NO_SEAL = Guard(
    'a takeover is sealed before it acts',
    scenarios.SMALL,
    (Patch(driving, 'seal', patches.no_seal),),
)
