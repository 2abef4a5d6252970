package org.boragebarrow.http.server;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** What one connection holds of a {@link MemoryAccount}. Its methods are called on the connection's event loop. */
final class MemoryShare {
    private final MemoryAccount account;
    private final Runnable evictAction;
    private final AtomicLong heldBytes = new AtomicLong();
    private final AtomicBoolean evicted = new AtomicBoolean();
    private volatile long heldSince;

    /**
     * Creates an empty share.
     *
     * @param evictAction frees what is held; called once, on any thread
     */
    MemoryShare(MemoryAccount account, Runnable evictAction) {
        this.account = account;
        this.evictAction = evictAction;
        this.heldSince = account.now();
    }

    long heldBytes() {
        return heldBytes.get();
    }

    long heldSince() {
        return heldSince;
    }

    /** Holds more if there is room. */
    boolean tryHold(long bytes) {
        if (evicted.get() || !account.tryHold(this, bytes)) {
            return false;
        }
        add(bytes);
        return true;
    }

    /** Holds more of what exists already. */
    void hold(long bytes) {
        add(bytes);
        account.hold(this, bytes);
    }

    private void add(long bytes) {
        if (heldBytes.getAndAdd(bytes) == 0) {
            heldSince = account.now();
        }
    }

    /** Holds less; what an eviction has released is not released again. */
    void release(long bytes) {
        long before = heldBytes.getAndUpdate(held -> Math.max(0, held - bytes));
        account.release(Math.min(before, bytes));
    }

    void releaseAll() {
        account.setEvictable(this, false);
        account.release(heldBytes.getAndSet(0));
    }

    /** Sets whether the connection may be evicted: while its request is incomplete, or its caller does not read. */
    void setEvictable(boolean allowed) {
        if (!evicted.get()) {
            account.setEvictable(this, allowed);
        }
    }

    /** Releases all for the account at once and has the connection free it; returns false if it was evicted before. */
    boolean evict() {
        if (!evicted.compareAndSet(false, true)) {
            return false;
        }
        account.release(heldBytes.getAndSet(0));
        evictAction.run();
        return true;
    }
}
