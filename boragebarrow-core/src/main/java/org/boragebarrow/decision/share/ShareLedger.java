package org.boragebarrow.decision.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The time of targets that each organisation has used of a service lately.
 *
 * <p>Use is halved every {@link #HALF_LIFE_SECONDS}. Anonymous callers count as one organisation. An organisation that
 * has used next to nothing is forgotten, and so is the one with the least use if there are too many.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
public final class ShareLedger {
    /** Maximum number of organisations. */
    public static final int MAX_ORGANISATIONS = 1_000;

    /** Time in which use counts half: as long as callers wait for an answer. */
    private static final double HALF_LIFE_SECONDS = 5;

    /** Factor on the share within which an organisation's use may vary. */
    private static final double TOLERANCE = 1.25;

    /** Use in milliseconds below which an organisation is forgotten. */
    private static final double FORGOTTEN_MILLIS = 1;

    /** Half-lives after which the stored figures are scaled down, long before they overflow. */
    private static final double MAX_HALF_LIVES = 40;

    private final Map<Optional<OrganisationId>, Account> accounts = new HashMap<>();
    private double totalMillis;
    private double totalWeight;
    private long origin;

    /** An organisation's use, scaled by the half-lives since the origin, so that only new use changes the account. */
    private static final class Account {
        private double weight;
        private double millis;
    }

    /**
     * Records use.
     *
     * @param weight the organisation's weight relative to those of others
     * @param targetMillis the time for which the work occupies a target
     */
    public void record(Optional<OrganisationId> organisation, double weight, double targetMillis, long now) {
        checkArgument(weight > 0, "weight must be positive: %s", weight);
        checkArgument(targetMillis >= 0, "negative time: %s", targetMillis);
        if (accounts.isEmpty() || halfLives(now) > MAX_HALF_LIVES) {
            rescale(now);
        }
        Account account = accounts.get(organisation);
        if (account == null) {
            if (accounts.size() >= MAX_ORGANISATIONS) {
                removeLeast();
            }
            account = new Account();
            accounts.put(organisation, account);
        }
        double scaled = targetMillis * Math.pow(2, halfLives(now));
        totalWeight += weight - account.weight;
        account.weight = weight;
        account.millis += scaled;
        totalMillis += scaled;
    }

    /** Returns whether the organisation has used more than its share, given that others use the service too. */
    public boolean isOver(Optional<OrganisationId> organisation) {
        Account account = accounts.get(organisation);
        if (account == null || accounts.size() < 2) {
            return false;
        }
        return account.millis * totalWeight > TOLERANCE * account.weight * totalMillis;
    }

    /** Forgets the organisations that have used next to nothing lately. */
    public void forgetIdle(long now) {
        rescale(now);
    }

    int size() {
        return accounts.size();
    }

    private double halfLives(long now) {
        return (now - origin) / (HALF_LIFE_SECONDS * TimeUnit.SECONDS.toNanos(1));
    }

    private void rescale(long now) {
        double factor = Math.pow(2, -halfLives(now));
        origin = now;
        accounts.values().forEach(account -> account.millis *= factor);
        accounts.values().removeIf(account -> account.millis < FORGOTTEN_MILLIS);
        sum();
    }

    private void removeLeast() {
        accounts.entrySet().stream()
                .min((a, b) -> Double.compare(a.getValue().millis, b.getValue().millis))
                .ifPresent(least -> accounts.remove(least.getKey()));
        sum();
    }

    private void sum() {
        totalMillis = 0;
        totalWeight = 0;
        for (Account account : accounts.values()) {
            totalMillis += account.millis;
            totalWeight += account.weight;
        }
    }
}
