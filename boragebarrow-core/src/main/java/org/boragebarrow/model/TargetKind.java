package org.boragebarrow.model;

/** The kinds of target. */
public enum TargetKind {
    /** A model engine that streams tokens. */
    ENGINE,
    /** A plain service that responds to HTTP calls. */
    SERVICE
}
