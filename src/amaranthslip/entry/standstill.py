"""When a caller that the instance waits for stands still, or is slow."""

# Seconds without progress after which a caller stands still.
STILL_SECONDS = 1.0
# Seconds after which a request that still arrives, or an answer that is still
# written, is slow.
SLOW_SECONDS = 5.0
