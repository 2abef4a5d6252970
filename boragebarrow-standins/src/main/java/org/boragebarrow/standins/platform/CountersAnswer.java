package org.boragebarrow.standins.platform;

/** The number of calls that each platform component has received since its start, including failed calls. */
public record CountersAnswer(Counts table, Counts objects, Counts hosts, Counts weights) {
    /** The number of calls of one component. */
    public record Counts(long reads, long writes) {}
}
