"""When a caller that the instance waits for stands still, or is slow."""

# Seconds without progress after which a caller stands still.
STALLED_SECONDS = 1.0
# Seconds after which a request that still arrives, or an answer that is still
# written, may be slow, and the rates in bytes a second below which it is. A
# request has a limit on its whole time; an answer has none.
SLOW_SECONDS = 5.0
SLOW_SENDING_RATE = 1024.0
SLOW_READING_RATE = 16384.0
