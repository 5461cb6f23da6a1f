"""Schedule requests: admission, queueing, dispatch and retries."""
