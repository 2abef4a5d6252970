package org.boragebarrow.http.server;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of all request bodies that are buffered at the same time. Thread-safe. */
final class BodyBudget {
    private final long limit;
    private final AtomicLong heldBytes = new AtomicLong();

    BodyBudget(long limit) {
        this.limit = limit;
    }

    boolean tryAcquire(int bytes) {
        if (heldBytes.addAndGet(bytes) <= limit) {
            return true;
        }
        heldBytes.addAndGet(-bytes);
        return false;
    }

    void release(int bytes) {
        heldBytes.addAndGet(-bytes);
    }

    long heldBytes() {
        return heldBytes.get();
    }
}
