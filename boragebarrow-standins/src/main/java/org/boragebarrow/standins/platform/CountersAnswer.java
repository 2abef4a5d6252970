package org.boragebarrow.standins.platform;

/** How many calls each part of the platform has received since its start, failed ones included. */
public record CountersAnswer(Counts table, Counts objects, Counts hosts, Counts weights) {
    /** The calls of one part. */
    public record Counts(long reads, long writes) {}
}
