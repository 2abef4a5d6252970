package org.boragebarrow.http.server;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the bytes of all bodies that are held at once. Thread-safe. */
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
