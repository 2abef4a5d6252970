package org.boragebarrow.http.server;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of all request bodies that are buffered at the same time. Thread-safe. */
final class BodyBudget {
    private final long limit;
    private final AtomicLong bufferedBytes = new AtomicLong();

    BodyBudget(long limit) {
        this.limit = limit;
    }

    boolean tryAcquire(int bytes) {
        if (bufferedBytes.addAndGet(bytes) <= limit) {
            return true;
        }
        bufferedBytes.addAndGet(-bytes);
        return false;
    }

    void release(int bytes) {
        bufferedBytes.addAndGet(-bytes);
    }

    long bufferedBytes() {
        return bufferedBytes.get();
    }
}
