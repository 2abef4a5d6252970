package org.boragebarrow.http.server;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of all request bodies that are buffered at the same time. Thread-safe. */
final class BodyBudget {
    private final long limit;
    private final AtomicLong held = new AtomicLong();

    BodyBudget(long limit) {
        this.limit = limit;
    }

    boolean tryAcquire(int bytes) {
        if (held.addAndGet(bytes) <= limit) {
            return true;
        }
        held.addAndGet(-bytes);
        return false;
    }

    void release(int bytes) {
        held.addAndGet(-bytes);
    }

    long held() {
        return held.get();
    }
}
