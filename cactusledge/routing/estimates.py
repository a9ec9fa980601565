"""Moving averages of call and program sizes."""

from cactusledge.models import Usage
from cactusledge.routing.types import EngineLimits, Job

SMOOTHING = 0.05  # weight of the newest sample
FIRST_OUTPUT_TOKENS = 150.0
FIRST_PROGRAM_TOKENS = 4000.0


class WorkloadEstimates:
    """Estimates of output lengths and of program history lengths."""

    def __init__(self) -> None:
        """Initializes the estimates with defaults, before any sample."""
        self.output_tokens = FIRST_OUTPUT_TOKENS
        self.program_tokens = FIRST_PROGRAM_TOKENS

    def record_usage(self, usage: Usage) -> None:
        """Records the output length of a finished call."""
        excess = usage.output_tokens - self.output_tokens
        self.output_tokens += SMOOTHING * excess

    def record_program(self, tokens: int) -> None:
        """Records the history length of an ended program."""
        self.program_tokens += SMOOTHING * (tokens - self.program_tokens)

    def expected_s(self, job: Job, cached: int, limits: EngineLimits) -> float:
        """Returns the expected time of a job on an otherwise idle engine."""
        output_tokens = min(self.output_tokens, job.max_output_tokens)
        uncached_tokens = max(0, job.prompt_tokens - cached)
        return unloaded_latency_s(uncached_tokens, output_tokens, limits)


def unloaded_latency_s(
    prefill_tokens: float, output_tokens: float, limits: EngineLimits
) -> float:
    """Returns the latency of a call on an otherwise idle engine."""
    prefill_s = prefill_tokens / limits.prefill_tokens_s
    return prefill_s + output_tokens / limits.decode_tokens_s
